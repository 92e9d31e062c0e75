#include "caller_error.hpp"

#include <algorithm>
#include <array>

namespace dotterelport::router {
namespace {

struct code_entry {
    error_code code;
    std::string_view name;
    int status;
    /// Value of "type" in the error object, as the chat-completions protocol uses it.
    std::string_view type;
    /// Whether the same request may succeed a little later.
    bool temporary;
};

constexpr std::string_view request_type = "invalid_request_error";
constexpr std::string_view server_type = "server_error";
constexpr std::string_view quota_type = "insufficient_quota";
constexpr std::string_view rate_type = "rate_limit_error";

constexpr std::array<code_entry, 19> entries{{
    {error_code::invalid_request, "invalid_request", 400, request_type, false},
    {error_code::invalid_key, "invalid_key", 401, "authentication_error", false},
    {error_code::budget_exhausted, "budget_exhausted", 402, quota_type, false},
    {error_code::workspace_not_allowed, "workspace_not_allowed", 403, "permission_error", false},
    {error_code::unknown_model, "unknown_model", 404, request_type, false},
    {error_code::unknown_route, "unknown_route", 404, request_type, false},
    {error_code::replay_gone, "replay_gone", 410, request_type, false},
    {error_code::body_too_large, "body_too_large", 413, request_type, false},
    {error_code::key_reused, "key_reused", 422, request_type, false},
    {error_code::quarantined, "quarantined", 422, request_type, false},
    {error_code::busy, "busy", 429, rate_type, true},
    {error_code::rate_limited, "rate_limited", 429, rate_type, true},
    {error_code::backend_crashed, "backend_crashed", 502, server_type, false},
    {error_code::backend_error, "backend_error", 502, server_type, false},
    {error_code::budget_unavailable, "budget_unavailable", 503, server_type, true},
    {error_code::platform_unavailable, "platform_unavailable", 503, server_type, true},
    {error_code::not_ready, "not_ready", 503, server_type, true},
    {error_code::leaving, "leaving", 503, server_type, true},
    {error_code::deadline, "deadline", 504, server_type, false},
}};

const code_entry& entry_of(error_code code)
{
    return *std::find_if(entries.begin(), entries.end(),
                         [code](const code_entry& entry) { return entry.code == code; });
}

} // namespace

std::string_view to_string(error_code code)
{
    return entry_of(code).name;
}

int status_of(error_code code)
{
    return entry_of(code).status;
}

json to_json(const caller_error& failure)
{
    return {{"error",
             {{"message", failure.what()},
              {"type", entry_of(failure.code()).type},
              {"code", to_string(failure.code())},
              {"param", nullptr},
              {"verdict", to_string(failure.verdict())}}}};
}

net::header_list headers_of(const caller_error& failure)
{
    net::header_list headers{
        {"content-type", "application/json"},
        {std::string(verdict_header), std::string(to_string(failure.verdict()))},
    };
    if (entry_of(failure.code()).temporary) {
        headers.emplace_back("Retry-After", "1");
    }
    return headers;
}

} // namespace dotterelport::router
