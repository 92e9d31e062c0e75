#ifndef DOTTERELPORT_ROUTER_AGENT_POOL_HPP
#define DOTTERELPORT_ROUTER_AGENT_POOL_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/membership/directory.hpp"
#include "dotterelport/routing/balancer.hpp"

namespace dotterelport::router {

/// Criteria for the choice of an agent for a request.
struct agent_criteria {
    std::string service;
    routing::choice_request choice;
    /// Agents that have failed this request.
    std::set<incarnation> tried;
};

class agent_pool;

/// A request in progress at an agent. Reports the progress and outcome of the request to the load
/// view. A lease that is destroyed without an outcome counts as cancelled and does not affect the
/// rating of the agent.
class agent_lease {
public:
    agent_lease(agent_pool& pool, std::string service, std::string node, std::uint64_t id)
        : pool_(pool), service_(std::move(service)), node_(std::move(node)), id_(id)
    {}
    ~agent_lease();
    agent_lease(const agent_lease&) = delete;
    agent_lease& operator=(const agent_lease&) = delete;

    /// @brief Reports the first chunk of the answer; later calls have no effect.
    void answered();
    /// @brief Reports the end of the answer.
    /// @param units tokens generated, or 1 for a call
    void finished(double units);
    /// @brief Reports a failure that is attributed to the agent or its backend server.
    void failed();

private:
    agent_pool& pool_;
    std::string service_;
    std::string node_;
    std::uint64_t id_;
    bool answered_ = false;
    bool ended_ = false;
};

/// The live agents, with a load view for each service. Chooses the agent for a request.
class agent_pool {
public:
    /// @param failure_domain of this router
    /// @param seed of the choices
    explicit agent_pool(std::string failure_domain, std::uint64_t seed = 1)
        : failure_domain_(std::move(failure_domain)), seed_(seed)
    {}

    /// @brief Replaces the set of live agents; keeps the state of agents that were already in it.
    void update(const std::vector<membership::node_record>& live);

    /// @brief Updates the load view with an agent's answer to the RPC status.
    void update_status(const incarnation& agent, const json& status);

    /// @brief Excludes an agent from new requests after it has reported that it is leaving.
    void mark_leaving(const incarnation& agent);

    /// @brief Chooses the agent for a request: one in this failure domain if any of them has spare
    /// capacity, otherwise any agent.
    [[nodiscard]] std::optional<membership::node_record> choose(const agent_criteria& criteria);

    /// @brief Live agents of a service.
    [[nodiscard]] std::vector<membership::node_record> agents_of(const std::string& service) const;

    /// @brief Counts a request towards the load of an agent until its lease ends.
    [[nodiscard]] std::unique_ptr<agent_lease> begin(const membership::node_record& agent,
                                                     const routing::choice_request& choice);

    /// @brief Record of a live agent incarnation.
    [[nodiscard]] std::optional<membership::node_record> find(const incarnation& agent) const;

    /// @brief Agents whose status is due, the least recently polled first. Marks them as polled.
    /// @param limit maximum number of agents
    std::vector<membership::node_record> due_for_status(milliseconds now, std::size_t limit);

    /// @brief Parameters of the RPC status: the agent leaves out the cache if it has not changed.
    [[nodiscard]] json status_parameters(const membership::node_record& agent);

    [[nodiscard]] std::size_t size() const { return agents_.size(); }
    [[nodiscard]] json dump() const;

private:
    friend class agent_lease;

    struct entry {
        membership::node_record record;
        /// Time of the last status request.
        milliseconds status_requested_at{0};
        bool backend_reachable = true;
    };

    [[nodiscard]] bool is_local(const membership::node_record& record) const
    {
        return record.failure_domain == failure_domain_;
    }
    routing::balancer& balancer_of(const std::string& service);

    std::string failure_domain_;
    std::uint64_t seed_;
    std::map<incarnation, entry> agents_;
    std::set<incarnation> leaving_;
    std::map<std::string, routing::balancer> balancers_;
    std::uint64_t last_lease_id_ = 0;
};

} // namespace dotterelport::router

#endif
