#ifndef DOTTERELPORT_NET_ENDPOINT_HPP
#define DOTTERELPORT_NET_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace dotterelport::net {

/// IPv4 address and TCP port of a process.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Maps addresses that other nodes use to addresses that are reachable from this network, for
/// example those of a port forwarder between regions.
using address_overrides = std::map<endpoint, endpoint>;

/// @brief Formats as "<ip>:<port>".
std::string to_string(const endpoint& value);

/// @brief Parses "<ip>:<port>".
/// @throws format_error if the text has another form
endpoint parse_endpoint(std::string_view text);

/// @brief Parses the address of another process. Port 0 and addresses that do not name one host
/// are only of use for listening.
/// @throws format_error if the text has another form
endpoint parse_remote_endpoint(std::string_view text);

} // namespace dotterelport::net

#endif
