#include <limits>
#include <utility>

#include "dotterelport/agent/agent_state.hpp"
#include "dotterelport/agent/events.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::agent {
namespace {

/// Prefixes in a status; each takes 19 bytes of the message.
constexpr std::size_t max_status_prefixes = 128;

std::string text_of(const json& parameters, const char* name)
{
    const json value = parameters.value(name, json());
    if (!value.is_string()) {
        throw net::rpc_error(std::string("expected a string: ") + name);
    }
    return value.get<std::string>();
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

void agent::native::add_methods(net::rpc_server& methods)
{
    methods.add("status", [this](const json& parameters) { return status(parameters); });
    // A message for another incarnation must not change what this one runs.
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
                             orders.take(parameters, done);
                         });
}

json agent::native::status(const json& parameters) const
{
    const load_report& report = monitor.load();
    const bool has_report = monitor.has_report();
    json load = {{"running", has_report ? report.running : runner.running_count()},
                 {"waiting", report.waiting},
                 {"capacity", has_report ? report.capacity : settings.max_running},
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

json agent::native::fence(const json& parameters)
{
    const incarnation holder = holder_of(parameters);
    runner.table().fence(holder);
    json running = json::array();
    for (const auto& [key, item] : runner.table().running()) {
        if (item.holder == holder) {
            running.push_back({{"workspace", key.workspace},
                               {"key", key.key},
                               {"budget", item.budget},
                               {"upper_tokens", item.upper_tokens},
                               {"attempt", item.attempt}});
        }
    }
    const auto batch = runner.outcomes().take(holder, std::numeric_limits<std::size_t>::max());
    json list = json::array();
    for (const request::outcome& item : batch.outcomes) {
        list.push_back(to_json(item));
    }
    fence_numbers[holder] = batch.last_number;
    log(events::holder_fenced,
        {{"holder", to_string(holder)}, {"running", running.size()}, {"outcomes", list.size()}});
    return {{"running", std::move(running)}, {"outcomes", std::move(list)}};
}

json agent::native::acknowledge(const json& parameters)
{
    const incarnation holder = holder_of(parameters);
    std::vector<request_key> keys;
    for (const json& item : parameters.value("keys", json::array())) {
        if (!item.is_object()) {
            throw net::rpc_error("expected an object: keys");
        }
        keys.push_back(key_of(item));
    }
    // Outcomes that came after the last answer to fence are not known to the closer.
    const auto told = fence_numbers.find(holder);
    if (told != fence_numbers.end()) {
        runner.outcomes().remove(holder, keys, told->second);
    }
    return json::object();
}

} // namespace dotterelport::agent
