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

/// Parts of an agent, for its RPC methods, metrics and dump.
struct agent::native {
    native(net::event_loop& event_loop, net::rpc_client& rpc, const options& values);

    [[nodiscard]] request::admission_conditions conditions() const;

    /// @brief Adds the RPC methods of section 8 of the design page.
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
    /// Outcomes told in the last answer to fence(holder), up to this number.
    std::map<incarnation, std::uint64_t> fence_numbers;
};

} // namespace dotterelport::agent

#endif
