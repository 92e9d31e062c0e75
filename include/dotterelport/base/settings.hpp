#ifndef DOTTERELPORT_BASE_SETTINGS_HPP
#define DOTTERELPORT_BASE_SETTINGS_HPP

#include <string>

#include "dotterelport/base/json.hpp"
#include "dotterelport/base/json_reader.hpp"

namespace dotterelport {

/// @brief Checks a JSON value against a JSON Schema (draft 7).
/// @param source file name or other origin for error messages
/// @throws format_error with the JSON path of the first violation and what was expected
void check_schema(const json& value, const json& schema, const std::string& source);

/// @brief Reads a JSON file.
/// @throws format_error if it cannot be read or is not JSON; the message contains the line and
/// column
json read_json_file(const std::string& path);

} // namespace dotterelport

#endif
