#include "dotterelport/process/settings.hpp"

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"
#include "dotterelport/base/settings.hpp"

namespace dotterelport::process {
namespace {

constexpr const char* endpoint_pattern = "^[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]+$";
constexpr const char* name_pattern = "^[a-z0-9][a-z0-9.-]*$";

constexpr enum_names<severity, 4> severity_names{{
    {severity::debug, "debug"},
    {severity::info, "info"},
    {severity::warning, "warning"},
    {severity::error, "error"},
}};

json endpoint_schema()
{
    return {{"type", "string"}, {"pattern", endpoint_pattern}};
}

json name_schema()
{
    return {{"type", "string"}, {"pattern", name_pattern}, {"maxLength", 63}};
}

json object_schema(const json& properties, const json& required)
{
    return {{"type", "object"},
            {"additionalProperties", false},
            {"properties", properties},
            {"required", required}};
}

json schema_for(daemon_kind kind)
{
    json listen = {{"peers", endpoint_schema()}, {"operators", endpoint_schema()}};
    json listen_required = {"peers", "operators"};
    json properties = {
        {"name", name_schema()},
        {"vm", name_schema()},
        {"region", name_schema()},
        {"failure_domain", name_schema()},
        {"platform", endpoint_schema()},
        {"address_overrides", {{"type", "object"}, {"additionalProperties", endpoint_schema()}}},
        {"drain_timeout_ms", {{"type", "integer"}, {"minimum", 0}, {"maximum", 3'600'000}}},
        {"memory_mb", {{"type", "integer"}, {"minimum", 1}}},
        {"max_fds", {{"type", "integer"}, {"minimum", 1}}},
        {"log", object_schema({{"file", {{"type", "string"}, {"minLength", 1}}},
                               {"level", {{"enum", {"debug", "info", "warning", "error"}}}}},
                              json::array())},
    };
    json required = {"name", "region", "failure_domain", "listen", "platform"};
    if (kind == daemon_kind::router) {
        listen["callers"] = endpoint_schema();
        listen_required.push_back("callers");
    } else {
        properties["service"] = name_schema();
        properties["backend_server"] = endpoint_schema();
        required.push_back("service");
        required.push_back("backend_server");
    }
    properties["listen"] = object_schema(listen, listen_required);
    return object_schema(properties, required);
}

/// Parses the endpoint at a JSON pointer. The schema checks its pattern but not the ranges of its
/// numbers.
net::endpoint endpoint_at(const json& document, const std::string& pointer,
                          const std::string& source)
{
    const auto text = document.at(json::json_pointer(pointer)).get<std::string>();
    try {
        return net::parse_endpoint(text);
    } catch (const format_error& failure) {
        throw format_error(source, pointer, failure.description());
    }
}

net::address_overrides read_overrides(const json& document, const std::string& source)
{
    net::address_overrides overrides;
    const json entries = document.value("address_overrides", json::object());
    for (const auto& [from, to] : entries.items()) {
        try {
            overrides.emplace(net::parse_endpoint(from),
                              net::parse_endpoint(to.get<std::string>()));
        } catch (const format_error& failure) {
            throw format_error(source, "/address_overrides/" + from, failure.description());
        }
    }
    return overrides;
}

} // namespace

settings read_settings(const std::string& path, daemon_kind kind)
{
    const json document = read_json_file(path);
    check_schema(document, schema_for(kind), path);
    settings result;
    result.name = document["name"];
    result.vm = document.value("vm", result.name);
    result.region = document["region"];
    result.failure_domain = document["failure_domain"];
    result.peers_address = endpoint_at(document, "/listen/peers", path);
    result.operators_address = endpoint_at(document, "/listen/operators", path);
    result.platform = endpoint_at(document, "/platform", path);
    if (kind == daemon_kind::router) {
        result.callers_address = endpoint_at(document, "/listen/callers", path);
    } else {
        result.service = document["service"];
        result.backend_server = endpoint_at(document, "/backend_server", path);
    }
    result.address_overrides = read_overrides(document, path);
    result.drain_timeout =
        milliseconds{document.value("drain_timeout_ms", result.drain_timeout.count())};
    result.memory_mb = document.value("memory_mb", result.memory_mb);
    result.max_fds = document.value("max_fds", result.max_fds);
    const json log = document.value("log", json::object());
    result.log_file = log.value("file", result.log_file);
    result.log_level =
        value_of(severity_names, log.value("level", std::string("info"))).value_or(severity::info);
    return result;
}

} // namespace dotterelport::process
