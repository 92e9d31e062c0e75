#ifndef DOTTERELPORT_GATEWAY_WAITING_QUEUE_HPP
#define DOTTERELPORT_GATEWAY_WAITING_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::gateway {

/// A request that waits at a gateway until a server has a free slot.
struct waiting_request {
    /// Unique among the waiting requests.
    std::uint64_t id = 0;
    std::string workspace;
    /// 0 is the most urgent.
    int priority = 0;
    /// Expected work relative to that of a small request, which has 1.
    double cost = 1;
    /// Size of its target and body.
    std::size_t bytes = 0;
    /// Latest time at which it may be sent.
    milliseconds deadline{0};
    /// Its answer has begun, so that it can no longer be rejected as not executed.
    bool has_begun = false;
};

/// Queue of waiting requests. The most urgent ones are served first, without starving the others.
/// Within a priority, deficit round robin over the workspaces gives each an equal share of work,
/// and the requests of a workspace are served in the order of their deadlines.
///
/// Unlike routing::fair_queue, it takes any number of priorities and orders by deadline.
class waiting_queue {
public:
    void push(const waiting_request& request);

    /// @brief Removes and returns the next request.
    std::optional<waiting_request> pop();

    /// @brief Removes a request.
    /// @return the request; nothing if it does not wait
    std::optional<waiting_request> remove(std::uint64_t id);

    /// @brief Finds a waiting request.
    [[nodiscard]] const waiting_request* find(std::uint64_t id) const;

    /// @brief Removes and returns the requests whose deadline has passed.
    std::vector<waiting_request> take_expired(milliseconds now);

    /// @brief Number of waiting requests of a workspace.
    [[nodiscard]] std::size_t count(const std::string& workspace) const;
    /// @brief Request that a more urgent one may displace: of the least urgent priority, the one
    /// with the latest deadline of the workspace with most requests, without those whose answers
    /// have begun.
    /// @return null if no such request is less urgent than the given priority
    [[nodiscard]] const waiting_request* displaceable(int priority) const;
    [[nodiscard]] std::size_t size() const { return locations_.size(); }
    [[nodiscard]] bool empty() const { return locations_.empty(); }

private:
    using order = std::pair<milliseconds, std::uint64_t>;

    struct flow {
        std::map<order, waiting_request> requests;
        double deficit = 0;
        bool has_turn = false;
    };

    struct level {
        std::map<std::string, flow> flows;
        /// Workspaces with requests, in round-robin order.
        std::deque<std::string> turns;
        /// Number of times that another priority was served instead.
        int passed_over = 0;
    };

    struct location {
        int priority = 0;
        std::string workspace;
        milliseconds deadline{0};
    };

    [[nodiscard]] level* next_level();

    std::map<int, level> levels_;
    std::map<std::uint64_t, location> locations_;
};

} // namespace dotterelport::gateway

#endif
