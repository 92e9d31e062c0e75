#ifndef DOTTERELPORT_ROUTER_AGENT_REGISTRY_HPP
#define DOTTERELPORT_ROUTER_AGENT_REGISTRY_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "dotterelport/router/budget_service.hpp"
#include "shard_owner.hpp"

namespace dotterelport::router {

/// Maintains the list of agents in this router's node record. An agent must be in the record before
/// a reservation that names it is answered, so that a later closing of the grants asks that agent.
class agent_registry : public std::enable_shared_from_this<agent_registry> {
public:
    using owner_list = std::vector<std::shared_ptr<shard_owner>>;

    explicit agent_registry(const budget_service::context& environment);

    /// @brief Adds an agent to the record unless it is there; combines pending additions into one
    /// write.
    /// @param done receives false if the agent is gone or the record cannot be written now
    void ensure_listed(const incarnation& agent, std::function<void(bool)> done);

    /// @brief Adds live agents before they are needed. Removes agents that are gone once the tokens
    /// reserved at them are durably recorded as unproved.
    void tick(const owner_list& owners);

private:
    /// Bill batch of one owner that counts the reservations at an agent that is gone.
    struct owner_batch {
        std::weak_ptr<shard_owner> owner;
        std::uint64_t batch = 0;
    };

    void write();
    void finish_write(const std::vector<std::function<void(bool)>>& callbacks, bool success);
    void record_gone_agents(const owner_list& owners);
    void remove_gone_agents();

    budget_service::context context_;
    std::set<incarnation> agents_to_add_;
    std::vector<std::function<void(bool)>> waiting_callbacks_;
    bool writing_ = false;
    bool removing_ = false;
    std::map<incarnation, std::vector<owner_batch>> gone_agents_;
};

} // namespace dotterelport::router

#endif
