#ifndef DOTTERELPORT_NET_SOCKET_ADDRESS_HPP
#define DOTTERELPORT_NET_SOCKET_ADDRESS_HPP

#include <arpa/inet.h>
#include <netinet/in.h>

#include "dotterelport/net/endpoint.hpp"

namespace dotterelport::net {

/// @brief Converts an endpoint to a socket address.
/// @param purpose first words of the error message
/// @throws error if the address is not an IPv4 address
sockaddr_in to_socket_address(const endpoint& address, const char* purpose);

/// @brief Opens a non-blocking socket and binds it.
/// @param type SOCK_STREAM or SOCK_DGRAM
/// @param address if its port is 0, it is set to the port that the kernel chose
/// @throws error if the address cannot be bound
int open_bound_socket(int type, endpoint& address);

} // namespace dotterelport::net

#endif
