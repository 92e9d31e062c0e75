#ifndef DOTTERELPORT_OBJECT_STORE_WIRE_HPP
#define DOTTERELPORT_OBJECT_STORE_WIRE_HPP

#include <optional>
#include <string_view>

#include "dotterelport/base/json.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::object_store {

/// @brief Wire name of a VM state.
std::string_view to_string(vm_state value);

/// @brief Parses the wire name of a VM state.
std::optional<vm_state> parse_vm_state(std::string_view name);

/// JSON forms of the platform's answers.
json to_json(const object& value);
json to_json(const listing& value);
json to_json(const vm_listing& value);

/// @throws json::exception if the document has another form
object parse_object(const json& value);
listing parse_listing(const json& value);
vm_listing parse_vm_listing(const json& value);

} // namespace dotterelport::object_store

#endif
