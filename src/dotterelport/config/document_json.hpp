#ifndef DOTTERELPORT_CONFIG_DOCUMENT_JSON_HPP
#define DOTTERELPORT_CONFIG_DOCUMENT_JSON_HPP

#include "dotterelport/config/document.hpp"

namespace dotterelport::config {

/// @brief JSON Schema of a whole configuration.
const json& document_schema();

/// JSON forms of the elements of a document.
json to_json(const service& value);
json to_json(const workspace& value);
json to_json(const budget& value);
json to_json(const fleet_settings& value);

/// @throws json::exception if the element has another form
service service_from_json(const json& value);
workspace workspace_from_json(const json& value);
fleet_settings settings_from_json(const json& value);

} // namespace dotterelport::config

#endif
