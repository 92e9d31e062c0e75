#ifndef DOTTERELPORT_ROUTER_AGENT_POOL_HPP
#define DOTTERELPORT_ROUTER_AGENT_POOL_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/membership/directory.hpp"

namespace dotterelport::router {

/// An agent that requests may be sent to.
struct agent_entry {
    membership::node_record record;
    /// Requests of this router in progress there.
    int in_flight = 0;
    /// As the agent reported last.
    int running = 0;
    int waiting = 0;
    int capacity = 0;
    /// Time of the last status that was asked for.
    milliseconds asked_at{0};
};

/// The agents that this router knows, and the load on each.
class agent_pool {
public:
    /// Counts a request against its agent for as long as it is in progress.
    using lease = std::shared_ptr<void>;

    /// @param failure_domain of this router
    explicit agent_pool(std::string failure_domain) : failure_domain_(std::move(failure_domain)) {}

    /// @brief Takes over the live agents.
    void update(const std::vector<membership::node_record>& live);

    /// @brief Takes an agent's answer to the RPC status.
    void take_status(const incarnation& agent, const json& status);

    /// @brief Stops sending new requests to an agent, by its own word.
    void mark_leaving(const incarnation& agent);

    /// @brief Chooses the agent for a request: of this failure domain if one has room, then the one
    /// with the least in progress.
    /// @param tried agents that have failed this request
    [[nodiscard]] std::optional<membership::node_record>
    choose(const std::string& service, const std::set<incarnation>& tried) const;

    /// @brief Live agents of a service.
    [[nodiscard]] std::vector<membership::node_record> agents_of(const std::string& service) const;

    /// @brief Counts a request at an agent until the lease is dropped.
    [[nodiscard]] lease begin(const incarnation& agent);

    /// @brief Record of a live agent incarnation.
    [[nodiscard]] std::optional<membership::node_record> find(const incarnation& agent) const;

    /// @brief Agents whose status is due, the longest unasked first, and notes that they are asked.
    /// @param limit most agents to return
    std::vector<membership::node_record> due_for_status(milliseconds now, std::size_t limit);

    [[nodiscard]] std::size_t size() const { return agents_.size(); }
    [[nodiscard]] json dump() const;

private:
    [[nodiscard]] bool is_local(const agent_entry& entry) const
    {
        return entry.record.failure_domain == failure_domain_;
    }

    std::string failure_domain_;
    std::map<incarnation, std::shared_ptr<agent_entry>> agents_;
    std::set<incarnation> leaving_;
};

} // namespace dotterelport::router

#endif
