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

/// Agents in this router's node record. An agent must be in the record before a reservation that
/// names it is answered, so that a later closing of the grants asks that agent.
class agent_registry : public std::enable_shared_from_this<agent_registry> {
public:
    using owner_list = std::vector<std::shared_ptr<shard_owner>>;

    explicit agent_registry(const budget_service::context& environment);

    /// @brief Makes sure that an agent is in the record; writes many additions as one.
    /// @param done false if the agent is gone or the record cannot be written now
    void ensure(const incarnation& agent, std::function<void(bool)> done);

    /// @brief Adds live agents before they are needed, and removes those that are gone after what
    /// was reserved there is durable as unproved.
    void tick(const owner_list& owners);

private:
    /// An agent that is gone, and the batch of each owner that counts its reservations.
    struct departure {
        std::weak_ptr<shard_owner> owner;
        std::uint64_t batch = 0;
    };

    void write();
    void finish_write(const std::vector<std::function<void(bool)>>& waiting, bool success);
    void take_departures(const owner_list& owners);
    void remove_departed();

    budget_service::context context_;
    std::set<incarnation> wanted_;
    std::vector<std::function<void(bool)>> waiting_;
    bool writing_ = false;
    bool removing_ = false;
    std::map<incarnation, std::vector<departure>> departed_;
};

} // namespace dotterelport::router

#endif
