#include "budget_messages.hpp"

#include "budget_events.hpp"
#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::router {
namespace {

constexpr enum_names<reserve_status, 4> status_names{{
    {reserve_status::reserved, "reserved"},
    {reserve_status::known, "known"},
    {reserve_status::exhausted, "exhausted"},
    {reserve_status::unavailable, "unavailable"},
}};

/// @brief Formats an incarnation; an empty one as the empty text.
std::string format(const incarnation& value)
{
    return value.node.empty() ? std::string() : to_string(value);
}

incarnation parse(const std::string& text)
{
    return text.empty() ? incarnation{} : parse_incarnation(text);
}

template<typename Function> auto read_fields(const char* source, Function function)
{
    try {
        return function();
    } catch (const json::exception& failure) {
        throw format_error(source, "", failure.what());
    }
}

} // namespace

json to_json(const request_key& key)
{
    return {{"workspace", key.workspace}, {"key", key.key}};
}

request_key parse_request_key(const json& value)
{
    return read_fields("request key", [&] {
        return request_key{value.at("workspace").get<std::string>(),
                           value.at("key").get<std::string>()};
    });
}

json to_json(const reserve_message& value)
{
    json result = to_json(value.request.key);
    result.update({{"budget", value.request.budget},
                   {"upper_tokens", value.request.upper_tokens},
                   {"agent", format(value.request.agent)},
                   {"attempt", value.request.attempt},
                   {"router", value.router},
                   {"digest", value.request.digest},
                   {"lend", value.lend},
                   {"caller_key", value.request.caller_key}});
    return result;
}

reserve_message parse_reserve_message(const json& value)
{
    return read_fields("reserve", [&] {
        reserve_message result;
        result.request.key = parse_request_key(value);
        result.request.budget = value.at("budget");
        result.request.upper_tokens = value.at("upper_tokens");
        result.request.agent = parse(value.at("agent").get<std::string>());
        result.request.attempt = value.at("attempt");
        result.request.digest = value.at("digest");
        result.request.caller_key = value.value("caller_key", false);
        result.router = value.at("router");
        result.lend = value.value("lend", false);
        return result;
    });
}

json to_json(const reserve_result& value)
{
    return {{"result", name_of(status_names, value.status)},
            {"holder", format(value.holder)},
            {"holder_address", value.holder_address},
            {"agent", format(value.agent)}};
}

reserve_result parse_reserve_result(const json& value)
{
    return read_fields("reserve result", [&] {
        const auto status = value_of(status_names, value.at("result").get<std::string>());
        if (!status.has_value()) {
            throw format_error("reserve result", "/result", "expected a known result");
        }
        return reserve_result{.status = *status,
                              .holder = parse(value.at("holder").get<std::string>()),
                              .holder_address = value.at("holder_address"),
                              .agent = parse(value.at("agent").get<std::string>())};
    });
}

reserve_result read_reserve_answer(const json& value)
{
    try {
        return parse_reserve_result(value);
    } catch (const format_error& failure) {
        log(events::message_rejected, {{"message", failure.what()}});
        return {};
    }
}

} // namespace dotterelport::router
