#ifndef DOTTERELPORT_BASE_IDENTIFIERS_HPP
#define DOTTERELPORT_BASE_IDENTIFIERS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dotterelport {

/// One run of a node: the node's name and its epoch, which increases with each registration in the
/// platform.
struct incarnation {
    std::string node;
    std::uint64_t epoch = 0;

    auto operator<=>(const incarnation&) const = default;
};

/// @brief Formats as "<node>#<epoch>".
std::string to_string(const incarnation& value);

/// @brief Parses "<node>#<epoch>".
/// @throws format_error if the text has another format
incarnation parse_incarnation(std::string_view text);

/// Identity of a request: the key is unique within its workspace.
struct request_key {
    std::string workspace;
    std::string key;

    auto operator<=>(const request_key&) const = default;
};

} // namespace dotterelport

template<> struct std::hash<dotterelport::request_key> {
    std::size_t operator()(const dotterelport::request_key& value) const noexcept;
};

template<> struct std::hash<dotterelport::incarnation> {
    std::size_t operator()(const dotterelport::incarnation& value) const noexcept;
};

#endif
