#include "agent_pool.hpp"

#include <algorithm>
#include <utility>

namespace dotterelport::router {
namespace {

constexpr milliseconds local_status_interval{500};
constexpr milliseconds remote_status_interval{2'000};

/// Longer than the interval between the load reports of one agent, which the limit on polls extends
/// up to 10 s in a large fleet. Failed calls reveal an agent that is down much earlier.
constexpr milliseconds silent_after{15'000};

} // namespace

agent_lease::~agent_lease()
{
    if (!ended_) {
        pool_.balancer_of(service_).cancelled(node_, id_, steady_now());
    }
}

void agent_lease::answered()
{
    if (!std::exchange(answered_, true)) {
        pool_.balancer_of(service_).answered(node_, id_, steady_now());
    }
}

void agent_lease::finished(double units)
{
    if (!std::exchange(ended_, true)) {
        pool_.balancer_of(service_).finished(node_, id_, units, steady_now());
    }
}

void agent_lease::failed()
{
    if (!std::exchange(ended_, true)) {
        pool_.balancer_of(service_).failed(node_, id_, steady_now());
    }
}

routing::balancer& agent_pool::balancer_of(const std::string& service)
{
    const auto found = balancers_.find(service);
    if (found != balancers_.end()) {
        return found->second;
    }
    routing::balancer::settings settings;
    settings.load.stale_report_after = silent_after;
    settings.seed = seed_;
    return balancers_.emplace(service, routing::balancer(settings)).first->second;
}

void agent_pool::update(const std::vector<membership::node_record>& live)
{
    std::map<incarnation, entry> next;
    for (const auto& record : live) {
        const auto existing = agents_.find(record.id);
        auto& updated = next[record.id];
        updated = existing == agents_.end() ? entry{} : existing->second;
        updated.record = record;
    }
    for (const auto& [id, pool_entry] : agents_) {
        if (!next.contains(id)) {
            balancer_of(pool_entry.record.service).forget(id.node);
        }
    }
    agents_ = std::move(next);
    std::erase_if(leaving_, [this](const incarnation& agent) { return !agents_.contains(agent); });
}

void agent_pool::update_status(const incarnation& agent, const json& status)
{
    const auto found = agents_.find(agent);
    if (found != agents_.end()) {
        found->second.backend_reachable = status.value("backend_reachable", true);
        balancer_of(found->second.record.service).update_status(agent.node, status, steady_now());
    }
}

void agent_pool::mark_leaving(const incarnation& agent)
{
    leaving_.insert(agent);
}

std::optional<membership::node_record> agent_pool::choose(const agent_criteria& criteria)
{
    std::map<std::string, const membership::node_record*> records;
    std::vector<std::string> local;
    std::vector<std::string> all;
    for (const auto& [id, pool_entry] : agents_) {
        if (pool_entry.record.service != criteria.service || criteria.tried.contains(id) ||
            leaving_.contains(id) || !pool_entry.backend_reachable) {
            continue;
        }
        records[id.node] = &pool_entry.record;
        all.push_back(id.node);
        if (is_local(pool_entry.record)) {
            local.push_back(id.node);
        }
    }
    auto& balancer = balancer_of(criteria.service);
    const auto now = steady_now();
    const auto& candidates =
        balancer.has_capacity(local, criteria.choice.priority, now) ? local : all;
    const auto chosen = balancer.choose(criteria.choice, candidates, now);
    if (!chosen) {
        return std::nullopt;
    }
    return *records.at(*chosen);
}

std::vector<membership::node_record> agent_pool::agents_of(const std::string& service) const
{
    std::vector<membership::node_record> result;
    for (const auto& [id, pool_entry] : agents_) {
        if (pool_entry.record.service == service) {
            result.push_back(pool_entry.record);
        }
    }
    return result;
}

std::unique_ptr<agent_lease> agent_pool::begin(const membership::node_record& agent,
                                               const routing::choice_request& choice)
{
    const auto id = ++last_lease_id_;
    balancer_of(agent.service).sent(agent.id.node, id, choice, steady_now());
    return std::make_unique<agent_lease>(*this, agent.service, agent.id.node, id);
}

std::optional<membership::node_record> agent_pool::find(const incarnation& agent) const
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return std::nullopt;
    }
    return found->second.record;
}

std::vector<membership::node_record> agent_pool::due_for_status(milliseconds now, std::size_t limit)
{
    std::vector<entry*> due;
    for (auto& [id, pool_entry] : agents_) {
        const auto interval =
            is_local(pool_entry.record) ? local_status_interval : remote_status_interval;
        if (now - pool_entry.status_requested_at >= interval) {
            due.push_back(&pool_entry);
        }
    }
    std::sort(due.begin(), due.end(), [](const entry* left, const entry* right) {
        return left->status_requested_at < right->status_requested_at;
    });
    due.resize(std::min(due.size(), limit));
    std::vector<membership::node_record> result;
    for (auto* pool_entry : due) {
        pool_entry->status_requested_at = now;
        result.push_back(pool_entry->record);
    }
    return result;
}

json agent_pool::status_parameters(const membership::node_record& agent)
{
    return {{"cache_sequence", balancer_of(agent.service).prefixes().sequence(agent.id.node)}};
}

json agent_pool::dump() const
{
    json agents = json::array();
    for (const auto& [id, pool_entry] : agents_) {
        agents.push_back({{"agent", to_string(id)},
                          {"service", pool_entry.record.service},
                          {"failure_domain", pool_entry.record.failure_domain},
                          {"leaving", leaving_.contains(id)},
                          {"backend_reachable", pool_entry.backend_reachable}});
    }
    json balancers = json::object();
    for (const auto& [service, balancer] : balancers_) {
        balancers[service] = balancer.dump(steady_now());
    }
    return {{"agents", agents}, {"balancers", balancers}};
}

} // namespace dotterelport::router
