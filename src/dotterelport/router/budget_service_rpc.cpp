#include <algorithm>
#include <set>
#include <utility>

#include "budget_events.hpp"
#include "budget_service_impl.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::router {
namespace {

/// Time limit for the outcomes in an agent's report to become durable. The reply lists those that
/// are; the agent reports the others again.
constexpr milliseconds durability_timeout{1'000};

/// Reservations that have no outcome for this long are checked at their agent.
constexpr milliseconds stale_reservation_age{60'000};
constexpr std::size_t max_reservation_checks_per_shard = 256;
constexpr milliseconds refuse_timeout{1'000};

/// @brief Wraps an RPC method so that malformed parameters become an RPC error.
template<typename Function> auto reject_malformed(Function function)
{
    return [function = std::move(function)](const json& parameters, auto... further_arguments) {
        try {
            return function(parameters, further_arguments...);
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

/// @brief Keys of a report of which all outcomes are durable.
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

void budget_service::impl::serve(net::rpc_server& server)
{
    server.add_deferred(
        "reserve",
        reject_malformed([this](const json& parameters, const net::rpc_server::reply& reply) {
            serve_reserve(parse_reserve_message(parameters),
                          [reply](const reserve_result& result) { reply(to_json(result)); });
        }));
    server.add("cancel_reserve", reject_malformed([this](const json& parameters) {
                   serve_cancel(parse_cancel_message(parameters));
                   return json::object();
               }));
    server.add("release", reject_malformed([this](const json& parameters) {
                   return json{{"released", release_here(parse_release_request(parameters))}};
               }));
    server.add("lookup", reject_malformed([this](const json& parameters) {
                   return lookup_here(parse_request_key(parameters));
               }));
    server.add_deferred("outcomes", reject_malformed([this](const json& parameters,
                                                            const net::rpc_server::reply& reply) {
                            receive_outcomes(parameters, reply);
                        }));
    server.add_deferred(
        "recall",
        reject_malformed([this](const json& parameters, const net::rpc_server::reply& reply) {
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

void budget_service::impl::receive_outcomes(const json& parameters, net::rpc_server::reply reply)
{
    outcome_report report{
        .outcomes = {}, .reply = std::move(reply), .deadline = steady_now() + durability_timeout};
    for (const auto& item : parameters.at("outcomes")) {
        auto outcome = request::parse_outcome(item);
        if (outcome.holder != current_incarnation) {
            // The closer of that holder fetches the outcome from the agent.
            continue;
        }
        if (const auto owner = existing_owner(shard_of(outcome.key.workspace))) {
            owner->session().holder().settle(outcome);
        }
        report.outcomes.push_back(std::move(outcome));
    }
    waiting_reports.push_back(std::move(report));
    complete_waiting_reports();
}

void budget_service::impl::complete_waiting_reports()
{
    const auto now = steady_now();
    const auto is_durable = [this](const request::outcome& outcome) {
        const auto owner = existing_owner(shard_of(outcome.key.workspace));
        return outcome.holder == current_incarnation && owner != nullptr &&
               owner->session().holder().is_durable(outcome);
    };
    std::erase_if(waiting_reports, [&](const outcome_report& report) {
        const bool complete =
            std::all_of(report.outcomes.begin(), report.outcomes.end(), is_durable);
        if (complete || now >= report.deadline) {
            report.reply({{"durable", durable_keys(report.outcomes, is_durable)}});
            return true;
        }
        return false;
    });
}

void budget_service::impl::check_stale_reservations()
{
    const auto now = steady_now();
    for (const auto& owner : all_owners()) {
        const auto stale = owner->session().holder().reserved_before(
            now - stale_reservation_age, max_reservation_checks_per_shard);
        for (const auto& [key, agent] : stale) {
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
                     if (state.has_value() && owner->session().holder().apply_key_state(
                                                  key, agent, *state, steady_now())) {
                         log(events::reservation_released, {{"workspace", key.workspace},
                                                            {"key", key.key},
                                                            {"agent", to_string(agent)}});
                     }
                 });
        }
    }
}

} // namespace dotterelport::router
