#include "dotterelport/gateway/gateway.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "dotterelport/gateway/events.hpp"
#include "dotterelport/gateway/feed_exchange.hpp"
#include "dotterelport/gateway/overload_guard.hpp"
#include "dotterelport/process/operators_server.hpp"
#include "explanation.hpp"
#include "forwarding.hpp"
#include "retry_after.hpp"

namespace dotterelport::gateway {
namespace {

/// Time limit for returning the grants.
constexpr milliseconds grant_return_limit{250};

/// Time for refusing the requests that arrived just before the listening socket was closed.
constexpr milliseconds last_refusals{30};

/// Interval of the drain checks and of expiring registrations and reservations.
constexpr milliseconds check_interval{100};

/// Interval of the timer whose delay is observed; not shorter than the longest wait of the event
/// loop, so that it causes no further iterations of an idle process.
constexpr milliseconds load_sample_interval{50};

/// Limits of the Retry-After of requests that are refused because this gateway is short of
/// capacity: another gateway serves them at once, and the spread keeps callers from returning
/// together.
constexpr milliseconds min_relief_retry_after{10};
constexpr milliseconds max_relief_retry_after{50};

constexpr int unavailable = 503;

/// Share of the fleet's retry reserve that the gateways use; the remainder compensates for a wrong
/// count of gateways.
constexpr double retry_reserve_used = 0.6;

/// Share of the allowed retries per request that a gateway uses.
constexpr double retry_share_used = 0.8;

/// Number of gateways that is assumed before the list of gateways is known.
constexpr std::size_t assumed_gateways = 64;

/// Shortest time between two log lines about clients that exceed the limits.
constexpr milliseconds limit_log_interval{1'000};

/// Lower limit of the number of gateways that share the retry reserve.
constexpr std::size_t min_gateways = 4;

peer_description describe(const settings& configured)
{
    return {.node = configured.name,
            .address = configured.peers,
            .failure_domain = configured.failure_domain,
            .weight = configured.cpu_share};
}

routing::placement_settings placement_settings(const settings& configured)
{
    routing::placement_settings result;
    result.router = configured.name;
    return result;
}

} // namespace

struct gateway::state {
    net::event_loop& loop;
    settings current_settings;
    std::shared_ptr<const service_catalogue> catalogue;
    net::backend_client backends;
    routing::placement placement;
    peer_link link;
    peer_exchange peers;
    feed_exchange feeds;
    server_directory servers;
    budget_keeper budgets;
    budget_broker broker;
    crash_watch crashes;
    server_statements statements;
    second_send_policy second_sends;
    overload_guard guard;
    process::operators_server operators;
    metrics counters;
    std::map<std::string, request::retry_budget> retries;
    request::retry_budget::options retry_options;
    std::mt19937_64 random{std::random_device{}()};
    admission admissions{current_settings.admission, random};
    waiting_room waiting{loop, admissions};
    std::uint64_t last_attempt = 0;
    std::optional<stop_order> stopping;
    bool returning_grants = false;
    bool was_ready = false;
    bool are_peers_listed = false;
    std::function<void()> stopped;
    std::uint64_t last_request = 0;
    std::map<std::uint64_t, std::shared_ptr<forwarding>> requests;
    forwarding_context context;
    std::map<net::limit_cause, std::uint64_t> limited_clients;
    milliseconds next_limit_log{0};
    std::unique_ptr<net::stream_server> callers;
    std::unique_ptr<net::periodic_timer> checks;
    /// Time at which the next load sample is due.
    milliseconds sample_due{0};
    std::unique_ptr<net::periodic_timer> load_samples;

