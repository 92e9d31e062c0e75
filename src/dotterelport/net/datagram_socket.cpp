#include "dotterelport/net/datagram_socket.hpp"

#include <array>
#include <utility>

#include <h2o.h>
#include <sys/socket.h>

#include "socket_address.hpp"

namespace dotterelport::net {
namespace {

/// Largest datagram that is received.
constexpr std::size_t max_datagram_bytes = 65'536;

} // namespace

struct datagram_socket::impl {
    static void on_readable(st_h2o_socket_t* socket, const char* failure)
    {
        if (failure == nullptr) {
            static_cast<datagram_socket*>(socket->data)->receive();
        }
    }
};

datagram_socket::datagram_socket(event_loop& loop, const endpoint& address,
                                 std::function<void(std::string_view)> on_datagram)
    : address_(address), on_datagram_(std::move(on_datagram))
{
    descriptor_ = open_bound_socket(SOCK_DGRAM, address_);
    socket_ = h2o_evloop_socket_create(loop.native(), descriptor_, H2O_SOCKET_FLAG_DONT_READ);
    socket_->data = this;
    h2o_socket_read_start(socket_, impl::on_readable);
}

datagram_socket::~datagram_socket()
{
    h2o_socket_read_stop(socket_);
    h2o_socket_close(socket_);
}

void datagram_socket::receive()
{
    // Bounds the time for which other sockets wait.
    constexpr int datagrams_per_wakeup = 64;
    static thread_local std::array<char, max_datagram_bytes> buffer;
    for (int i = 0; i < datagrams_per_wakeup; ++i) {
        const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0) {
            return;
        }
        on_datagram_(std::string_view(buffer.data(), static_cast<std::size_t>(size)));
    }
}

bool datagram_socket::send(const endpoint& to, std::string_view datagram)
{
    const sockaddr_in address = to_socket_address(to, "cannot send to");
    return ::sendto(descriptor_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                    reinterpret_cast<const sockaddr*>(&address), sizeof(address)) >= 0;
}

} // namespace dotterelport::net
