#include "dotterelport/net/endpoint.hpp"

#include <charconv>

#include <arpa/inet.h>

#include "dotterelport/base/error.hpp"

namespace dotterelport::net {

std::string to_string(const endpoint& value)
{
    return value.ip + ":" + std::to_string(value.port);
}

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
                inet_pton(AF_INET, result.ip.c_str(), &address) == 1;
    }
    if (!valid) {
        throw format_error("endpoint", "",
                           "expected <IPv4 address>:<port>, got " + std::string(text));
    }
    return result;
}

} // namespace dotterelport::net
