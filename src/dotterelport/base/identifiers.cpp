#include "dotterelport/base/identifiers.hpp"

#include <charconv>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/hash.hpp"

namespace dotterelport {

std::string to_string(const incarnation& value)
{
    return value.node + "#" + std::to_string(value.epoch);
}

incarnation parse_incarnation(std::string_view text)
{
    const auto separator = text.rfind('#');
    incarnation result;
    bool valid = separator != std::string_view::npos && separator > 0;
    if (valid) {
        const std::string_view digits = text.substr(separator + 1);
        const auto [end, code] =
            std::from_chars(digits.data(), digits.data() + digits.size(), result.epoch);
        valid = code == std::errc{} && end == digits.data() + digits.size() && !digits.empty();
    }
    if (!valid) {
        throw format_error("incarnation", "", "expected <node>#<epoch>, got " + std::string(text));
    }
    result.node = text.substr(0, separator);
    return result;
}

} // namespace dotterelport

std::size_t std::hash<dotterelport::request_key>::operator()(
    const dotterelport::request_key& value) const noexcept
{
    return dotterelport::hash64(value.key, dotterelport::hash64(value.workspace));
}

std::size_t std::hash<dotterelport::incarnation>::operator()(
    const dotterelport::incarnation& value) const noexcept
{
    return dotterelport::hash64(value.node, value.epoch);
}
