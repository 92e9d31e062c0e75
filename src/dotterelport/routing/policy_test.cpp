#include <catch2/catch.hpp>

#include <map>

#include "dotterelport/routing/policy.hpp"

namespace dotterelport::routing {
namespace {

using namespace std::chrono_literals;

struct fixture {
    load_view loads;
    prefix_view prefixes;
    std::vector<std::string> servers;
    choice_request request;
    random_generator random{7};
    std::uint64_t id = 0;

    explicit fixture(int count)
    {
        for (int i = 0; i < count; ++i) {
            servers.push_back("server-" + std::to_string(i));
            loads.record_report(servers.back(), {.running = 2, .waiting = 0, .capacity = 8}, 1s);
        }
    }

    std::size_t choose_with(policy& routing_policy, milliseconds now)
    {
        return choose(routing_policy, {loads, prefixes, servers, request, now}, random).value();
    }

    /// Chooses many times, sending a request each time.
    std::map<std::size_t, int> spread(policy& routing_policy, int requests, milliseconds now)
    {
        std::map<std::size_t, int> counts;
        for (int i = 0; i < requests; ++i) {
            const std::size_t chosen = choose_with(routing_policy, now);
            loads.sent(servers[chosen], ++id, now);
            ++counts[chosen];
        }
        return counts;
    }
};

policy any_policy()
{
    const auto* name =
        GENERATE("random", "round_robin", "least_reported_load", "two_choices", "affinity");
    auto routing_policy = parse_policy(name);
    REQUIRE(routing_policy);
    CHECK(to_string(*routing_policy) == name);
    return *routing_policy;
}

// Guards against sending requests to servers that are known to be unavailable, and against choosing
// none when all servers are unavailable.
TEST_CASE("Every policy avoids ejected, silent and excluded servers unless there are no others")
{
    policy routing_policy = any_policy();
    fixture fleet(4);
    for (int i = 0; i < 3; ++i) {
        fleet.loads.failed(fleet.servers[0], 0, 1s);
    }
    fleet.request.excluded = {fleet.servers[1]};
    fleet.loads.record_report(fleet.servers[1], {.running = 0, .capacity = 8}, 5s);
    fleet.loads.record_report(fleet.servers[3], {.running = 0, .capacity = 8}, 5s);
    // Server 2 has not reported since 1 s. At 5.5 s server 0 is ready for a probe.
    fleet.request.priority = priority::interactive;
    for (int i = 0; i < 20; ++i) {
        CHECK(fleet.choose_with(routing_policy, 5'500ms) == 3);
    }
    fleet.request.priority = priority::batch;
    CHECK(fleet.choose_with(routing_policy, 5'500ms) == 0);
    fleet.request.excluded = fleet.servers;
    CHECK(fleet.choose_with(routing_policy, 5'500ms) < 4);
    CHECK_FALSE(
        choose(routing_policy, {fleet.loads, fleet.prefixes, {}, fleet.request, 1s}, fleet.random));
}

// Guards against one round-robin position shared by services with different numbers of servers.
TEST_CASE("Round robin uses each service's servers in turn")
{
    policy routing_policy = round_robin_policy{};
    fixture models(4);
    fixture calls(2);
    calls.request.service = "calls";
    for (std::size_t i = 0; i < 12; ++i) {
        CHECK(models.choose_with(routing_policy, 1s) == i % 4);
        CHECK(calls.choose_with(routing_policy, 1s) == i % 2);
    }
}

// Guards against herding: all requests between two reports go to the server that reported last.
TEST_CASE(
    "The affinity policy does not send all requests to the server with the lowest reported load")
{
    policy routing_policy = affinity_policy{};
    fixture fleet(10);
    fleet.loads.record_report(fleet.servers[4], {.running = 0, .capacity = 8}, 1'100ms);
    const auto counts = fleet.spread(routing_policy, 40, 1'200ms);
    CHECK(counts.at(4) <= 10);
    CHECK(counts.size() >= 8);
    policy herding = least_reported_load_policy{};
    CHECK(fixture(10).spread(herding, 40, 1'200ms).size() == 1);
}

// Guards against recomputing a long prompt on another server, and against waiting for the server
// with the cached prefix regardless of its queue.
TEST_CASE("A cached prefix is used unless its server is overloaded")
{
    policy routing_policy = affinity_policy{};
    fixture fleet(6);
    for (prefix_hash hash = 1; hash <= 40; ++hash) {
        fleet.request.prefix.push_back(hash);
    }
    fleet.request.prompt_tokens = 2'560;
    fleet.prefixes.expect(fleet.servers[2], fleet.request.prefix, 1s);
    fleet.loads.sent(fleet.servers[0], 1'000, 0ms);
    fleet.loads.finished(fleet.servers[0], 1'000, 100, 2s);
    CHECK(fleet.choose_with(routing_policy, 2s) == 2);
    const auto counts = fleet.spread(routing_policy, 60, 2s);
    CHECK(counts.at(2) < 30);
    CHECK(counts.size() >= 4);
}

// Guards against preferring a server that answers slowly but reports no queue.
TEST_CASE("A server that is observed to be slow gets few requests")
{
    policy routing_policy = affinity_policy{};
    fixture fleet(5);
    for (std::uint64_t id = 100; id < 110; ++id) {
        for (std::size_t i = 0; i < fleet.servers.size(); ++i) {
            const auto duration = i == 3 ? 4'000ms : 1'000ms;
            fleet.loads.sent(fleet.servers[i], id, 0ms);
            fleet.loads.answered(fleet.servers[i], id, 0ms);
            fleet.loads.finished(fleet.servers[i], id, 50, duration);
        }
    }
    const auto counts = fleet.spread(routing_policy, 25, 1'500ms);
    CHECK((counts.contains(3) ? counts.at(3) : 0) <= 1);
}

// Guards against routers that send the same new prefix to different servers.
TEST_CASE("Routers with different random seeds agree on the preferred servers of a new prefix")
{
    std::map<std::size_t, int> counts;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        policy routing_policy = affinity_policy{.random_candidates = 0};
        fixture fleet(20);
        fleet.random.seed(seed);
        fleet.request.prefix = {5, 6, 7};
        fleet.request.prompt_tokens = 48;
        ++counts[fleet.choose_with(routing_policy, 1'100ms)];
    }
    CHECK(counts.size() == 1);
}

} // namespace
} // namespace dotterelport::routing