    state(net::event_loop& event_loop, const settings& configured, const protocol& wire,
          object_store::conditional_objects& objects, const incarnation& self,
          std::function<json()> dump)
        : loop(event_loop), current_settings(configured), backends(loop),
          placement(placement_settings(configured)), link(loop, describe(configured)),
          peers(loop, link, placement), feeds(loop, link),
          servers({}, [this](const backend_server& server) { server_removed(server); }),
          budgets(loop, objects, self), broker(loop, link, budgets), crashes(loop, link, objects),
          statements(link, servers), guard(configured.cpu_share),
          operators(loop, {.address = configured.operators,
                           .not_ready_reason = [this] { return not_ready_reason(); },
                           .dump = std::move(dump)}),
          counters(operators.metrics()), context{.loop = loop,
                                                 .wire = wire,
                                                 .failure_domain = configured.failure_domain,
                                                 .regions = current_settings.regions,
                                                 .backends = backends,
                                                 .servers = servers,
                                                 .placement = placement,
                                                 .peers = peers,
                                                 .link = link,
                                                 .budgets = broker,
                                                 .crashes = crashes,
                                                 .statements = statements,
                                                 .second_sends = second_sends,
                                                 .admissions = admissions,
                                                 .waiting = waiting,
                                                 .counters = counters,
                                                 .retries = retries,
                                                 .retry_options = retry_options,
                                                 .random = random,
                                                 .last_attempt = last_attempt,
                                                 .stopping = stopping}
    {
        operators.route("/explain", [this](const net::http_request& query, const auto& response) {
            answer_explain(query, *response);
        });
        set_retry_options();
        second_sends.set_share(configured.second_send_share);
        if (configured.evacuations) {
            servers.evacuations().require_list();
        }
        callers = std::make_unique<net::stream_server>(
            loop, current_settings.callers, net::stream_server::options{.clients = client_limits()},
            [this](std::shared_ptr<net::stream_exchange> exchange) {
                accept(std::move(exchange));
            });
        callers->on_limit([this](net::limit_cause cause) { client_limited(cause); });
        checks = std::make_unique<net::periodic_timer>(loop, check_interval, [this] { check(); });
        peers.on_gateway_load(
            [this](const std::string& node, const std::optional<gateway_load>& load) {
                guard.record_other(node, load, steady_now());
            });
        sample_due = steady_now() + load_sample_interval;
        load_samples = std::make_unique<net::periodic_timer>(loop, load_sample_interval,
                                                             [this] { sample_load(); });
    }

    [[nodiscard]] net::client_limits client_limits() const
    {
        return net::limits_of_vm(current_settings.memory_mb, current_settings.max_fds);
    }

    /// @brief Reports where a request would be sent now, and why.
    void answer_explain(const net::http_request& query, net::http_response& response) const
    {
        constexpr int ok = 200;
        constexpr int bad_request = 400;
        constexpr int not_found = 404;
        const auto fail = [&](int status, std::string_view reason) {
            send_json(response, status, json{{"error", reason}}.dump() + "\n");
        };
        if (catalogue == nullptr) {
            fail(unavailable, "no configuration");
            return;
        }
        try {
            const json result =
                explain(context.decisions(), broker, *catalogue, parse_explained_request(query),
                        guard.refuses(), steady_now());
            send_json(response, ok, result.dump() + "\n");
        } catch (const unknown_item& failure) {
            fail(not_found, failure.what());
        } catch (const invalid_query& failure) {
            fail(bad_request, failure.what());
        }
    }

    /// @brief Counts a client that a limit of all clients made give way; logged by check().
    void client_limited(net::limit_cause cause)
    {
        counters.record_limited_client(std::string(net::to_string(cause)));
        ++limited_clients[cause];
    }

    /// @brief Logs the clients that gave way, at most once in a period, as there may be many.
    void log_limited_clients()
    {
        if (limited_clients.empty() || steady_now() < next_limit_log) {
            return;
        }
        json fields = {{"held_bytes", callers->held_bytes()},
                       {"connections", callers->connection_count()}};
        for (const auto& [cause, count] : std::exchange(limited_clients, {})) {
            fields[std::string(net::to_string(cause))] = count;
        }
        log(events::clients_limited, fields);
        next_limit_log = steady_now() + limit_log_interval;
    }

    void set_retry_options()
    {
        // Each gateway may retry a share of its own requests and uses an equal part of the common
        // reserve.
        const std::size_t known = link.peer_count() + 1;
        statements.set_gateway_count(known);
        const auto gateways =
            static_cast<double>(known == 1 ? assumed_gateways : std::max(min_gateways, known));
        retry_options.share = current_settings.retry_share * retry_share_used;
        retry_options.max_available =
            std::max(1.0, current_settings.retry_reserve * retry_reserve_used / gateways);
        for (auto& [service, budget] : retries) {
            budget.set_options(retry_options);
        }
    }

    [[nodiscard]] std::string not_ready_reason() const
    {
        if (stopping) {
            return "stopping";
        }
        if (catalogue == nullptr) {
            return "no configuration";
        }
        if (!servers.has_list()) {
            return "no list of backend servers";
        }
        if (!servers.evacuations().is_known()) {
            return "no list of evacuations";
        }
        return guard.is_ready(steady_now()) ? "" : "short of capacity";
    }

