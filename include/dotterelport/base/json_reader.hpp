#ifndef DOTTERELPORT_BASE_JSON_READER_HPP
#define DOTTERELPORT_BASE_JSON_READER_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/json.hpp"

/// Readers for documents that other processes have written.
namespace dotterelport {

/// Deepest nesting that is accepted. Copying, comparing and writing a JSON value recurse, so a
/// deeper one could exhaust the stack.
inline constexpr std::size_t max_json_depth = 64;

/// @brief Parses JSON text.
/// @param source names the document in errors
/// @throws format_error if the text is not valid JSON, holds a number that is out of range or is
/// nested too deeply
json parse_json(std::string_view text, const std::string& source);

/// @brief Parses MessagePack.
/// @throws format_error if the bytes are not valid MessagePack or are nested too deeply
json parse_msgpack(std::string_view bytes, const std::string& source);

/// Texts of the values of a JSON object, by name. They refer to the text of the object.
using json_members = std::map<std::string_view, std::string_view, std::less<>>;

/// @brief Finds the members of a JSON object without parsing their values, so that a value that
/// cannot be parsed leaves the others readable. Escape sequences in names are not decoded.
/// @throws format_error if the text is not a JSON object
json_members split_json_object(std::string_view text, const std::string& source);

/// @brief Finds the items of a JSON list without parsing them.
/// @throws format_error if the text is not a JSON list
std::vector<std::string_view> split_json_list(std::string_view text, const std::string& source);

} // namespace dotterelport

#endif
