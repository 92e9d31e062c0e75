#ifndef DOTTERELPORT_BASE_SETTINGS_HPP
#define DOTTERELPORT_BASE_SETTINGS_HPP

#include <string>
#include <string_view>

#include "dotterelport/base/json.hpp"

namespace dotterelport {

/// @brief Checks a JSON value against a JSON Schema (draft 7).
/// @param source file name or other origin for error messages
/// @throws format_error with the JSON path of the first violation and what was expected
void check_schema(const json& value, const json& schema, const std::string& source);

/// @brief Reads a JSON file.
/// @throws format_error if it cannot be read or is not JSON; the message contains the line and
/// column
json read_json_file(const std::string& path);

/// @brief Parses JSON text.
/// @throws format_error with the line and column of the first error
json parse_json(std::string_view text, const std::string& source);

} // namespace dotterelport

#endif
