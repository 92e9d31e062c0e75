#ifndef DOTTERELPORT_BASE_PRIORITY_HPP
#define DOTTERELPORT_BASE_PRIORITY_HPP

#include <optional>
#include <string_view>

namespace dotterelport {

/// Priority class of a request; lower values are served first.
enum class priority {
    interactive,
    normal,
    batch,
};

inline constexpr int priority_count = 3;

/// @brief Wire name of a priority.
std::string_view to_string(priority value);

/// @brief Parses the wire name of a priority.
std::optional<priority> parse_priority(std::string_view name);

} // namespace dotterelport

#endif
