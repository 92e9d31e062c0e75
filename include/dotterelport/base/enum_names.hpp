#ifndef DOTTERELPORT_BASE_ENUM_NAMES_HPP
#define DOTTERELPORT_BASE_ENUM_NAMES_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace dotterelport {

/// Name table of an enumeration.
template<typename Enum, std::size_t Size>
using enum_names = std::array<std::pair<Enum, std::string_view>, Size>;

/// @brief Looks up the name of an enumerator.
/// @return the name, or "unknown" for a value outside the table
template<typename Enum, std::size_t Size>
constexpr std::string_view name_of(const enum_names<Enum, Size>& names, Enum value)
{
    for (const auto& [candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return "unknown";
}

/// @brief Looks up the enumerator with a name.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> value_of(const enum_names<Enum, Size>& names, std::string_view name)
{
    for (const auto& [value, candidate] : names) {
        if (candidate == name) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace dotterelport

#endif
