#include "agent_pool.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace dotterelport::router {
namespace {

constexpr milliseconds local_status_interval{500};
constexpr milliseconds remote_status_interval{2'000};

/// What is known to be in progress. Reports lag, so the larger of the two counts is used.
int load_of(const agent_entry& entry)
{
    return std::max(entry.in_flight, entry.running + entry.waiting);
}

bool has_room(const agent_entry& entry)
{
    return entry.capacity == 0 || load_of(entry) < entry.capacity;
}

} // namespace

void agent_pool::update(const std::vector<membership::node_record>& live)
{
    std::map<incarnation, std::shared_ptr<agent_entry>> next;
    for (const auto& record : live) {
        const auto known = agents_.find(record.id);
        auto entry = known == agents_.end() ? std::make_shared<agent_entry>() : known->second;
        entry->record = record;
        next.emplace(record.id, std::move(entry));
    }
    agents_ = std::move(next);
    std::erase_if(leaving_, [this](const incarnation& agent) { return !agents_.contains(agent); });
}

void agent_pool::take_status(const incarnation& agent, const json& status)
{
    const auto found = agents_.find(agent);
    const json load = status.value("load", json::object());
    if (found == agents_.end() || !load.is_object()) {
        return;
    }
    found->second->running = load.value("running", 0);
    found->second->waiting = load.value("waiting", 0);
    found->second->capacity = load.value("capacity", 0);
}

void agent_pool::mark_leaving(const incarnation& agent)
{
    leaving_.insert(agent);
}

std::optional<membership::node_record> agent_pool::choose(const std::string& service,
                                                          const std::set<incarnation>& tried) const
{
    const agent_entry* best = nullptr;
    auto best_rank = std::make_tuple(2, 2, std::numeric_limits<int>::max());
    for (const auto& [id, entry] : agents_) {
        if (entry->record.service != service || tried.contains(id) || leaving_.contains(id)) {
            continue;
        }
        const auto rank =
            std::make_tuple(has_room(*entry) ? 0 : 1, is_local(*entry) ? 0 : 1, load_of(*entry));
        if (best == nullptr || rank < best_rank) {
            best = entry.get();
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->record;
}

std::vector<membership::node_record> agent_pool::agents_of(const std::string& service) const
{
    std::vector<membership::node_record> result;
    for (const auto& [id, entry] : agents_) {
        if (entry->record.service == service) {
            result.push_back(entry->record);
        }
    }
    return result;
}

agent_pool::lease agent_pool::begin(const incarnation& agent)
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return nullptr;
    }
    ++found->second->in_flight;
    return {nullptr, [entry = found->second](void*) { --entry->in_flight; }};
}

std::optional<membership::node_record> agent_pool::find(const incarnation& agent) const
{
    const auto found = agents_.find(agent);
    return found == agents_.end() ? std::nullopt : std::optional(found->second->record);
}

std::vector<membership::node_record> agent_pool::due_for_status(milliseconds now, std::size_t limit)
{
    std::vector<agent_entry*> due;
    for (const auto& [id, entry] : agents_) {
        const auto interval = is_local(*entry) ? local_status_interval : remote_status_interval;
        if (now - entry->asked_at >= interval) {
            due.push_back(entry.get());
        }
    }
    std::sort(due.begin(), due.end(), [](const agent_entry* left, const agent_entry* right) {
        return left->asked_at < right->asked_at;
    });
    due.resize(std::min(due.size(), limit));
    std::vector<membership::node_record> result;
    for (auto* entry : due) {
        entry->asked_at = now;
        result.push_back(entry->record);
    }
    return result;
}

json agent_pool::dump() const
{
    json result = json::array();
    for (const auto& [id, entry] : agents_) {
        result.push_back({{"agent", to_string(id)},
                          {"service", entry->record.service},
                          {"failure_domain", entry->record.failure_domain},
                          {"in_flight", entry->in_flight},
                          {"running", entry->running},
                          {"waiting", entry->waiting},
                          {"capacity", entry->capacity},
                          {"leaving", leaving_.contains(id)}});
    }
    return result;
}

} // namespace dotterelport::router