    void log_readiness()
    {
        const bool ready = not_ready_reason().empty();
        if (ready && !was_ready) {
            log(events::ready,
                {{"configuration", catalogue->version()}, {"servers", servers.size()}});
        }
        was_ready = ready;
    }

    void server_removed(const backend_server& server)
    {
        log(events::server_removed, {{"server", server.id}, {"service", server.service}});
        placement.forget(server.id);
        statements.removed(server.id, server.started_ms, steady_now());
        backends.drop_idle(server.address);
    }

    /// @brief Limits the requests to a server that has started recently, if its service needs that.
    /// @param remaining time for which it is cold; by default that after a start
    void limit_cold(const backend_server& server, std::optional<milliseconds> remaining,
                    std::string_view reason)
    {
        const auto* service =
            catalogue == nullptr ? nullptr : catalogue->find_service(server.service);
        if (service == nullptr || service->cold_rate <= 0) {
            return;
        }
        const milliseconds cold_time = remaining.value_or(service->cold_time);
        if (cold_time > milliseconds{0}) {
            statements.limit_cold(server.id, service->cold_rate, cold_time, reason);
        }
    }

    /// @brief Limits the requests to all servers that were registered as cold.
    void limit_registered_cold()
    {
        for (const auto* server : servers.matching([](const backend_server& item) {
                 return item.cold_time_left > milliseconds{0};
             })) {
            limit_cold(*server, server->cold_time_left, "registered");
        }
    }

    void evacuation_ended(const std::string& domain)
    {
        log(events::evacuation_ended, {{"failure_domain", domain}});
        // Servers may have started again meanwhile, and their registrations may not say so yet.
        for (const auto* server : servers.matching(
                 [&](const backend_server& item) { return item.failure_domain == domain; })) {
            limit_cold(*server, std::nullopt, "evacuation_ended");
        }
    }

    void update_fleet()
    {
        set_retry_options();
        if (are_peers_listed) {
            statements.set_fleet(link.nodes());
        }
    }

    [[nodiscard]] bool is_relief_active() const
    {
        return !stopping && current_settings.overload_relief.value_or(link.has_larger_peer());
    }

    void sample_load()
    {
        const milliseconds now = steady_now();
        const milliseconds delay = std::max(milliseconds{0}, now - sample_due);
        sample_due = now + load_sample_interval;
        const relief_level before = guard.level();
        const bool was_withholding = guard.is_withholding();
        guard.set_active(is_relief_active());
        guard.record({.delay = std::max(delay, broker.network_delay()),
                      .requests = requests.size(),
                      .other_gateways = link.group_size()},
                     now);
        const gateway_load load = guard.own_load();
        peers.set_own_load(load);
        counters.record_load(load.delay, static_cast<int>(guard.level()));
        callers->close_after_answers(guard.level() != relief_level::normal);
        if (guard.level() != before) {
            json fields = guard.dump();
            fields["before"] = to_string(before);
            fields["requests"] = requests.size();
            log(guard.level() == relief_level::not_ready ? events::not_ready_for_load
                                                         : events::relief_changed,
                fields);
        }
        if (guard.is_withholding() && !was_withholding) {
            log(events::relief_withheld, guard.dump());
        }
    }

    /// @brief Refuses a request before any work is done for it.
    void refuse_for_load(net::stream_exchange& exchange)
    {
        constexpr std::string_view reason = "gateway_overloaded";
        std::uniform_int_distribution<std::int64_t> choose(min_relief_retry_after.count(),
                                                           max_relief_retry_after.count());
        const milliseconds retry_after{choose(random)};
        log(events::request_refused, {{"request", context.wire.decode_request(exchange.head()).id},
                                      {"after_ms", (steady_now() - exchange.received()).count()},
                                      {"status", unavailable},
                                      {"reason", reason},
                                      {"retry_after_ms", retry_after.count()}});
        counters.record_refusal("", unavailable, std::string(reason));
        exchange.respond(
            unavailable,
            {{"Content-Type", "application/json"}, {"Retry-After", format_seconds(retry_after)}},
            json{{"error", reason}}.dump());
    }

