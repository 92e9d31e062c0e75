#ifndef DOTTERELPORT_AGENT_AGENT_HPP
#define DOTTERELPORT_AGENT_AGENT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <prometheus/registry.h>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/config/document.hpp"
#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/net/rpc.hpp"

namespace dotterelport::agent {

/// The agent of one backend server: admits requests, runs them, keeps their frames for readers and
/// keeps their outcomes until these are durable. Does not use the platform: the daemon sets the
/// agent's incarnation and the source of the generation in force.
class agent {
public:
    struct options {
        std::string service;
        net::endpoint backend_server;
        std::size_t max_running_requests = 1024;
        /// Seed for the jitter of the backoff after failed pushes of outcomes.
        std::uint64_t seed = 1;
    };

    /// Generation of the configuration in force and the time since it came into force.
    struct generation_state {
        std::uint64_t generation = 0;
        milliseconds in_force{0};
    };

    /// @param rpc client for messages to routers
    agent(net::event_loop& loop, net::rpc_client& rpc, const options& settings);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    /// @brief Adds POST /v1/requests and the RPC methods of agents.
    void serve(net::http_server& server, net::rpc_server& methods);

    /// @brief Sets the agent's incarnation. No request is admitted before this call.
    void set_incarnation(const incarnation& self);

    /// @brief Sets the kind of the service; engines are polled for their load.
    void set_kind(config::service_kind kind);

    /// @brief Sets the source of the generation in force. No request is admitted while the
    /// generation is 0, which means that no configuration is in force.
    void set_generation_source(std::function<generation_state()> source);

    /// @brief Sets a function that is called with the sending router's generation at each
    /// admission.
    void on_generation_seen(std::function<void(std::uint64_t)> function);

    /// @brief Refuses new requests from now on.
    void leave();

    /// @brief Returns whether no request runs, no reader is connected and all outcomes are durable.
    [[nodiscard]] bool is_drained() const;

    /// @brief Adds metrics, which are updated once a second.
    void add_metrics(prometheus::Registry& registry);

    [[nodiscard]] json dump() const;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace dotterelport::agent

#endif
