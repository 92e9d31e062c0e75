#include "dotterelport/net/endpoint.hpp"

#include <charconv>

#include <arpa/inet.h>

#include "dotterelport/base/error.hpp"

namespace dotterelport::net {

std::string to_string(const endpoint& value)
{
    return value.ip + ":" + std::to_string(value.port);
}

namespace {

[[noreturn]] void fail(const std::string& expected, std::string_view text)
{
    constexpr std::size_t max_quoted_bytes = 64;
    throw format_error("endpoint", "",
                       "expected " + expected + ", got " +
                           std::string(text.substr(0, max_quoted_bytes)));
}

} // namespace

endpoint parse_endpoint(std::string_view text)
{
    const auto separator = text.rfind(':');
    endpoint result;
    in_addr address{};
    bool valid = separator != std::string_view::npos;
    if (valid) {
        result.ip = text.substr(0, separator);
        const std::string_view digits = text.substr(separator + 1);
        const auto [end, code] =
            std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
        valid = code == std::errc{} && end == digits.data() + digits.size() &&
                result.ip.find('\0') == std::string::npos &&
                inet_pton(AF_INET, result.ip.c_str(), &address) == 1;
    }
    if (!valid) {
        fail("<IPv4 address>:<port>", text);
    }
    return result;
}

endpoint parse_remote_endpoint(std::string_view text)
{
    endpoint result = parse_endpoint(text);
    in_addr address{};
    inet_pton(AF_INET, result.ip.c_str(), &address);
    const in_addr_t host = ntohl(address.s_addr);
    constexpr unsigned network_bits = 24;
    if (result.port == 0 || host >> network_bits == 0 || IN_MULTICAST(host) || IN_BADCLASS(host)) {
        fail("the address of one process", text);
    }
    return result;
}

} // namespace dotterelport::net
