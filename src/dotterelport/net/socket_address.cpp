#include "socket_address.hpp"

#include <cerrno>
#include <cstring>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include "dotterelport/base/error.hpp"

namespace dotterelport::net {

sockaddr_in to_socket_address(const endpoint& address, const char* purpose)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1) {
        throw error(std::string(purpose) + " " + to_string(address) + ": not an IPv4 address");
    }
    return result;
}

int open_bound_socket(int type, endpoint& address)
{
    sockaddr_in bound = to_socket_address(address, "cannot listen on");
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (type == SOCK_STREAM) {
        // Ignores the closed connections of a previous process. For datagrams the option would let
        // two sockets share the address, of which one receives nothing.
        const int enabled = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    }
    socklen_t length = sizeof(bound);
    auto* generic = reinterpret_cast<sockaddr*>(&bound);
    if (::bind(descriptor, generic, length) != 0 ||
        ::getsockname(descriptor, generic, &length) != 0) {
        const std::string message = std::strerror(errno);
        ::close(descriptor);
        throw error("cannot listen on " + to_string(address) + ": " + message);
    }
    address.port = ntohs(bound.sin_port);
    return descriptor;
}

} // namespace dotterelport::net
