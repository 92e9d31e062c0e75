#ifndef DOTTERELPORT_STANDIN_ENDLESS_SERVER_HPP
#define DOTTERELPORT_STANDIN_ENDLESS_SERVER_HPP

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "dotterelport/net/endpoint.hpp"

namespace dotterelport::standin {

/// Server that answers each request with a beginning and then repeats a text until its peer closes
/// the connection. Sends from threads of its own, as fast as the peer reads.
class endless_server {
public:
    /// @throws error if no port can be bound
    endless_server(std::string beginning, std::string repeated);
    ~endless_server();
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    [[nodiscard]] const net::endpoint& address() const { return address_; }
    /// @brief Number of connections that were accepted.
    [[nodiscard]] int accepted() const { return accepted_; }
    /// @brief Number of connections that the peer has closed.
    [[nodiscard]] int closed() const { return closed_; }
    [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }

private:
    void accept_all();
    void serve(int descriptor);

    std::string beginning_;
    std::string repeated_;
    int listener_ = -1;
    net::endpoint address_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> accepted_ = 0;
    std::atomic<int> closed_ = 0;
    std::atomic<std::uint64_t> sent_bytes_ = 0;
    std::vector<std::thread> connections_;
    std::thread acceptor_;
};

/// @brief Peak of the process's resident memory since the last call of reset_peak_memory(), in
/// bytes.
std::size_t peak_memory();
/// @brief Sets the peak to the memory that is resident now, and returns that.
std::size_t reset_peak_memory();

} // namespace dotterelport::standin

#endif
