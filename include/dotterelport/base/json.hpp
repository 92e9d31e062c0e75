#ifndef DOTTERELPORT_BASE_JSON_HPP
#define DOTTERELPORT_BASE_JSON_HPP

#include <nlohmann/json.hpp>

namespace dotterelport {

/// JSON value used for settings, configuration and messages.
using json = nlohmann::json;

} // namespace dotterelport

#endif
