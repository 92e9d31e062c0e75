#include <algorithm>
#include <set>
#include <utility>

#include "budget_events.hpp"
#include "budget_service_native.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::router {
namespace {

/// Longest time that an agent's report waits to become durable; the agent then asks again.
constexpr milliseconds durable_wait{1'000};

/// Reservations without an outcome for this long are looked up at their agent.
constexpr milliseconds reservation_check_age{60'000};
constexpr std::size_t reservation_checks_a_round = 256;
constexpr milliseconds refuse_timeout{1'000};

/// @brief Runs a method and turns malformed parameters into an RPC error.
template<typename Function> auto checked(Function function)
{
    return [function = std::move(function)](const json& parameters, auto... rest) {
        try {
            return function(parameters, rest...);
        } catch (const format_error& failure) {
            log(events::message_rejected, {{"message", failure.what()}});
            throw net::rpc_error("malformed");
        } catch (const json::exception& failure) {
            log(events::message_rejected, {{"message", failure.what()}});
            throw net::rpc_error("malformed");
        }
    };
}

std::optional<request::key_state> parse_key_state(const std::string& name)
{
    using request::key_state;
    for (const auto state :
         {key_state::unknown, key_state::running, key_state::finished, key_state::refused}) {
        if (to_string(state) == name) {
            return state;
        }
    }
    return std::nullopt;
}

/// @brief Keys whose outcomes in a report are all durable.
json durable_keys(const std::vector<request::outcome>& outcomes,
                  const std::function<bool(const request::outcome&)>& is_durable)
{
    std::set<request_key> pending;
    std::set<request_key> durable;
    for (const auto& outcome : outcomes) {
        (is_durable(outcome) ? durable : pending).insert(outcome.key);
    }
    json result = json::array();
    for (const auto& key : durable) {
        if (!pending.contains(key)) {
            result.push_back(to_json(key));
        }
    }
    return result;
}

} // namespace

void budget_service::native::serve(net::rpc_server& server)
{
    server.add_deferred(
        "reserve", checked([this](const json& parameters, const net::rpc_server::reply& reply) {
            reserve_here(parse_reserve_message(parameters),
                         [reply](const reserve_result& result) { reply(to_json(result)); });
        }));
    server.add("release", checked([this](const json& parameters) {
                   return json{{"released", release_here(parse_request_key(parameters))}};
               }));
    server.add("lookup", checked([this](const json& parameters) {
                   return lookup_here(parse_request_key(parameters));
               }));
    server.add_deferred(
        "outcomes", checked([this](const json& parameters, const net::rpc_server::reply& reply) {
            take_outcomes(parameters, reply);
        }));
    server.add_deferred(
        "recall", checked([this](const json& parameters, const net::rpc_server::reply& reply) {
            const auto budgets = parameters.at("budgets").get<std::vector<std::string>>();
            const auto owner =
                existing_owner(shard_of(parameters.at("workspace").get<std::string>()));
            if (owner == nullptr) {
                reply({{"returned", json::object()}});
                return;
            }
            owner->recall(budgets, [reply](const std::map<std::string, tokens>& returned) {
                reply({{"returned", returned}});
            });
        }));
}

void budget_service::native::take_outcomes(const json& parameters, net::rpc_server::reply reply)
{
    waiting_outcomes report{
        .outcomes = {}, .reply = std::move(reply), .deadline = steady_now() + durable_wait};
    for (const auto& item : parameters.at("outcomes")) {
        auto outcome = request::parse_outcome(item);
        if (outcome.holder != current) {
            // The closer of that holder asks the agent for it.
            continue;
        }
        if (const auto owner = existing_owner(shard_of(outcome.key.workspace))) {
            owner->session().holder().settle(outcome);
        }
        report.outcomes.push_back(std::move(outcome));
    }
    waiting.push_back(std::move(report));
    answer_durable();
}

void budget_service::native::answer_durable()
{
    const auto now = steady_now();
    const auto is_durable = [this](const request::outcome& outcome) {
        const auto owner = existing_owner(shard_of(outcome.key.workspace));
        return outcome.holder == current && owner != nullptr &&
               owner->session().holder().is_durable(outcome);
    };
    std::erase_if(waiting, [&](const waiting_outcomes& report) {
        const bool complete =
            std::all_of(report.outcomes.begin(), report.outcomes.end(), is_durable);
        if (complete || now >= report.deadline) {
            report.reply({{"durable", durable_keys(report.outcomes, is_durable)}});
            return true;
        }
        return false;
    });
}

void budget_service::native::check_old_reservations()
{
    const auto now = steady_now();
    for (const auto& owner : all_owners()) {
        const auto old = owner->session().holder().reserved_before(now - reservation_check_age,
                                                                   reservation_checks_a_round);
        for (const auto& [key, agent] : old) {
            if (environment.nodes.is_gone(agent)) {
                owner->session().holder().agent_gone(agent);
                continue;
            }
            const auto record = environment.nodes.find(agent.node);
            if (!record.has_value()) {
                continue;
            }
            json parameters = to_json(key);
            parameters["agent"] = to_string(agent);
            call(*record, "refuse", parameters, refuse_timeout,
                 [owner, key = key, agent = agent](const net::rpc_result& result) {
                     if (!result.ok()) {
                         return;
                     }
                     const auto state = parse_key_state(result.value.value("state", ""));
                     if (state.has_value() &&
                         owner->session().holder().take_report(key, agent, *state, steady_now())) {
                         log(events::reservation_released, {{"workspace", key.workspace},
                                                            {"key", key.key},
                                                            {"agent", to_string(agent)}});
                     }
                 });
        }
    }
}

} // namespace dotterelport::router
