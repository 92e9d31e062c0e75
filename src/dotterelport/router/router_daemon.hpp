#ifndef DOTTERELPORT_ROUTER_ROUTER_DAEMON_HPP
#define DOTTERELPORT_ROUTER_ROUTER_DAEMON_HPP

#include <map>
#include <memory>
#include <random>
#include <string>

#include "callers_server.hpp"
#include "dotterelport/config/follower.hpp"
#include "dotterelport/membership/directory.hpp"
#include "dotterelport/process/limited_clients.hpp"
#include "dotterelport/process/operators_server.hpp"
#include "dotterelport/process/settings.hpp"
#include "dotterelport/request/retry_budget.hpp"
#include "dotterelport/router/budget_service.hpp"
#include "node_poller.hpp"

namespace dotterelport::router {

/// A router process: connects the modules, serves the three ports, and drains on request.
class router_daemon {
public:
    /// @throws error if a port cannot be bound
    router_daemon(net::event_loop& loop, const process::settings& settings);
    ~router_daemon();
    router_daemon(const router_daemon&) = delete;
    router_daemon& operator=(const router_daemon&) = delete;

    /// @brief Stops accepting requests, finishes those in progress, returns grants, and then stops
    /// the loop.
    void drain();

private:
    [[nodiscard]] std::string not_ready_reason() const;
    [[nodiscard]] bool watches_platform() const;
    [[nodiscard]] std::vector<net::endpoint> configuration_sources() const;
    [[nodiscard]] std::vector<net::endpoint> other_routers() const;
    [[nodiscard]] json status() const;
    [[nodiscard]] json dump() const;
    [[nodiscard]] dispatch_context make_dispatch();
    [[nodiscard]] bool consume_retry(const std::string& service);
    void log_when_ready();
    void finish_drain();
    void stop();

    net::event_loop& loop_;
    process::settings settings_;
    net::http_client http_;
    net::rpc_client rpc_;
    object_store::client platform_;
    membership::directory nodes_;
    config::follower configuration_;
    budget_service budgets_;
    agent_pool agents_;
    crash_guard crashes_;
    recent_agents recent_;
    std::map<std::string, request::retry_budget> retries_;
    std::mt19937_64 random_;
    process::operators_server operators_;
    metrics metrics_;
    dispatch_context dispatch_;
    process::limited_clients limited_clients_;
    callers_server callers_;
    net::http_server peers_;
    net::rpc_server peers_rpc_;
    node_poller poller_;
    bool draining_ = false;
    bool ready_logged_ = false;
    milliseconds drain_deadline_{0};
};

} // namespace dotterelport::router

#endif
