#include "agent_registry.hpp"

#include <algorithm>
#include <utility>

#include "budget_events.hpp"

namespace dotterelport::router {
namespace {

/// Time limit for a request to wait for a write of the record.
constexpr milliseconds record_timeout{1'000};

} // namespace

agent_registry::agent_registry(const budget_service::context& environment) : context_(environment)
{}

void agent_registry::ensure_listed(const incarnation& agent, std::function<void(bool)> done)
{
    auto& nodes = context_.nodes;
    if (!nodes.is_registered() || nodes.is_gone(agent)) {
        done(false);
        return;
    }
    if (nodes.self().agents.contains(agent)) {
        done(true);
        return;
    }
    agents_to_add_.insert(agent);
    auto answered = std::make_shared<bool>(false);
    auto answer_once = [answered, done = std::move(done)](bool success) {
        if (!std::exchange(*answered, true)) {
            done(success);
        }
    };
    context_.loop.schedule(record_timeout, [answer_once] { answer_once(false); });
    waiting_callbacks_.push_back([self = shared_from_this(), agent, answer_once](bool success) {
        answer_once(success && self->context_.nodes.self().agents.contains(agent));
    });
    write();
}

void agent_registry::write()
{
    if (agents_to_add_.empty() || writing_) {
        return;
    }
    writing_ = true;
    const std::vector<incarnation> agents(agents_to_add_.begin(), agents_to_add_.end());
    agents_to_add_.clear();
    context_.nodes.add_agents(
        agents, [self = shared_from_this(), callbacks = std::exchange(waiting_callbacks_, {})](
                    bool success) { self->finish_write(callbacks, success); });
}

void agent_registry::finish_write(const std::vector<std::function<void(bool)>>& callbacks,
                                  bool success)
{
    writing_ = false;
    for (const auto& callback : callbacks) {
        callback(success);
    }
    write();
}

void agent_registry::tick(const owner_list& owners)
{
    auto& nodes = context_.nodes;
    if (!nodes.is_registered()) {
        return;
    }
    const auto& listed = nodes.self().agents;
    for (const auto& record : nodes.live_nodes(membership::node_role::agent)) {
        if (!listed.contains(record.id)) {
            agents_to_add_.insert(record.id);
        }
    }
    write();
    record_gone_agents(owners);
    remove_gone_agents();
}

void agent_registry::record_gone_agents(const owner_list& owners)
{
    for (const auto& agent : context_.nodes.self().agents) {
        if (gone_agents_.contains(agent) || !context_.nodes.is_gone(agent)) {
            continue;
        }
        log(events::agent_gone, {{"agent", to_string(agent)}});
        auto& batches = gone_agents_[agent];
        for (const auto& owner : owners) {
            auto& holder = owner->session().holder();
            holder.agent_gone(agent);
            batches.push_back({owner, holder.last_batch() + (holder.has_open_lines() ? 1U : 0U)});
        }
    }
}

void agent_registry::remove_gone_agents()
{
    std::vector<incarnation> removable;
    for (const auto& [agent, batches] : gone_agents_) {
        const bool durable = std::all_of(batches.begin(), batches.end(), [](const auto& item) {
            const auto owner = item.owner.lock();
            return owner == nullptr || owner->session().holder().durable_batch() >= item.batch;
        });
        if (durable) {
            removable.push_back(agent);
        }
    }
    if (removable.empty() || std::exchange(removing_, true)) {
        return;
    }
    context_.nodes.remove_agents(removable, [self = shared_from_this(), removable](bool success) {
        self->removing_ = false;
        if (success) {
            for (const auto& agent : removable) {
                self->gone_agents_.erase(agent);
            }
        }
    });
}

} // namespace dotterelport::router
