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
    /// Latest time at which the request may start.
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
    /// Queued requests of one workspace, so that it cannot fill the queue and block the others.
    std::size_t workspace_limit = 500;
    /// Tokens that a workspace may start in each round.
    double quantum = 512;
    /// Number of times that a waiting class may be passed over for another one before it is served
    /// first, by class.
    std::array<int, priority_count> passed_over_limit{0, 8, 16};
};

/// Bounded queue of waiting requests. Higher classes are served first without starving lower ones.
/// Within a class, deficit round robin over the workspaces gives each an equal share of tokens.
class fair_queue {
public:
    explicit fair_queue(queue_settings settings = {});

    /// @brief Queues a request. Refuses it at once if the queue is full or if the expected wait
    /// exceeds its deadline.
    push_result push(const queued_request& request, milliseconds now);

    /// @brief Removes and returns the next request whose deadline has not passed.
    /// @param lowest lowest class to consider, for when servers have no capacity for lower ones
    std::optional<queued_request> pop(milliseconds now, priority lowest = priority::batch);

    /// @brief Removes and returns the requests whose deadline has passed.
    std::vector<queued_request> take_expired(milliseconds now);

    /// @brief Removes a request whose caller has disconnected.
    /// @return false if it was not queued
    bool remove(std::uint64_t id);

    /// @brief Estimates how long a new request would wait, from the work ahead of it and the
    /// recent rate of dequeued work; 0 while that rate is unknown.
    [[nodiscard]] milliseconds expected_wait(const queued_request& request) const;

    [[nodiscard]] std::size_t size() const { return locations_.size(); }
    [[nodiscard]] bool empty() const { return locations_.empty(); }
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
        /// Workspaces with requests, in round-robin order.
        std::deque<std::string> turns;
        double cost = 0;
        int passed_over = 0;
    };

    using location = std::pair<priority, std::string>;

    queued_request dequeue(class_queue& source_class);
    std::optional<queued_request> extract(std::uint64_t id);
    void erase_request(const queued_request& request);
    void measure_rate(double cost, milliseconds now);
    [[nodiscard]] class_queue* next_class(priority lowest);

    queue_settings settings_;
    std::array<class_queue, priority_count> classes_;
    std::unordered_map<std::uint64_t, location> locations_;
    std::set<std::pair<milliseconds, std::uint64_t>> deadlines_;
    std::map<std::string, std::size_t> workspace_counts_;
    /// Expired requests found by pop(), kept for take_expired().
    std::vector<queued_request> expired_;
    /// Moving average of the tokens dequeued per millisecond while requests wait; 0 if unknown.
    double tokens_per_ms_ = 0;
    double rate_window_cost_ = 0;
    std::optional<milliseconds> rate_window_start_;
};

} // namespace dotterelport::routing

#endif
