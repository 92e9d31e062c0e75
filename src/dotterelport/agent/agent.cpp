#include "dotterelport/agent/agent.hpp"

#include <utility>

#include "dotterelport/agent/agent_state.hpp"
#include "dotterelport/agent/events.hpp"

namespace dotterelport::agent {

agent::native::native(net::event_loop& event_loop, net::rpc_client& rpc,
                      const options& agent_options)
    : loop(event_loop), settings(agent_options), server(event_loop, agent_options.backend_server),
      runner(event_loop, server,
             {.service = agent_options.service,
              .max_running_requests = agent_options.max_running_requests},
             [this] { return conditions(); }),
      pusher(event_loop, rpc, runner.outcomes(), agent_options.seed),
      monitor(event_loop, agent_options.backend_server),
      orders(event_loop, agent_options.backend_server)
{}

request::admission_conditions agent::native::conditions() const
{
    const generation_state state = generation_source();
    return {.self = self,
            .generation = state.generation,
            .generation_in_force = state.in_force,
            .is_leaving = is_leaving,
            .overload_reason = state.generation == 0 ? "no configuration is in force yet" : ""};
}

agent::agent(net::event_loop& loop, net::rpc_client& rpc, const options& settings)
    : native_(std::make_unique<native>(loop, rpc, settings))
{}

agent::~agent() = default;

void agent::serve(net::http_server& server, net::rpc_server& methods)
{
    native_->runner.serve(server);
    native_->add_methods(methods);
    methods.add("dump", [this](const json&) { return dump(); });
}

void agent::set_incarnation(const incarnation& self)
{
    native_->self = self;
    native_->pusher.set_incarnation(self);
}

void agent::set_kind(config::service_kind kind)
{
    native_->monitor.set_enabled(kind == config::service_kind::model);
}

void agent::set_generation_source(std::function<generation_state()> source)
{
    native_->generation_source = std::move(source);
}

void agent::on_generation_seen(std::function<void(std::uint64_t)> function)
{
    native_->runner.on_generation(std::move(function));
}

void agent::leave()
{
    native_->is_leaving = true;
    log(events::agent_leaving, {{"running", native_->runner.running_count()},
                                {"outcomes", native_->runner.outcomes().size()}});
}

bool agent::is_drained() const
{
    return native_->runner.running_count() == 0 && native_->runner.reader_count() == 0 &&
           native_->runner.outcomes().size() == 0;
}

void agent::add_metrics(prometheus::Registry& registry)
{
    native_->metrics =
        std::make_unique<agent_metrics>(native_->loop, registry, native_->runner, native_->monitor);
}

json agent::dump() const
{
    json running = json::array();
    for (const auto& [key, running_request] : native_->runner.table().running()) {
        running.push_back({{"workspace", key.workspace},
                           {"key", key.key},
                           {"attempt", running_request.attempt},
                           {"holder", to_string(running_request.holder)},
                           {"budget", running_request.budget},
                           {"upper_tokens", running_request.upper_tokens}});
    }
    json holders = json::object();
    for (const incarnation& holder : native_->runner.outcomes().holders()) {
        holders[to_string(holder)] = native_->runner.outcomes()
                                         .oldest(holder, request::max_unsettled_outcomes)
                                         .outcomes.size();
    }
    json status = native_->status(json::object());
    status["running_requests"] = std::move(running);
    status["outcomes_by_holder"] = std::move(holders);
    status["fenced"] = native_->runner.table().fences().epochs();
    status["known_keys"] = native_->runner.table().known().size();
    status["replay"] = {{"streams", native_->runner.replay().streams()},
                        {"bytes", native_->runner.replay().bytes()}};
    status["readers"] = native_->runner.reader_count();
    status["highest_fencing"] = native_->orders.highest_fencing();
    return status;
}

} // namespace dotterelport::agent
