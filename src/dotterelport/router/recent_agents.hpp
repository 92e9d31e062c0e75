#ifndef DOTTERELPORT_ROUTER_RECENT_AGENTS_HPP
#define DOTTERELPORT_ROUTER_RECENT_AGENTS_HPP

#include <list>
#include <optional>
#include <unordered_map>

#include "dotterelport/base/identifiers.hpp"

namespace dotterelport::router {

/// Records the agent to which this router sent each key that came from a caller. A retry through
/// the same router must go to the same agent: if the same router names another agent, the owner of
/// the budget treats that as a move of the attempt.
class recent_agents {
public:
    explicit recent_agents(std::size_t limit) : limit_(limit) {}

    /// @brief Records the agent of a key; evicts the oldest key if there are more than the limit.
    void record(const request_key& key, const incarnation& agent)
    {
        forget(key);
        order_.push_front({key, agent});
        entries_[key] = order_.begin();
        if (order_.size() > limit_) {
            entries_.erase(order_.back().key);
            order_.pop_back();
        }
    }

    void forget(const request_key& key)
    {
        if (const auto found = entries_.find(key); found != entries_.end()) {
            order_.erase(found->second);
            entries_.erase(found);
        }
    }

    [[nodiscard]] std::optional<incarnation> find(const request_key& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? std::nullopt : std::optional(found->second->agent);
    }

private:
    struct entry {
        request_key key;
        incarnation agent;
    };

    std::size_t limit_;
    std::list<entry> order_;
    std::unordered_map<request_key, std::list<entry>::iterator> entries_;
};

} // namespace dotterelport::router

#endif
