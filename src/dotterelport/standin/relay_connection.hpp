#ifndef DOTTERELPORT_STANDIN_RELAY_CONNECTION_HPP
#define DOTTERELPORT_STANDIN_RELAY_CONNECTION_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"

struct st_h2o_socket_t;

namespace dotterelport::standin {

/// A relayed connection: two sockets and the bytes in transit between them.
class relay_connection {
public:
    /// @param accepted connection that a caller opened; this object takes ownership of it
    /// @param on_closed called when either side has closed; may destroy this object
    /// @param on_bytes called with the number of bytes received from either side
    relay_connection(net::event_loop& loop, st_h2o_socket_t* accepted, milliseconds delay,
                     std::function<void()> on_closed, std::function<void(std::size_t)> on_bytes);
    ~relay_connection();
    relay_connection(const relay_connection&) = delete;
    relay_connection& operator=(const relay_connection&) = delete;

    /// @brief Connects to the target and relays in both directions.
    void connect(const net::endpoint& target);

    /// @brief Keeps the connection open and discards all received bytes.
    void freeze();

private:
    struct side {
        relay_connection* owner = nullptr;
        st_h2o_socket_t* socket = nullptr;
        /// Bytes that h2o is writing; h2o does not copy them.
        std::string in_flight;
        std::string pending;
        /// Number of bytes to be written to this side, including delayed ones.
        std::size_t queued_bytes = 0;
        bool peer_ended = false;
    };

    static void on_connect(st_h2o_socket_t* socket, const char* failure);
    static void on_read(st_h2o_socket_t* socket, const char* failure);
    static void on_written(st_h2o_socket_t* socket, const char* failure);

    side& peer_of(const side& own_side) { return &own_side == &sides_[0] ? sides_[1] : sides_[0]; }
    void forward(side& from, std::string data);
    void deliver(side& to, const std::string& data);
    void handle_end(side& from);
    void flush(side& to);
    void start_reading(side& from);

    net::event_loop& loop_;
    milliseconds delay_;
    std::function<void()> on_closed_;
    std::function<void(std::size_t)> on_bytes_;
    bool frozen_ = false;
    std::array<side, 2> sides_;
    /// False after this object is destroyed; delayed deliveries check it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace dotterelport::standin

#endif