    void accept(std::shared_ptr<net::stream_exchange> exchange)
    {
        if (guard.refuses()) {
            refuse_for_load(*exchange);
            return;
        }
        const std::uint64_t id = ++last_request;
        const auto request = std::make_shared<forwarding>(context, std::move(exchange), catalogue,
                                                          [this, id] { requests.erase(id); });
        requests.emplace(id, request);
        request->start();
    }

    void check()
    {
        servers.expire(steady_now());
        for (const auto& domain : servers.evacuations().expire(steady_now())) {
            evacuation_ended(domain);
        }
        log_limited_clients();
        broker.expire();
        statements.expire(steady_now());
        counters.set_unusable(statements.cold_count(), servers.evacuations().size());
        if (stopping) {
            check_drain();
        }
    }

    void check_drain()
    {
        // Tokens that other gateways still hold when the process exits are lost to their workspace.
        const bool is_idle = callers->exchange_count() == 0 && !broker.is_busy();
        const bool is_last = link.peer_count() > 0 && link.live_peers().empty();
        if (returning_grants || !may_leave(*stopping, steady_now(), is_idle, is_last)) {
            return;
        }
        if (!requests.empty()) {
            log(events::drain_timeout, {{"requests", requests.size()}});
        }
        returning_grants = true;
        stopping->closing = true;
        end_requests([](const forwarding& request) { return !request.has_output(); });
        callers->stop();
        loop.schedule(grant_return_limit, [this] { leave(); });
        budgets.drain([this] { loop.schedule(last_refusals, [this] { leave(); }); });
    }

    template<typename Condition> void end_requests(Condition condition)
    {
        // A request that ends removes itself.
        for (const auto& [id, request] : std::map(requests)) {
            if (condition(*request)) {
                request->end_for_stop();
            }
        }
    }

