#ifndef DOTTERELPORT_ROUTING_FAIR_QUEUE_HPP
#define DOTTERELPORT_ROUTING_FAIR_QUEUE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/priority.hpp"

namespace dotterelport::routing {

/// A request that waits for a backend server.
struct queued_request {
    /// Unique among the queued requests.
    std::uint64_t id = 0;
    std::string workspace;
    dotterelport::priority priority = dotterelport::priority::normal;
    /// Expected work, in tokens.
    double cost = 1;
    /// Latest time at which it is of use to start the request.
    milliseconds deadline{0};
};

enum class push_status {
    queued,
    /// The queue, or this workspace's share of it, is full.
    full,
    /// The request would wait beyond its deadline.
    too_late,
};

struct push_result {
    push_status status = push_status::queued;
    milliseconds expected_wait{0};
};

struct queue_settings {
    std::size_t limit = 2'000;
    /// Bound for one workspace, so that it cannot fill the queue for all others.
    std::size_t workspace_limit = 500;
    /// Tokens that a workspace may start in one round.
    double quantum = 512;
    /// Requests of higher classes after which a waiting request of a class goes first, by class.
    std::array<int, priority_count> passed_over_limit{0, 8, 16};
};

/// Bounded queue: by class first, without starving lower ones, and within a class by deficit
/// round robin over the workspaces, so that each gets an equal share of tokens.
class fair_queue {
public:
    explicit fair_queue(queue_settings settings = {});

    /// @brief Queues a request, or refuses it at once if that is what would come of it.
    push_result push(const queued_request& request, milliseconds now);

    /// @brief Takes the next request whose deadline has not passed.
    /// @param lowest lowest class to take, when there is no room for others
    std::optional<queued_request> pop(milliseconds now, priority lowest = priority::batch);

    /// @brief Takes the requests whose deadline has passed.
    std::vector<queued_request> take_expired(milliseconds now);

    /// @brief Removes a request whose caller has gone.
    /// @return false if it was not queued
    bool remove(std::uint64_t id);

    /// @brief Time that a further request would wait, from the work ahead of it and the rate at
    /// which work was taken lately; 0 while that rate is not known.
    [[nodiscard]] milliseconds expected_wait(const queued_request& request) const;

    [[nodiscard]] std::size_t size() const { return places_.size(); }
    [[nodiscard]] bool empty() const { return places_.empty(); }
    [[nodiscard]] json dump() const;

private:
    struct flow {
        std::deque<queued_request> requests;
        double cost = 0;
        double deficit = 0;
        bool has_turn = false;
    };

    struct class_queue {
        std::map<std::string, flow> flows;
        /// Workspaces with requests, in the order of their turns.
        std::deque<std::string> turns;
        double cost = 0;
        int passed_over = 0;
    };

    using place = std::pair<priority, std::string>;

    queued_request take(class_queue& from);
    std::optional<queued_request> extract(std::uint64_t id);
    void forget(const queued_request& request);
    void measure_rate(double cost, milliseconds now);
    [[nodiscard]] class_queue* next_class(priority lowest);

    queue_settings settings_;
    std::array<class_queue, priority_count> classes_;
    std::unordered_map<std::uint64_t, place> places_;
    std::set<std::pair<milliseconds, std::uint64_t>> deadlines_;
    std::map<std::string, std::size_t> by_workspace_;
    /// Requests that pop() found expired.
    std::vector<queued_request> expired_;
    /// Tokens taken for each millisecond while the queue was not empty; 0 if not known.
    double rate_ = 0;
    double window_cost_ = 0;
    std::optional<milliseconds> window_start_;
};

} // namespace dotterelport::routing

#endif
