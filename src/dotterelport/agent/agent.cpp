#include "dotterelport/agent/agent.hpp"

#include <utility>

#include "dotterelport/agent/agent_state.hpp"
#include "dotterelport/agent/events.hpp"

namespace dotterelport::agent {

agent::impl::impl(net::event_loop& event_loop, net::rpc_client& rpc, const options& agent_options)
    : loop(event_loop), settings(agent_options), server(event_loop, agent_options.backend_server),
      runner(event_loop, server,
             {.service = agent_options.service,
              .max_running_requests = agent_options.max_running_requests},
             [this] { return conditions(); }),
      pusher(event_loop, rpc, runner.outcomes(), agent_options.seed),
      monitor(event_loop, agent_options.backend_server),
      orders(event_loop, agent_options.backend_server)
{}

request::admission_conditions agent::impl::conditions() const
{
    const generation_state state = generation_source();
    return {.self = self,
            .generation = state.generation,
            .generation_in_force = state.in_force,
            .is_leaving = is_leaving,
            .overload_reason = state.generation == 0 ? "no configuration is in force yet" : ""};
}

agent::agent(net::event_loop& loop, net::rpc_client& rpc, const options& settings)
    : impl_(std::make_unique<impl>(loop, rpc, settings))
{}

agent::~agent() = default;

void agent::serve(net::http_server& server, net::rpc_server& methods)
{
    impl_->runner.serve(server);
    impl_->add_methods(methods);
    methods.add("dump", [this](const json&) { return dump(); });
}

void agent::set_incarnation(const incarnation& self)
{
    impl_->self = self;
    impl_->pusher.set_incarnation(self);
}

void agent::set_kind(config::service_kind kind)
{
    impl_->monitor.set_enabled(kind == config::service_kind::model);
}

void agent::set_generation_source(std::function<generation_state()> source)
{
    impl_->generation_source = std::move(source);
}

void agent::on_generation_seen(std::function<void(std::uint64_t)> function)
{
    impl_->runner.on_generation(std::move(function));
}

void agent::leave()
{
    impl_->is_leaving = true;
    log(events::agent_leaving, {{"running", impl_->runner.running_count()},
                                {"outcomes", impl_->runner.outcomes().size()}});
}

bool agent::is_drained() const
{
    return impl_->runner.running_count() == 0 && impl_->runner.reader_count() == 0 &&
           impl_->runner.outcomes().size() == 0;
}

void agent::add_metrics(prometheus::Registry& registry)
{
    impl_->metrics =
        std::make_unique<agent_metrics>(impl_->loop, registry, impl_->runner, impl_->monitor);
}

json agent::dump() const
{
    json running = json::array();
    for (const auto& [key, running_request] : impl_->runner.table().running()) {
        running.push_back({{"workspace", key.workspace},
                           {"key", key.key},
                           {"attempt", running_request.attempt},
                           {"holder", to_string(running_request.holder)},
                           {"budget", running_request.budget},
                           {"upper_tokens", running_request.upper_tokens}});
    }
    json holders = json::object();
    for (const incarnation& holder : impl_->runner.outcomes().holders()) {
        holders[to_string(holder)] = impl_->runner.outcomes()
                                         .oldest(holder, request::max_unsettled_outcomes)
                                         .outcomes.size();
    }
    json status = impl_->status(json::object());
    status["running_requests"] = std::move(running);
    status["outcomes_by_holder"] = std::move(holders);
    status["fenced"] = impl_->runner.table().fences().epochs();
    status["known_keys"] = impl_->runner.table().known().size();
    status["replay"] = {{"streams", impl_->runner.replay().streams()},
                        {"bytes", impl_->runner.replay().bytes()}};
    status["readers"] = impl_->runner.reader_count();
    status["highest_fencing"] = impl_->orders.highest_fencing();
    return status;
}

} // namespace dotterelport::agent
