#ifndef DOTTERELPORT_AGENT_AGENT_STATE_HPP
#define DOTTERELPORT_AGENT_AGENT_STATE_HPP

#include <map>

#include "dotterelport/agent/agent.hpp"
#include "dotterelport/agent/agent_metrics.hpp"
#include "dotterelport/agent/backend.hpp"
#include "dotterelport/agent/backend_monitor.hpp"
#include "dotterelport/agent/order_guard.hpp"
#include "dotterelport/agent/outcome_pusher.hpp"
#include "dotterelport/agent/request_runner.hpp"

namespace dotterelport::agent {

/// Components of an agent, shared by its RPC methods, metrics and dump.
struct agent::impl {
    impl(net::event_loop& event_loop, net::rpc_client& rpc, const options& agent_options);

    [[nodiscard]] request::admission_conditions conditions() const;

    /// @brief Adds the RPC methods of agents, which section 8 of the design page describes.
    void add_methods(net::rpc_server& methods);

    [[nodiscard]] json status(const json& parameters) const;
    json fence(const json& parameters);
    json acknowledge(const json& parameters);

    net::event_loop& loop;
    options settings;
    incarnation self;
    bool is_leaving = false;
    std::function<generation_state()> generation_source = [] { return generation_state{}; };
    backend server;
    request_runner runner;
    outcome_pusher pusher;
    backend_monitor monitor;
    order_guard orders;
    std::unique_ptr<agent_metrics> metrics;
    /// By holder, the number of the last outcome in the latest answer to fence.
    std::map<incarnation, std::uint64_t> last_fenced_outcomes;
};

} // namespace dotterelport::agent

#endif
