#include "router_daemon.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/membership/configuration_sources.hpp"
#include "events.hpp"

namespace dotterelport::router {
namespace {

constexpr std::size_t max_recent_keys = 16'384;

constexpr milliseconds drain_poll_interval{50};

/// Limit on the return of grants, in case the platform does not respond.
constexpr milliseconds grant_return_timeout{15'000};

/// Delay between the last bill batch and the stop. Agents push outcomes every 100 ms, and in this
/// time they receive the confirmation that their outcomes are durable. Without it they would wait
/// for this router until their own drain timeout.
constexpr milliseconds durable_grace{400};

/// Limit on the last write of this node's record.
constexpr milliseconds record_write_timeout{3'000};

/// Quarters of what clients may make the process hold, for callers and for other nodes. They are
/// separate so that callers cannot use up what the budgets of other routers need.
constexpr std::size_t callers_quarters = 3;
constexpr std::size_t peers_quarters = 1;

net::client_limits client_limits(const process::settings& settings, std::size_t quarters)
{
    return net::quarters_of(net::limits_of_vm(settings.memory_mb, settings.max_fds), quarters);
}

membership::node_record own_record(const process::settings& settings)
{
    membership::node_record record;
    record.id.node = settings.name;
    record.role = membership::node_role::router;
    record.vm = settings.vm;
    record.region = settings.region;
    record.failure_domain = settings.failure_domain;
    record.peer_address = settings.peers_address;
    return record;
}

/// Wraps a function so that it runs once, even if several copies of the wrapper are called.
std::function<void()> once(std::function<void()> function)
{
    auto shared = std::make_shared<std::function<void()>>(std::move(function));
    return [shared] {
        if (const auto call = std::exchange(*shared, nullptr)) {
            call();
        }
    };
}

} // namespace

router_daemon::router_daemon(net::event_loop& loop, const process::settings& settings)
    : loop_(loop), settings_(settings), http_(loop, settings.address_overrides), rpc_(http_),
      platform_(http_, settings.platform), nodes_(loop, platform_, own_record(settings)),
      configuration_(loop, platform_, rpc_,
                     {.is_watcher = [this] { return watches_platform(); },
                      .routers = [this] { return configuration_sources(); }}),
      budgets_({loop, platform_, rpc_, nodes_, configuration_}), agents_(settings.failure_domain),
      crashes_({rpc_, platform_, [this] { return other_routers(); }}), recent_(max_recent_keys),
      random_(std::random_device{}()),
      operators_(loop, {.address = settings.operators_address,
                        .not_ready_reason = [this] { return not_ready_reason(); },
                        .dump = [this] { return dump(); }}),
      metrics_(operators_.metrics()), dispatch_(make_dispatch()),
      limited_clients_(loop, operators_.metrics(),
                       {.metric = "dotterelport_router_limited_clients_total",
                        .event = events::clients_limited}),
      callers_({dispatch_, metrics_, [this] { return not_ready_reason(); },
                client_limits(settings, callers_quarters)}),
      peers_(loop, {.clients = client_limits(settings, peers_quarters)}), peers_rpc_(peers_),
      poller_(loop, rpc_, nodes_, agents_)
{
    limited_clients_.observe("callers", callers_.server());
    limited_clients_.observe("peers", peers_);
    peers_rpc_.add("status", [this](const json&) { return status(); });
    peers_rpc_.add("dump", [this](const json&) { return dump(); });
    configuration_.serve(peers_rpc_);
    budgets_.serve(peers_rpc_);
    crashes_.serve(peers_rpc_);
    peers_.listen(settings_.peers_address);
    callers_.listen(settings_.callers_address.value());
    nodes_.start(
        [this] {
            crashes_.load();
            log_when_ready();
        },
        [this] { agents_.update(nodes_.live_nodes(membership::node_role::agent)); });
    configuration_.start([this](const config::snapshot_ptr&) { log_when_ready(); });
}

router_daemon::~router_daemon() = default;

dispatch_context router_daemon::make_dispatch()
{
    return {
        .loop = loop_,
        .http = http_,
        .rpc = rpc_,
        .platform = platform_,
        .agents = agents_,
        .crashes = crashes_,
        .recent = recent_,
        .random = random_,
        .configuration = [this] { return configuration_.current(); },
        .self = [this] { return nodes_.self().id; },
        .refresh_configuration =
            [this] {
                configuration_.report_generation(configuration_.current()->generation() + 1);
            },
        .reserve = [this](const reserve_request& request,
                          auto done) { budgets_.reserve(request, std::move(done)); },
        .release = [this](const release_request& request) { budgets_.release(request); },
        .is_gone = [this](const incarnation& agent) { return nodes_.is_gone(agent); },
        .find_agent = [this](const incarnation& agent) -> std::optional<membership::node_record> {
            auto record = nodes_.find(agent.node);
            if (!record || record->id != agent) {
                return std::nullopt;
            }
            return record;
        },
        .report_contact = [this](const std::string& node,
                                 bool answered) { nodes_.report_contact(node, answered); },
        .report_leaving = [this](const std::string& node) { nodes_.report_leaving(node); },
        .record_first_attempt =
            [this](const std::string& service) { retries_[service].record_first_attempt(); },
        .consume_retry = [this](const std::string& service) { return consume_retry(service); },
    };
}

bool router_daemon::consume_retry(const std::string& service)
{
    const bool allowed = retries_[service].try_retry();
    if (allowed) {
        metrics_.count_retry(service);
    }
    return allowed;
}

std::string router_daemon::not_ready_reason() const
{
    if (draining_) {
        return "stopping";
    }
    if (!configuration_.current()) {
        return "the platform has not confirmed a configuration yet";
    }
    return nodes_.is_registered() ? "" : "not registered at the platform";
}

void router_daemon::log_when_ready()
{
    if (!ready_logged_ && not_ready_reason().empty()) {
        ready_logged_ = true;
        log(events::ready, {{"incarnation", to_string(nodes_.self().id)},
                            {"generation", configuration_.current()->generation()}});
    }
}

bool router_daemon::watches_platform() const
{
    auto routers = nodes_.live_nodes(membership::node_role::router);
    const auto is_self = [this](const auto& router) { return router.id.node == settings_.name; };
    if (std::none_of(routers.begin(), routers.end(), is_self)) {
        routers.push_back(nodes_.self());
    }
    const auto watchers = membership::configuration_watchers(routers, settings_.failure_domain);
    return std::any_of(watchers.begin(), watchers.end(), is_self);
}

std::vector<net::endpoint> router_daemon::configuration_sources() const
{
    return membership::configuration_sources(nodes_.live_nodes(membership::node_role::router),
                                             settings_.failure_domain, settings_.name);
}

std::vector<net::endpoint> router_daemon::other_routers() const
{
    std::vector<net::endpoint> result;
    for (const auto& router : nodes_.live_nodes(membership::node_role::router)) {
        if (router.id.node != settings_.name) {
            result.push_back(router.peer_address);
        }
    }
    return result;
}

json router_daemon::status() const
{
    const auto configuration = configuration_.current();
    return {{"node", settings_.name},
            {"incarnation", to_string(nodes_.self().id)},
            {"leaving", draining_},
            {"generation", configuration ? configuration->generation() : 0},
            {"requests_in_progress", callers_.requests_in_progress()}};
}

json router_daemon::dump() const
{
    json result = status();
    result["not_ready_reason"] = not_ready_reason();
    result["configuration"] = configuration_.dump();
    result["agents"] = agents_.dump();
    result["quarantine"] = crashes_.dump();
    result["nodes"] = nodes_.dump();
    result["budgets"] = budgets_.dump();
    result["platform_calls"] = platform_.calls();
    result["clients"] = limited_clients_.dump();
    return result;
}

void router_daemon::drain()
{
    if (std::exchange(draining_, true)) {
        return;
    }
    log(events::drain_started, {{"requests", callers_.requests_in_progress()}});
    drain_deadline_ = steady_now() + settings_.drain_timeout;
    callers_.stop();
    nodes_.set_state(membership::node_state::leaving, [](bool) {});
    finish_drain();
}

void router_daemon::finish_drain()
{
    const auto unfinished = callers_.requests_in_progress();
    if (unfinished > 0 && steady_now() < drain_deadline_) {
        loop_.schedule(drain_poll_interval, [this] { finish_drain(); });
        return;
    }
    if (unfinished > 0) {
        log(events::drain_timeout, {{"requests", unfinished}});
    }
    const auto stop_once = once([this] { stop(); });
    budgets_.drain([this, stop_once] { loop_.schedule(durable_grace, stop_once); });
    loop_.schedule(grant_return_timeout, stop_once);
}

void router_daemon::stop()
{
    log(events::drained, {{"budgets", budgets_.dump()}});
    const auto stop_loop = once([this] { loop_.stop(); });
    // The remaining routers close the record, because they verify that no grant is open.
    nodes_.set_state(membership::node_state::leaving, [stop_loop](bool) { stop_loop(); });
    loop_.schedule(record_write_timeout, stop_loop);
}

} // namespace dotterelport::router
