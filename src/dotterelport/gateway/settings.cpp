#include "dotterelport/gateway/settings.hpp"

#include <cmath>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/settings.hpp"

namespace dotterelport::gateway {
namespace {

constexpr double ms_per_s = 1'000.0;

const json& schema()
{
    static const json document = json::parse(R"({
        "type": "object",
        "required": ["name", "failure_domain", "callers", "operators", "peers", "store", "relay_port"],
        "properties": {
            "name": {"type": "string", "minLength": 1},
            "failure_domain": {"type": "string", "minLength": 1},
            "callers": {"type": "string"},
            "operators": {"type": "string"},
            "peers": {"type": "string"},
            "store": {"type": "string"},
            "relay_port": {"type": "integer", "minimum": 1, "maximum": 65535},
            "cpu_share": {"type": "number", "exclusiveMinimum": 0},
            "log_level": {"enum": ["debug", "info", "warning", "error"]},
            "grace_s": {"type": "number", "exclusiveMinimum": 0},
            "retry_share": {"type": "number", "minimum": 0},
            "retry_reserve": {"type": "number", "minimum": 0},
            "second_send_share": {"type": "number", "minimum": 0, "maximum": 0.2},
            "regions": {"type": "object", "additionalProperties": {"type": "string"}},
            "evacuations": {"type": "boolean"},
            "admission": {"type": "boolean"},
            "memory_mb": {"type": "number", "exclusiveMinimum": 0},
            "max_fds": {"type": "number", "exclusiveMinimum": 0},
            "overload_relief": {"type": "boolean"}
        }
    })");
    return document;
}

net::endpoint address(const json& document, const char* name, const std::string& source)
{
    try {
        return net::parse_endpoint(document.at(name).get<std::string>());
    } catch (const format_error& failure) {
        throw format_error(source, std::string("/") + name, failure.description());
    }
}

severity log_level(const json& document)
{
    const std::string name = document.value("log_level", "info");
    for (const auto level : {severity::debug, severity::info, severity::warning, severity::error}) {
        if (to_string(level) == name) {
            return level;
        }
    }
    return severity::info;
}

} // namespace

settings parse_settings(const json& document, const std::string& source)
{
    check_schema(document, schema(), source);
    settings result;
    result.name = document.at("name");
    result.failure_domain = document.at("failure_domain");
    result.callers = address(document, "callers", source);
    result.operators = address(document, "operators", source);
    result.peers = address(document, "peers", source);
    result.store = address(document, "store", source);
    result.relay_port = document.at("relay_port");
    result.cpu_share = document.value("cpu_share", result.cpu_share);
    result.log_level = log_level(document);
    const double grace_s =
        document.value("grace_s", static_cast<double>(result.grace.count()) / ms_per_s);
    result.grace = milliseconds{std::llround(grace_s * ms_per_s)};
    result.retry_share = document.value("retry_share", result.retry_share);
    result.retry_reserve = document.value("retry_reserve", result.retry_reserve);
    result.second_send_share = document.value("second_send_share", result.second_send_share);
    result.regions = document.value("regions", result.regions);
    result.evacuations = document.value("evacuations", result.evacuations);
    result.admission = document.value("admission", result.admission);
    result.memory_mb = document.value("memory_mb", result.memory_mb);
    result.max_fds = document.value("max_fds", result.max_fds);
    if (document.contains("overload_relief")) {
        result.overload_relief = document.at("overload_relief").get<bool>();
    }
    return result;
}

settings read_settings(const std::string& path)
{
    return parse_settings(read_json_file(path), path);
}

} // namespace dotterelport::gateway