    void leave()
    {
        const auto on_stopped = std::exchange(stopped, nullptr);
        if (on_stopped) {
            end_requests([](const forwarding& /*request*/) { return true; });
            log(events::drained, {{"after_ms", (steady_now() - stopping->received).count()}});
            on_stopped();
        }
    }
};

gateway::gateway(net::event_loop& loop, const settings& initial_settings, const protocol& wire,
                 object_store::conditional_objects& objects, const incarnation& self)
    : state_(std::make_unique<state>(loop, initial_settings, wire, objects, self,
                                     [this] { return dump(); }))
{
    log(events::started, {{"name", initial_settings.name},
                          {"incarnation", to_string(self)},
                          {"callers", net::to_string(state_->callers->address())},
                          {"failure_domain", initial_settings.failure_domain}});
}

gateway::~gateway() = default;

void gateway::apply(std::shared_ptr<const service_catalogue> catalogue)
{
    auto& in_force = state_->catalogue;
    if (in_force != nullptr && catalogue->version() <= in_force->version()) {
        if (catalogue->version() < in_force->version()) {
            log(events::catalogue_ignored,
                {{"version", catalogue->version()}, {"in_force", in_force->version()}});
        }
        return;
    }
    log(events::catalogue_in_force, {{"version", catalogue->version()},
                                     {"before", in_force == nullptr ? 0 : in_force->version()},
                                     {"routes", catalogue->route_count()},
                                     {"workspaces", catalogue->workspaces().size()}});
    in_force = std::move(catalogue);
    const auto& limits = in_force->limits();
    state_->callers->set_options({.max_header_bytes = limits.max_header_bytes,
                                  .max_body_bytes = limits.max_body_bytes,
                                  .header_timeout = limits.header_timeout,
                                  .idle_timeout = limits.idle_timeout,
                                  .clients = state_->client_limits()});
    state_->budgets.declare(*in_force);
    state_->peers.set_cache_capacity(in_force->largest_cache());
    state_->limit_registered_cold();
    state_->log_readiness();
}

bool gateway::has_configuration() const
{
    return state_->catalogue != nullptr;
}

void gateway::replace_servers(const std::vector<backend_server>& servers, bool after_outage)
{
    state_->servers.replace(servers, after_outage, steady_now());
    state_->limit_registered_cold();
    state_->log_readiness();
}

void gateway::update_server(const backend_server& server)
{
    const auto* known = state_->servers.find(server.id);
    if (known == nullptr || *known != server) {
        log(events::server_changed, {{"server", server.id},
                                     {"service", server.service},
                                     {"address", net::to_string(server.address)},
                                     {"draining", server.draining}});
    }
    state_->servers.update(server, steady_now());
    state_->limit_cold(server, server.cold_time_left, "registered");
}

void gateway::remove_server(const std::string& id, bool after_outage)
{
    state_->servers.remove(id, after_outage, steady_now());
}

std::vector<const backend_server*> gateway::model_servers() const
{
    if (state_->catalogue == nullptr) {
        return {};
    }
    return state_->servers.matching([this](const backend_server& server) {
        const auto* service = state_->catalogue->find_service(server.service);
        return service != nullptr && service->cache_capacity > 0;
    });
}

void gateway::set_peer(const peer_description& description)
{
    state_->link.set_peer(description);
    state_->update_fleet();
}

void gateway::peers_listed()
{
    state_->are_peers_listed = true;
    state_->update_fleet();
}

void gateway::replace_evacuations(const std::set<std::string>& domains)
{
    for (const auto& domain : state_->servers.evacuations().replace(domains, steady_now())) {
        state_->evacuation_ended(domain);
    }
    if (!domains.empty()) {
        log(events::domain_evacuated, {{"failure_domains", domains}});
    }
    state_->log_readiness();
}

void gateway::begin_evacuation(const std::string& domain)
{
    if (state_->servers.evacuations().begin(domain)) {
        log(events::domain_evacuated, {{"failure_domains", json::array({domain})}});
    }
}

void gateway::end_evacuation(const std::string& domain)
{
    if (state_->servers.evacuations().end(domain)) {
        state_->evacuation_ended(domain);
    }
}

void gateway::share(object_store::object_feed& feed)
{
    state_->feeds.add(feed);
}

void gateway::observe_era(object_store::store_era era)
{
    state_->broker.begin_era(era);
    state_->crashes.observe_era(era);
    state_->servers.begin_era(steady_now());
    state_->servers.evacuations().begin_era(steady_now());
}

peer_description gateway::self_description() const
{
    return describe(state_->current_settings);
}

void gateway::reconfigure(const settings& new_settings)
{
    state_->current_settings.grace = new_settings.grace;
    state_->current_settings.retry_share = new_settings.retry_share;
    state_->current_settings.retry_reserve = new_settings.retry_reserve;
    state_->current_settings.second_send_share = new_settings.second_send_share;
    state_->second_sends.set_share(new_settings.second_send_share);
    state_->current_settings.overload_relief = new_settings.overload_relief;
    state_->set_retry_options();
    log(events::settings_reloaded, {{"grace_ms", new_settings.grace.count()},
                                    {"retry_share", new_settings.retry_share},
                                    {"retry_reserve", new_settings.retry_reserve}});
}

void gateway::drain(std::function<void()> stopped)
{
    if (state_->stopping) {
        return;
    }
    log(events::drain_started, {{"requests", state_->requests.size()}});
    state_->stopping =
        stop_order{.received = steady_now(), .grace = state_->current_settings.grace};
    state_->stopped = std::move(stopped);
    state_->callers->start_draining();
    state_->waiting.reject_all();
    state_->link.leave();
    state_->broker.hand_over();
}

bool gateway::is_ready() const
{
    return state_->not_ready_reason().empty();
}

net::endpoint gateway::operators_address() const
{
    return state_->operators.address();
}

net::endpoint gateway::callers_address() const
{
    return state_->callers->address();
}

json gateway::dump() const
{
    return {{"ready", is_ready()},
            {"configuration", state_->catalogue == nullptr ? 0 : state_->catalogue->version()},
            {"requests", state_->requests.size()},
            {"caller_connections", state_->callers->connection_count()},
            {"caller_bytes", state_->callers->held_bytes()},
            {"backend_connections", state_->backends.connection_count()},
            {"servers", state_->servers.dump()},
            {"placement", state_->placement.dump(steady_now())},
            {"peers", state_->link.dump()},
            {"feeds", state_->feeds.dump()},
            {"reservations", state_->broker.dump()},
            {"budgets", state_->budgets.dump()},
            {"crashes", state_->crashes.dump()},
            {"limits", state_->statements.dump()},
            {"second_sends", state_->second_sends.dump()},
            {"admission", state_->admissions.dump(steady_now())},
            {"evacuations", state_->servers.evacuations().dump()},
            {"overload", state_->guard.dump()}};
}

} // namespace dotterelport::gateway
