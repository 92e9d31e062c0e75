#include "dotterelport/router/budget_service.hpp"

#include <algorithm>
#include <utility>

#include "budget_events.hpp"
#include "budget_service_impl.hpp"
#include "dotterelport/base/hash.hpp"
#include "holder_closer.hpp"
#include "shard_auditor.hpp"

namespace dotterelport::router {
namespace {

/// Used if no configuration is in force when the service starts.
constexpr milliseconds default_flush_interval{500};

/// Interval of work that is not urgent: probes, closings, audits and checks of stale reservations.
constexpr milliseconds maintenance_interval{1'000};
constexpr milliseconds probe_timeout{1'000};

constexpr milliseconds drain_poll_interval{100};

/// Time for which calls that reserve tokens are remembered; longer than they can be cancelled.
constexpr milliseconds call_memory{60'000};

/// @brief Polls the shard owners until each is closed or has no reservation, grant or unwritten
/// bill line left.
void continue_drain(const std::shared_ptr<budget_service::impl>& service,
                    const std::function<void()>& done)
{
    bool settled = true;
    for (const auto& owner : service->all_owners()) {
        owner->session().set_draining();
        owner->tick();
        settled = settled && (owner->session().is_drained() || owner->session().is_closed());
    }
    if (settled) {
        done();
        return;
    }
    service->environment.loop.schedule(drain_poll_interval,
                                       [service, done] { continue_drain(service, done); });
}

} // namespace

budget_service::impl::impl(const context& context)
    : environment(context), agents(std::make_shared<agent_registry>(context))
{}

void budget_service::impl::start()
{
    const auto snapshot = environment.configuration.current();
    const auto interval =
        snapshot == nullptr ? default_flush_interval : snapshot->settings().flush_interval;
    random.seed(hash64(environment.nodes.self().id.node));
    flush_timer =
        std::make_unique<net::periodic_timer>(environment.loop, interval, [this] { tick(); });
    maintenance_timer = std::make_unique<net::periodic_timer>(
        environment.loop, maintenance_interval, [this] { run_maintenance(); });
}

void budget_service::impl::update_incarnation()
{
    const auto& self = environment.nodes.self().id;
    if (environment.nodes.is_registered() && self != current_incarnation) {
        owners.clear();
        current_incarnation = self;
    }
}

std::uint32_t budget_service::impl::shard_of(const std::string& workspace) const
{
    const auto snapshot = environment.configuration.current();
    return snapshot == nullptr ? 0 : config::shard_of(workspace, snapshot->settings());
}

std::shared_ptr<shard_owner> budget_service::impl::owner_of(std::uint32_t shard)
{
    const auto snapshot = environment.configuration.current();
    update_incarnation();
    if (snapshot == nullptr || !environment.nodes.is_registered()) {
        return nullptr;
    }
    auto& owner = owners[shard];
    if (owner == nullptr) {
        log(events::session_opened, {{"shard", shard}, {"holder", to_string(current_incarnation)}});
        owner = std::make_shared<shard_owner>(environment, shard, current_incarnation);
        if (draining) {
            owner->session().set_draining();
        }
        owner->configure(declaration_of(*snapshot, shard));
    }
    return owner;
}

std::shared_ptr<shard_owner> budget_service::impl::existing_owner(std::uint32_t shard) const
{
    const auto found = owners.find(shard);
    return found == owners.end() ? nullptr : found->second;
}

agent_registry::owner_list budget_service::impl::all_owners() const
{
    agent_registry::owner_list result;
    for (const auto& [shard, owner] : owners) {
        result.push_back(owner);
    }
    return result;
}

void budget_service::impl::tick()
{
    const auto snapshot = environment.configuration.current();
    if (!environment.nodes.is_registered()) {
        // Another router closed this incarnation and settles its reservations with the agents.
        if (!owners.empty() && !draining) {
            log(events::incarnation_replaced, {{"incarnation", to_string(current_incarnation)}});
            owners.clear();
            environment.nodes.rejoin();
        }
        return;
    }
    if (snapshot == nullptr) {
        return;
    }
    update_incarnation();
    const auto& self = environment.nodes.self();
    for (std::uint32_t shard = 0; shard < snapshot->settings().budget_shards && !draining;
         ++shard) {
        const auto record = environment.nodes.shard_owner(shard, self.failure_domain);
        if (record.has_value() && record->id == self.id) {
            owner_of(shard);
        }
    }
    for (const auto& [shard, owner] : owners) {
        if (snapshot->generation() != configured_generation) {
            owner->configure(declaration_of(*snapshot, shard));
        } else {
            owner->run_round([weak = weak_from_this()](budget::round_outcome) {
                if (const auto service = weak.lock()) {
                    service->complete_waiting_reports();
                }
            });
        }
    }
    configured_generation = snapshot->generation();
    agents->tick(all_owners());
    complete_waiting_reports();
}

void budget_service::impl::run_maintenance()
{
    if (!environment.nodes.is_registered() || environment.configuration.current() == nullptr) {
        return;
    }
    for (const auto& router : environment.nodes.routers_to_probe()) {
        // Any answer shows that the router is alive.
        call(router, "status", json::object(), probe_timeout, [](const net::rpc_result&) {});
    }
    check_stale_reservations();
    calls.forget_before(steady_now() - call_memory);
    for (const auto& target : environment.nodes.routers_to_close()) {
        auto& closer = closers[target];
        if (closer == nullptr) {
            closer = std::make_shared<holder_closer>(*this, target);
        }
    }
    std::erase_if(closers, [](const auto& item) { return item.second->is_finished(); });
    for (const auto& [target, closer] : closers) {
        closer->tick();
    }
    audit();
}

void budget_service::impl::audit()
{
    const auto& self = environment.nodes.self();
    for (const auto& [shard, owner] : owners) {
        // One owner audits each shard; concurrent audits of a shard are safe.
        const auto domains = environment.nodes.failure_domains();
        const auto auditor_domain =
            membership::rendezvous(domains, "audit/" + std::to_string(shard));
        const bool is_auditor =
            auditor_domain.has_value() && domains[*auditor_domain] == self.failure_domain;
        if (!is_auditor) {
            auditors.erase(shard);
            continue;
        }
        auto& auditor = auditors[shard];
        if (auditor == nullptr) {
            auditor = std::make_shared<shard_auditor>(environment, shard);
        }
        auditor->tick(owner);
    }
}

budget_service::budget_service(const context& environment)
    : impl_(std::make_shared<impl>(environment))
{
    impl_->start();
}

budget_service::~budget_service()
{
    impl_->flush_timer.reset();
    impl_->maintenance_timer.reset();
}

void budget_service::serve(net::rpc_server& server)
{
    impl_->serve(server);
}

void budget_service::reserve(const reserve_request& request,
                             std::function<void(const reserve_result&)> done)
{
    impl_->reserve_at_owner(
        {.request = request, .router = to_string(impl_->environment.nodes.self().id)},
        std::move(done));
}

void budget_service::release(const release_request& request)
{
    impl_->release_at_owner(request);
}

void budget_service::drain(const std::function<void()>& done)
{
    impl_->draining = true;
    continue_drain(impl_, done);
}

json budget_service::dump() const
{
    json shards = json::array();
    for (const auto& owner : impl_->all_owners()) {
        shards.push_back(owner->session().dump());
    }
    json closing = json::array();
    for (const auto& [target, closer] : impl_->closers) {
        closing.push_back(closer->dump());
    }
    return {{"incarnation", to_string(impl_->current_incarnation)}, {"closing", std::move(closing)},
            {"generation", impl_->configured_generation},           {"draining", impl_->draining},
            {"waiting_reports", impl_->waiting_reports.size()},     {"shards", std::move(shards)}};
}

} // namespace dotterelport::router
