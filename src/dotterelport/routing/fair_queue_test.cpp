#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

#include "dotterelport/routing/fair_queue.hpp"

namespace dotterelport::routing {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds far_deadline{1'000'000};

queued_request request(std::uint64_t id, const std::string& workspace, priority value,
                       double cost = 100, milliseconds deadline = far_deadline)
{
    return {
        .id = id, .workspace = workspace, .priority = value, .cost = cost, .deadline = deadline};
}

// Guards against batch work before interactive work, and against batch work that never runs.
TEST_CASE("Higher classes go first, and lower ones are not starved")
{
    fair_queue queue({.limit = 1'000, .workspace_limit = 1'000});
    std::uint64_t id = 0;
    for (const auto value : {priority::batch, priority::normal, priority::interactive}) {
        for (int i = 0; i < 200; ++i) {
            queue.push(request(++id, "w", value), 0ms);
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

// Guards against a workspace with many or with large requests taking the share of another.
TEST_CASE("Workspaces that wait get equal shares of tokens")
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

// Guards against a queue that loses or repeats requests whatever is done to it.
TEST_CASE("Each queued request leaves exactly once")
{
    CHECK(rc::check("conservation", [] {
        fair_queue queue({.limit = 20, .workspace_limit = 8});
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        std::map<std::uint64_t, int> left;
        std::size_t queued = 0;
        milliseconds now{0};
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const int step = steps[i];
            now += milliseconds{step};
            if (step < 50) {
                const auto value = static_cast<priority>(step % priority_count);
                const auto result = queue.push(
                    request(i, "w" + std::to_string(step % 4), value, 1 + step * 30, now + 1'500ms),
                    now);
                queued += result.status == push_status::queued ? 1 : 0;
            } else if (step < 80) {
                if (const auto next = queue.pop(now)) {
                    RC_ASSERT(next->deadline >= now);
                    ++left[next->id];
                }
            } else if (step < 90) {
                left[i / 2] += queue.remove(i / 2) ? 1 : 0;
            } else {
                for (const auto& late : queue.take_expired(now)) {
                    ++left[late.id];
                }
            }
        }
        while (const auto next = queue.pop(now)) {
            ++left[next->id];
        }
        for (const auto& late : queue.take_expired(now)) {
            ++left[late.id];
        }
        std::size_t total = 0;
        for (const auto& [id, count] : left) {
            RC_ASSERT(count <= 1);
            total += static_cast<std::size_t>(count);
        }
        RC_ASSERT(total == queued);
        RC_ASSERT(queue.empty());
    }));
}

// Guards against requests that wait only to be refused at their deadline, and against one
// workspace filling the queue.
TEST_CASE("Requests are refused at once when the queue is full or their wait too long")
{
    fair_queue queue({.limit = 100, .workspace_limit = 60});
    std::uint64_t id = 0;
    for (int i = 0; i < 60; ++i) {
        CHECK(queue.push(request(++id, "a", priority::normal), 0ms).status == push_status::queued);
    }
    CHECK(queue.push(request(++id, "a", priority::normal), 0ms).status == push_status::full);
    // One request of 100 tokens each 100 ms.
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
