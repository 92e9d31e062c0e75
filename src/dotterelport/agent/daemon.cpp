#include "dotterelport/agent/daemon.hpp"

#include <random>
#include <utility>

#include "dotterelport/agent/agent.hpp"
#include "dotterelport/agent/events.hpp"
#include "dotterelport/config/follower.hpp"
#include "dotterelport/membership/configuration_sources.hpp"
#include "dotterelport/membership/directory.hpp"
#include "dotterelport/object_store/client.hpp"
#include "dotterelport/process/limited_clients.hpp"
#include "dotterelport/process/operators_server.hpp"

namespace dotterelport::agent {
namespace {

constexpr milliseconds drain_poll_interval{50};

/// Minimum time between the start of a drain and the exit, so that routers that poll the agent see
/// that it is leaving, and readers that lost their connection can still join.
constexpr milliseconds min_leaving_time{1'000};

/// Limit of request bodies at the peers' port. Answers and payloads have at most a few MiB; a chat
/// body of 1 MiB grows when it is escaped.
constexpr std::size_t max_message_bytes = std::size_t{8} << 20U;

constexpr milliseconds server_idle_timeout{30'000};

membership::node_record make_record(const process::settings& settings)
{
    membership::node_record record;
    record.id.node = settings.name;
    record.role = membership::node_role::agent;
    record.vm = settings.vm;
    record.region = settings.region;
    record.failure_domain = settings.failure_domain;
    record.service = settings.service;
    record.peer_address = settings.peers_address;
    return record;
}

} // namespace

struct daemon::impl {
    impl(net::event_loop& event_loop, const process::settings& process_settings);

    [[nodiscard]] std::vector<net::endpoint> routers() const;
    [[nodiscard]] agent::generation_state generation() const;
    [[nodiscard]] std::string not_ready_reason() const;
    [[nodiscard]] json dump() const;
    void handle_configuration(const config::snapshot_ptr& snapshot);
    void check_registration();
    void finish_drain();
    void stop();

    net::event_loop& loop;
    process::settings settings;
    net::http_client http;
    net::rpc_client rpc;
    object_store::client platform;
    membership::directory nodes;
    config::follower configuration;
    agent local_agent;
    process::operators_server operators;
    process::limited_clients limited_clients;
    net::http_server peers;
    net::rpc_server methods;
    bool is_service_configured = false;
    bool was_registered = false;
    bool is_draining = false;
    milliseconds drain_started{0};
};

daemon::impl::impl(net::event_loop& event_loop, const process::settings& process_settings)
    : loop(event_loop), settings(process_settings), http(loop, process_settings.address_overrides),
      rpc(http), platform(http, process_settings.platform),
      nodes(loop, platform, make_record(process_settings)),
      configuration(loop, platform, rpc,
                    {.is_watcher = [] { return false; }, .routers = [this] { return routers(); }}),
      local_agent(loop, rpc,
                  {.service = process_settings.service,
                   .backend_server = process_settings.backend_server.value(),
                   .seed = std::random_device{}()}),
      operators(loop, {.address = process_settings.operators_address,
                       .not_ready_reason = [this] { return not_ready_reason(); },
                       .dump = [this] { return dump(); }}),
      limited_clients(
          loop, operators.metrics(),
          {.metric = "dotterelport_agent_limited_clients_total", .event = events::clients_limited}),
      peers(loop, {.max_body_bytes = max_message_bytes,
                   .idle_timeout = server_idle_timeout,
                   .clients = net::limits_of_vm(settings.memory_mb, settings.max_fds)}),
      methods(peers)
{
    local_agent.set_generation_source([this] { return generation(); });
    local_agent.on_generation_seen([this](std::uint64_t seen_generation) {
        if (seen_generation > generation().generation) {
            configuration.report_generation(seen_generation);
        }
    });
    local_agent.serve(peers, methods);
    local_agent.add_metrics(operators.metrics());
    limited_clients.observe("peers", peers);
    peers.listen(settings.peers_address);
    log(events::agent_started, {{"node", settings.name},
                                {"peers", to_string(settings.peers_address)},
                                {"backend_server", to_string(*settings.backend_server)}});
    nodes.start(
        [this] {
            was_registered = true;
            local_agent.set_incarnation(nodes.self().id);
            log(events::agent_registered, {{"incarnation", to_string(nodes.self().id)}});
        },
        [this] { check_registration(); });
    configuration.start(
        [this](const config::snapshot_ptr& snapshot) { handle_configuration(snapshot); });
}

std::vector<net::endpoint> daemon::impl::routers() const
{
    return membership::configuration_sources(nodes.live_nodes(membership::node_role::router),
                                             settings.failure_domain, settings.name);
}

agent::generation_state daemon::impl::generation() const
{
    const auto snapshot = configuration.current();
    return snapshot ? agent::generation_state{snapshot->generation(), configuration.in_force_for()}
                    : agent::generation_state{};
}

std::string daemon::impl::not_ready_reason() const
{
    if (is_draining) {
        return "stopping";
    }
    if (!configuration.current()) {
        return "the platform has not confirmed a configuration yet";
    }
    if (!is_service_configured) {
        return "the configuration has no service " + settings.service;
    }
    return nodes.is_registered() ? "" : "not registered at the platform";
}

json daemon::impl::dump() const
{
    json result = local_agent.dump();
    result["not_ready_reason"] = not_ready_reason();
    result["nodes"] = nodes.dump();
    result["platform_calls"] = platform.calls();
    result["clients"] = limited_clients.dump();
    return result;
}

void daemon::impl::handle_configuration(const config::snapshot_ptr& snapshot)
{
    const config::service* service = snapshot->find_service(settings.service);
    is_service_configured = service != nullptr;
    if (service != nullptr) {
        local_agent.set_kind(service->kind);
    }
}

void daemon::impl::check_registration()
{
    // Another process registered under this node's name, so routers no longer send requests here.
    if (was_registered && !nodes.is_registered() && !is_draining) {
        was_registered = false;
        local_agent.leave();
    }
}

void daemon::impl::finish_drain()
{
    const milliseconds elapsed = steady_now() - drain_started;
    const bool is_drained = local_agent.is_drained();
    const bool is_timed_out = elapsed >= settings.drain_timeout;
    if (!is_timed_out && (!is_drained || elapsed < min_leaving_time)) {
        loop.schedule(drain_poll_interval, [this] { finish_drain(); });
        return;
    }
    if (is_drained) {
        log(events::agent_drained, {{"elapsed_ms", elapsed.count()}});
    } else {
        log(events::drain_timed_out, {{"state", local_agent.dump()}});
    }
    stop();
}

void daemon::impl::stop()
{
    peers.stop_listening();
    loop.stop();
}

daemon::daemon(net::event_loop& loop, const process::settings& settings)
    : impl_(std::make_unique<impl>(loop, settings))
{}

daemon::~daemon() = default;

void daemon::drain()
{
    if (std::exchange(impl_->is_draining, true)) {
        return;
    }
    impl_->drain_started = steady_now();
    impl_->local_agent.leave();
    impl_->nodes.set_state(membership::node_state::leaving, [](bool /*written*/) {});
    impl_->finish_drain();
}

} // namespace dotterelport::agent
