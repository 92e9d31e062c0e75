#include <catch2/catch.hpp>

#include <map>

#include "dotterelport/gateway/waiting_queue.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

waiting_request request(std::uint64_t id, const std::string& workspace, int priority = 0,
                        milliseconds deadline = 300ms)
{
    return {.id = id, .workspace = workspace, .priority = priority, .deadline = deadline};
}

std::vector<std::uint64_t> pop_all(waiting_queue& queue)
{
    std::vector<std::uint64_t> result;
    while (const auto next = queue.pop()) {
        result.push_back(next->id);
    }
    return result;
}

// Guards against more urgent requests that wait behind less urgent ones.
TEST_CASE("Waiting requests leave by urgency, then by time left")
{
    waiting_queue queue;
    queue.push(request(1, "a", 2, 100ms));
    queue.push(request(2, "a", 1, 300ms));
    queue.push(request(3, "a", 1, 200ms));
    queue.push(request(4, "a", 0, 400ms));
    CHECK(pop_all(queue) == std::vector<std::uint64_t>{4, 3, 2, 1});
    CHECK(queue.empty());
}

// Guards against one workspace at 10 times its traffic that displaces the others.
TEST_CASE("A workspace with 10 times the traffic of the others does not displace them")
{
    waiting_queue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 50; ++i) {
        queue.push(request(++id, "large", 0, 100ms));
    }
    for (const std::string workspace : {"b", "c", "d"}) {
        for (int i = 0; i < 5; ++i) {
            queue.push(request(++id, workspace, 0, 200ms));
        }
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 20; ++i) {
        ++served[queue.pop()->workspace];
    }
    CHECK(served == std::map<std::string, int>{{"b", 5}, {"c", 5}, {"d", 5}, {"large", 5}});
}

// Guards against a workspace that gets more work done because its requests are larger.
TEST_CASE("Workspaces with larger requests have fewer of them served")
{
    waiting_queue queue;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        waiting_request next = request(id, id <= 20 ? "large" : "small");
        next.cost = id <= 20 ? 4 : 1;
        queue.push(next);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 20; ++i) {
        ++served[queue.pop()->workspace];
    }
    CHECK(served["large"] == 4);
    CHECK(served["small"] == 16);
}

// Guards against less urgent workspaces that are never served while more urgent ones wait.
TEST_CASE("Less urgent requests are served at times while more urgent ones wait")
{
    waiting_queue queue;
    for (std::uint64_t id = 1; id <= 60; ++id) {
        queue.push(request(id, "a", id <= 40 ? 0 : id <= 50 ? 1 : 2));
    }
    std::map<int, int> served;
    for (int i = 0; i < 36; ++i) {
        ++served[queue.pop()->priority];
    }
    CHECK(served[0] >= 26);
    CHECK(served[1] >= 3);
    CHECK(served[2] >= 3);
}

// Guards against requests that are held although they can no longer be served, and against places
// of callers that have left.
TEST_CASE("Expired and removed requests leave the queue")
{
    waiting_queue queue;
    queue.push(request(1, "a", 0, 100ms));
    queue.push(request(2, "a", 0, 200ms));
    queue.push(request(3, "b", 1, 300ms));
    CHECK(queue.take_expired(99ms).empty());
    const auto expired = queue.take_expired(100ms);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].id == 1);
    CHECK(queue.remove(2));
    CHECK_FALSE(queue.remove(2));
    CHECK(queue.count("a") == 0);
    CHECK(queue.count("b") == 1);
    CHECK(pop_all(queue) == std::vector<std::uint64_t>{3});
    CHECK_FALSE(queue.pop());
}

// Guards against a full queue of less urgent requests that keeps out more urgent ones.
TEST_CASE("A more urgent request displaces the last one of the largest workspace")
{
    waiting_queue queue;
    CHECK_FALSE(queue.displaceable(0));
    queue.push(request(1, "a", 1, 100ms));
    queue.push(request(2, "b", 1, 200ms));
    queue.push(request(3, "b", 1, 300ms));
    CHECK_FALSE(queue.displaceable(1));
    const waiting_request* displaceable = queue.displaceable(0);
    REQUIRE(displaceable != nullptr);
    CHECK(displaceable->id == 3);

    // A stream that has begun is not rejected for a new request.
    waiting_request begun = request(4, "b", 2, 400ms);
    begun.has_begun = true;
    queue.push(begun);
    begun.id = 5;
    begun.priority = 1;
    queue.push(begun);
    CHECK(queue.displaceable(0)->id == 3);
    CHECK(queue.displaceable(1) == nullptr);
}

} // namespace
} // namespace dotterelport::gateway
