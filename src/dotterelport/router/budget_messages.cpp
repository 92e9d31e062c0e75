#include "budget_messages.hpp"

#include "budget_events.hpp"
#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::router {
namespace {

constexpr enum_names<reserve_status, 4> status_names{{
    {reserve_status::reserved, "reserved"},
    {reserve_status::key_in_use, "known"},
    {reserve_status::exhausted, "exhausted"},
    {reserve_status::unavailable, "unavailable"},
}};

/// @brief Formats an incarnation; an empty incarnation becomes an empty string.
std::string format(const incarnation& id)
{
    return id.node.empty() ? std::string() : to_string(id);
}

incarnation parse(const std::string& text)
{
    return text.empty() ? incarnation{} : parse_incarnation(text);
}

/// @brief Runs a function and converts JSON exceptions to format_error.
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

request_key parse_request_key(const json& parameters)
{
    return read_fields("request key", [&] {
        return request_key{parameters.at("workspace").get<std::string>(),
                           parameters.at("key").get<std::string>()};
    });
}

json to_json(const reserve_message& message)
{
    json result = to_json(message.request.key);
    result.update({{"budget", message.request.budget},
                   {"upper_tokens", message.request.upper_tokens},
                   {"agent", format(message.request.agent)},
                   {"attempt", message.request.attempt},
                   {"router", message.router},
                   {"digest", message.request.digest},
                   {"lend", message.lend},
                   {"call", message.call},
                   {"generation", message.generation},
                   {"caller_key", message.request.has_caller_key}});
    return result;
}

reserve_message parse_reserve_message(const json& parameters)
{
    return read_fields("reserve", [&] {
        reserve_message result;
        result.request.key = parse_request_key(parameters);
        result.request.budget = parameters.at("budget");
        result.request.upper_tokens = parameters.at("upper_tokens");
        result.request.agent = parse(parameters.at("agent").get<std::string>());
        result.request.attempt = parameters.at("attempt");
        result.request.digest = parameters.at("digest");
        result.request.has_caller_key = parameters.value("caller_key", false);
        result.router = parameters.at("router");
        result.lend = parameters.value("lend", false);
        result.call = parameters.value("call", "");
        result.generation = parameters.value("generation", std::uint64_t{0});
        return result;
    });
}

json to_json(const release_request& request)
{
    json result = to_json(request.key);
    result.update({{"agent", format(request.agent)}, {"attempt", request.attempt}});
    return result;
}

release_request parse_release_request(const json& parameters)
{
    return read_fields("release", [&] {
        return release_request{.key = parse_request_key(parameters),
                               .agent = parse(parameters.at("agent").get<std::string>()),
                               .attempt = parameters.at("attempt")};
    });
}

json to_json(const cancel_message& message)
{
    json result = to_json(message.reservation);
    result["call"] = message.call;
    return result;
}

cancel_message parse_cancel_message(const json& parameters)
{
    return read_fields("cancel_reserve", [&] {
        return cancel_message{.call = parameters.at("call").get<std::string>(),
                              .reservation = parse_release_request(parameters)};
    });
}

json to_json(const reserve_result& result)
{
    return {{"result", name_of(status_names, result.status)},
            {"holder", format(result.holder)},
            {"holder_address", result.holder_address},
            {"agent", format(result.agent)}};
}

reserve_result parse_reserve_result(const json& answer)
{
    return read_fields("reserve result", [&] {
        const auto status = value_of(status_names, answer.at("result").get<std::string>());
        if (!status.has_value()) {
            throw format_error("reserve result", "/result",
                               "expected reserved, known, exhausted or unavailable");
        }
        return reserve_result{.status = *status,
                              .holder = parse(answer.at("holder").get<std::string>()),
                              .holder_address = answer.at("holder_address"),
                              .agent = parse(answer.at("agent").get<std::string>())};
    });
}

reserve_result read_reserve_answer(const json& answer)
{
    try {
        return parse_reserve_result(answer);
    } catch (const format_error& failure) {
        log(events::message_rejected, {{"message", failure.what()}});
        return {};
    }
}

} // namespace dotterelport::router
