#include <limits>
#include <utility>

#include "dotterelport/agent/agent_state.hpp"
#include "dotterelport/agent/events.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::agent {
namespace {

/// Limit of cached prefixes in a status answer; each adds 19 bytes to the message.
constexpr std::size_t max_status_prefixes = 128;

std::string text_of(const json& parameters, const char* name)
{
    const json text = parameters.value(name, json());
    if (!text.is_string()) {
        throw net::rpc_error(std::string("expected a string: ") + name);
    }
    return text.get<std::string>();
}

request_key key_of(const json& parameters)
{
    return {text_of(parameters, "workspace"), text_of(parameters, "key")};
}

incarnation holder_of(const json& parameters)
{
    return parse_incarnation(text_of(parameters, "holder"));
}

} // namespace

void agent::impl::add_methods(net::rpc_server& methods)
{
    methods.add("status", [this](const json& parameters) { return status(parameters); });
    // A message for another incarnation must not affect the requests of this one.
    const auto check = [this](const json& parameters) {
        if (self.node.empty() || text_of(parameters, "agent") != to_string(self)) {
            throw net::rpc_error("wrong_incarnation");
        }
    };
    const auto add = [&](const std::string& name, std::function<json(const json&)> function) {
        methods.add(name, [check, function = std::move(function)](const json& parameters) {
            check(parameters);
            return function(parameters);
        });
    };
    add("lookup", [this](const json& parameters) {
        return to_json(runner.table().lookup(key_of(parameters)));
    });
    add("refuse", [this](const json& parameters) {
        const json attempt = parameters.value("attempt", json());
        return to_json(runner.table().refuse(
            key_of(parameters), attempt.is_number_unsigned() ? attempt.get<std::uint32_t>()
                                                             : request::key_memory::all_attempts));
    });
    add("cancel",
        [this](const json& parameters) { return to_json(runner.cancel(key_of(parameters))); });
    add("fence", [this](const json& parameters) { return fence(parameters); });
    add("acknowledge", [this](const json& parameters) { return acknowledge(parameters); });
    methods.add_deferred("order",
                         [this, check](const json& parameters, const net::rpc_server::reply& done) {
                             check(parameters);
                             orders.handle(parameters, done);
                         });
}

json agent::impl::status(const json& parameters) const
{
    const load_report& report = monitor.load();
    const bool has_report = monitor.has_report();
    json load = {{"running", has_report ? report.running : runner.running_count()},
                 {"waiting", report.waiting},
                 {"capacity", has_report ? report.capacity : settings.max_running_requests},
                 {"tokens_per_second", report.tokens_per_second},
                 {"admitted", runner.running_count()}};
    json cache = {{"sequence", monitor.cache().sequence()}};
    if (parameters.value("cache_sequence", json()) != cache["sequence"]) {
        cache["prefixes"] = monitor.cache().newest(max_status_prefixes);
    }
    return {{"node", self.node},
            {"incarnation", to_string(self)},
            {"service", settings.service},
            {"leaving", is_leaving},
            {"generation", generation_source().generation},
            {"backend_reachable", monitor.is_reachable()},
            {"load", std::move(load)},
            {"cache", std::move(cache)}};
}

json agent::impl::fence(const json& parameters)
{
    const incarnation holder = holder_of(parameters);
    runner.table().fence(holder);
    json running = json::array();
    for (const auto& [key, running_request] : runner.table().running()) {
        if (running_request.holder == holder) {
            running.push_back({{"workspace", key.workspace},
                               {"key", key.key},
                               {"budget", running_request.budget},
                               {"upper_tokens", running_request.upper_tokens},
                               {"attempt", running_request.attempt}});
        }
    }
    const auto batch = runner.outcomes().oldest(holder, std::numeric_limits<std::size_t>::max());
    json unsettled_outcomes = json::array();
    for (const request::outcome& unsettled_outcome : batch.outcomes) {
        unsettled_outcomes.push_back(to_json(unsettled_outcome));
    }
    last_fenced_outcomes[holder] = batch.last_number;
    log(events::holder_fenced, {{"holder", to_string(holder)},
                                {"running", running.size()},
                                {"outcomes", unsettled_outcomes.size()}});
    return {{"running", std::move(running)}, {"outcomes", std::move(unsettled_outcomes)}};
}

json agent::impl::acknowledge(const json& parameters)
{
    const incarnation holder = holder_of(parameters);
    std::vector<request_key> keys;
    for (const json& key_object : parameters.value("keys", json::array())) {
        if (!key_object.is_object()) {
            throw net::rpc_error("expected an object: keys");
        }
        keys.push_back(key_of(key_object));
    }
    // The closer has not received outcomes that were added after the latest answer to fence, so
    // these stay.
    const auto last_fenced = last_fenced_outcomes.find(holder);
    if (last_fenced != last_fenced_outcomes.end()) {
        runner.outcomes().remove(holder, keys, last_fenced->second);
    }
    return json::object();
}

} // namespace dotterelport::agent
