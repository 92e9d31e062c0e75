#include "dotterelport/config/document_json.hpp"

#include <string_view>

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::config {
namespace {

constexpr std::string_view key_hash_prefix = "sha256:";

constexpr enum_names<service_kind, 2> kind_names{{
    {service_kind::model, "model"},
    {service_kind::application, "application"},
}};

// Token amounts stay below 2^53, so that every JSON reader keeps them exact.
constexpr const char* schema_text = R"({
  "type": "object", "required": ["format", "services", "workspaces"],
  "additionalProperties": false,
  "definitions": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]*$", "maxLength": 64},
    "priority": {"type": "string", "enum": ["interactive", "normal", "batch"]}
  },
  "properties": {
    "format": {"type": "integer", "enum": [1]},
    "services": {"type": "array", "items": {
      "type": "object", "required": ["name", "kind"], "additionalProperties": false,
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "kind": {"type": "string", "enum": ["model", "application"]},
        "models": {"type": "array", "minItems": 1,
                   "items": {"type": "string", "minLength": 1, "maxLength": 128}},
        "max_output_tokens": {"type": "integer", "minimum": 1, "maximum": 9007199254740991},
        "tokens_per_call":
          {"type": "integer", "minimum": 0, "maximum": 9007199254740991},
        "lookup": {"type": "string", "pattern": "^/.*[{]key[}]"},
        "routes": {"type": "array", "minItems": 1, "items": {
          "type": "object", "required": ["method", "path", "idempotent"],
          "additionalProperties": false,
          "properties": {
            "method": {"type": "string",
                       "enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]},
            "path": {"type": "string", "pattern": "^/[^*]*[*]?$"},
            "idempotent": {"type": "boolean"},
            "priority": {"$ref": "#/definitions/priority"}}}}}}},
    "workspaces": {"type": "array", "items": {
      "type": "object", "required": ["name", "services"], "additionalProperties": false,
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "services": {"type": "array", "items": {"type": "string"}},
        "priority": {"$ref": "#/definitions/priority"},
        "keys": {"type": "array",
                 "items": {"type": "string", "pattern": "^sha256:[0-9a-f]{64}$"}},
        "budgets": {"type": "array", "items": {
          "type": "object", "required": ["name", "services", "prepaid_tokens"],
          "additionalProperties": false,
          "properties": {
            "name": {"$ref": "#/definitions/name"},
            "services": {"type": "array", "minItems": 1, "items": {"type": "string"}},
            "prepaid_tokens":
              {"type": "integer", "minimum": 0, "maximum": 9007199254740991}}}}}}},
    "settings": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "budget_shards": {"type": "integer", "minimum": 1, "maximum": 1024},
        "flush_ms": {"type": "integer", "minimum": 50, "maximum": 60000}}}
  }
})";

json to_json(const route& value)
{
    json result = {
        {"method", value.method}, {"path", value.path}, {"idempotent", value.idempotent}};
    if (value.priority) {
        result["priority"] = to_string(*value.priority);
    }
    return result;
}

route route_from_json(const json& value)
{
    route result{.method = value.at("method").get<std::string>(),
                 .path = value.at("path").get<std::string>(),
                 .idempotent = value.at("idempotent").get<bool>(),
                 .priority = std::nullopt};
    if (value.contains("priority")) {
        result.priority = parse_priority(value["priority"].get<std::string>());
    }
    return result;
}

budget budget_from_json(const json& value)
{
    return {.name = value.at("name").get<std::string>(),
            .services = value.at("services").get<std::vector<std::string>>(),
            .prepaid = value.at("prepaid_tokens").get<tokens>()};
}

} // namespace

const json& document_schema()
{
    static const json schema = json::parse(schema_text);
    return schema;
}

json to_json(const service& value)
{
    json result = {{"name", value.name}, {"kind", name_of(kind_names, value.kind)}};
    if (value.kind == service_kind::model) {
        result["models"] = value.models;
        result["max_output_tokens"] = value.max_output_tokens;
        return result;
    }
    result["tokens_per_call"] = value.tokens_per_call;
    result["routes"] = json::array();
    for (const auto& item : value.routes) {
        result["routes"].push_back(to_json(item));
    }
    if (!value.lookup_path.empty()) {
        result["lookup"] = value.lookup_path;
    }
    return result;
}

json to_json(const budget& value)
{
    return {{"name", value.name}, {"services", value.services}, {"prepaid_tokens", value.prepaid}};
}

json to_json(const workspace& value)
{
    json keys = json::array();
    for (const auto& hash : value.key_hashes) {
        keys.push_back(std::string(key_hash_prefix) + hash);
    }
    json budgets = json::array();
    for (const auto& item : value.budgets) {
        budgets.push_back(to_json(item));
    }
    return {{"name", value.name},
            {"services", value.services},
            {"priority", to_string(value.priority)},
            {"keys", std::move(keys)},
            {"budgets", std::move(budgets)}};
}

json to_json(const fleet_settings& value)
{
    return {{"budget_shards", value.budget_shards}, {"flush_ms", value.flush_interval.count()}};
}

service service_from_json(const json& value)
{
    service result;
    result.name = value.at("name").get<std::string>();
    result.kind = value_of(kind_names, value.at("kind").get<std::string>())
                      .value_or(service_kind::application);
    result.models = value.value("models", std::vector<std::string>{});
    result.max_output_tokens = value.value("max_output_tokens", tokens{0});
    result.tokens_per_call = value.value("tokens_per_call", tokens{0});
    result.lookup_path = value.value("lookup", std::string());
    if (value.contains("routes")) {
        for (const auto& item : value["routes"]) {
            result.routes.push_back(route_from_json(item));
        }
    }
    return result;
}

workspace workspace_from_json(const json& value)
{
    workspace result;
    result.name = value.at("name").get<std::string>();
    result.services = value.at("services").get<std::vector<std::string>>();
    if (value.contains("priority")) {
        result.priority = parse_priority(value["priority"].get<std::string>())
                              .value_or(dotterelport::priority::normal);
    }
    if (value.contains("keys")) {
        for (const auto& item : value["keys"]) {
            result.key_hashes.push_back(item.get<std::string>().substr(key_hash_prefix.size()));
        }
    }
    if (value.contains("budgets")) {
        for (const auto& item : value["budgets"]) {
            result.budgets.push_back(budget_from_json(item));
        }
    }
    return result;
}

fleet_settings settings_from_json(const json& value)
{
    fleet_settings result;
    result.budget_shards = value.value("budget_shards", result.budget_shards);
    result.flush_interval = milliseconds{value.value("flush_ms", result.flush_interval.count())};
    return result;
}

} // namespace dotterelport::config
