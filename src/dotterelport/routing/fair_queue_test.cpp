#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

#include "dotterelport/routing/fair_queue.hpp"

namespace dotterelport::routing {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds far_deadline{1'000'000};

queued_request request(std::uint64_t id, const std::string& workspace, priority request_priority,
                       double cost = 100, milliseconds deadline = far_deadline)
{
    return {.id = id,
            .workspace = workspace,
            .priority = request_priority,
            .cost = cost,
            .deadline = deadline};
}

// Guards against batch requests that run before interactive ones, and against starvation of batch
// requests.
TEST_CASE("Higher classes are served first without starving lower ones")
{
    fair_queue queue({.limit = 1'000, .workspace_limit = 1'000});
    std::uint64_t id = 0;
    for (const auto request_priority : {priority::batch, priority::normal, priority::interactive}) {
        for (int i = 0; i < 200; ++i) {
            queue.push(request(++id, "w", request_priority), 0ms);
        }
    }
    std::map<priority, int> served;
    for (int i = 0; i < 180; ++i) {
        ++served[queue.pop(1ms)->priority];
    }
    CHECK(served[priority::interactive] >= 145);
    CHECK(served[priority::normal] > served[priority::batch]);
    CHECK(served[priority::batch] >= 9);
}

// Guards against a workspace with many or large requests using up the share of another.
TEST_CASE("Waiting workspaces get equal shares of tokens")
{
    CHECK(rc::check("shares differ by at most a round and a request", [] {
        const int workspaces = *rc::gen::inRange(2, 6);
        std::map<std::string, double> costs;
        fair_queue queue({.limit = 100'000, .workspace_limit = 10'000, .quantum = 512});
        std::uint64_t id = 0;
        for (int w = 0; w < workspaces; ++w) {
            const std::string name = "w" + std::to_string(w);
            costs[name] = *rc::gen::inRange(1, 500);
            for (int i = 0; i < 2'000; ++i) {
                queue.push(request(++id, name, priority::normal, costs[name]), 0ms);
            }
        }
        std::map<std::string, double> served;
        for (int i = 0; i < 1'000; ++i) {
            const auto next = queue.pop(1ms);
            served[next->workspace] += next->cost;
        }
        double least = served.begin()->second;
        double most = least;
        for (const auto& [name, cost] : costs) {
            least = std::min(least, served[name]);
            most = std::max(most, served[name]);
        }
        RC_ASSERT(most - least <= 512 + 500);
    }));
}

// Guards against a queue that loses or duplicates requests under any sequence of operations.
TEST_CASE("Each queued request is returned or removed exactly once")
{
    CHECK(rc::check("each queued request is popped, removed or expired once", [] {
        fair_queue queue({.limit = 20, .workspace_limit = 8});
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        std::map<std::uint64_t, int> removals;
        std::size_t queued = 0;
        milliseconds now{0};
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const int step = steps[i];
            now += milliseconds{step};
            if (step < 50) {
                const auto request_priority = static_cast<priority>(step % priority_count);
                const auto result =
                    queue.push(request(i, "w" + std::to_string(step % 4), request_priority,
                                       1 + step * 30, now + 1'500ms),
                               now);
                queued += result.status == push_status::queued ? 1 : 0;
            } else if (step < 80) {
                if (const auto next = queue.pop(now)) {
                    RC_ASSERT(next->deadline >= now);
                    ++removals[next->id];
                }
            } else if (step < 90) {
                removals[i / 2] += queue.remove(i / 2) ? 1 : 0;
            } else {
                for (const auto& expired : queue.take_expired(now)) {
                    ++removals[expired.id];
                }
            }
        }
        while (const auto next = queue.pop(now)) {
            ++removals[next->id];
        }
        for (const auto& expired : queue.take_expired(now)) {
            ++removals[expired.id];
        }
        std::size_t total = 0;
        for (const auto& [id, count] : removals) {
            RC_ASSERT(count <= 1);
            total += static_cast<std::size_t>(count);
        }
        RC_ASSERT(total == queued);
        RC_ASSERT(queue.empty());
    }));
}

// Guards against requests that are queued although they cannot start before their deadline, and
// against one workspace that fills the queue.
TEST_CASE("Requests are refused at once if the queue is full or the expected wait is too long")
{
    fair_queue queue({.limit = 100, .workspace_limit = 60});
    std::uint64_t id = 0;
    for (int i = 0; i < 60; ++i) {
        CHECK(queue.push(request(++id, "a", priority::normal), 0ms).status == push_status::queued);
    }
    CHECK(queue.push(request(++id, "a", priority::normal), 0ms).status == push_status::full);
    // Dequeues one request of 100 tokens every 100 ms.
    for (milliseconds now = 100ms; now <= 2s; now += 100ms) {
        queue.pop(now);
    }
    const auto late = queue.push(request(++id, "a", priority::normal, 100, 4s), 2s);
    CHECK(late.status == push_status::too_late);
    CHECK(late.expected_wait > 3s);
    CHECK(late.expected_wait < 6s);
    // Another workspace or a higher class waits less.
    CHECK(queue.push(request(++id, "b", priority::normal, 100, 4s), 2s).status ==
          push_status::queued);
    CHECK(queue.push(request(++id, "a", priority::interactive, 100, 2'500ms), 2s).status ==
          push_status::queued);
}

} // namespace
} // namespace dotterelport::routing
