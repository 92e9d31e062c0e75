#ifndef DOTTERELPORT_NET_DATAGRAM_SOCKET_HPP
#define DOTTERELPORT_NET_DATAGRAM_SOCKET_HPP

#include <functional>
#include <string_view>

#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"

struct st_h2o_socket_t;

namespace dotterelport::net {

/// Sends and receives datagrams on the event loop. Datagrams may be lost, for example when a buffer
/// is full.
class datagram_socket {
public:
    /// @param on_datagram called with each datagram
    /// @throws error if the address cannot be bound
    datagram_socket(event_loop& loop, const endpoint& address,
                    std::function<void(std::string_view datagram)> on_datagram);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// @return false if the datagram was not sent
    bool send(const endpoint& to, std::string_view datagram);

    [[nodiscard]] const endpoint& address() const { return address_; }

private:
    struct impl;

    void receive();

    endpoint address_;
    std::function<void(std::string_view)> on_datagram_;
    int descriptor_ = -1;
    st_h2o_socket_t* socket_ = nullptr;
};

} // namespace dotterelport::net

#endif
