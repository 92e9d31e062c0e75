#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "dotterelport/routing/server_limits.hpp"

namespace dotterelport::routing {
namespace {

using namespace std::chrono_literals;

const std::string server = "s1";

TEST_CASE("A rate holds for all routers together, however many there are")
{
    const std::size_t routers = GENERATE(1U, 3U, 28U, 200U);
    const double rate = GENERATE(0.0, 1.1, 8.9, 40.0);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    CAPTURE(routers, rate, seed);
    std::vector<server_limits> fleet;
    for (std::size_t i = 0; i < routers; ++i) {
        fleet.emplace_back(server_limits::options{}, seed * 1'000 + i);
        fleet.back().set_router_count(routers);
        CHECK(fleet.back().set_rate(server, rate, 0ms));
    }
    std::mt19937_64 random(seed);
    std::vector<milliseconds> arrivals;
    for (milliseconds now = 0ms; now < 300s; now += 1ms) {
        // No requests for ten seconds, then more than any rate allows.
        if (now >= 10s && now < 20s) {
            continue;
        }
        auto& router = fleet[random() % fleet.size()];
        if (router.time_until_permitted(server, now) == 0ms) {
            router.sent(server, now);
            arrivals.push_back(now);
        }
    }
    constexpr milliseconds window = 4s;
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, arrivals.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    CHECK(static_cast<double>(most) <= 1.5 * 4 * rate + 5);
    CHECK(static_cast<double>(arrivals.size()) >= 0.6 * 290 * rate - 1);
}

TEST_CASE("A limit ends when a server no longer states it, and a wait after its time")
{
    server_limits limits({}, 1);
    CHECK(limits.time_until_permitted(server, 0ms) == 0ms);
    SECTION("rate")
    {
        CHECK(limits.set_rate(server, 0.5, 0ms));
        CHECK_FALSE(limits.set_rate(server, 0.51, 0ms));
        CHECK(limits.set_rate(server, 0.9, 0ms));
        limits.sent(server, 0ms);
        CHECK(limits.time_until_permitted(server, 0ms) > 0ms);
        CHECK(limits.set_rate(server, std::nullopt, 0ms));
        CHECK_FALSE(limits.set_rate(server, std::nullopt, 0ms));
    }
    SECTION("wait")
    {
        limits.set_wait(server, 3s, 1s);
        limits.set_wait(server, 1s, 1s);
        CHECK(limits.time_until_permitted(server, 2s) == 2s);
        CHECK(limits.time_until_permitted(server, 4s) == 0ms);
    }
    SECTION("wait of a server with a rate")
    {
        limits.set_rate(server, 1'000.0, 0ms);
        limits.set_wait(server, 3s, 1s);
        limits.set_rate(server, std::nullopt, 2s);
        CHECK(limits.time_until_permitted(server, 2s) == 2s);
    }
    SECTION("server that has left")
    {
        limits.set_wait(server, 3s, 1s);
        limits.forget(server);
    }
    CHECK(limits.time_until_permitted(server, 4s) == 0ms);
}

TEST_CASE("A higher rate is used at once")
{
    server_limits limits({}, 1);
    limits.set_rate(server, 0.1, 0ms);
    limits.set_rate(server, 100.0, 0ms);
    CHECK(limits.time_until_permitted(server, 0ms) <= 13ms);
}

/// Requests that a fleet sends to a server which has just started, in each ms of a time: all
/// routers choose it whenever it permits a request, as it is idle.
std::vector<milliseconds> arrivals_at_cold_server(std::vector<server_limits>& fleet,
                                                  milliseconds begin, milliseconds end)
{
    std::vector<milliseconds> arrivals;
    for (milliseconds now = begin; now < end; now += 1ms) {
        for (auto& router : fleet) {
            if (router.time_until_permitted(server, now) == 0ms) {
                router.sent(server, now);
                arrivals.push_back(now);
            }
        }
    }
    return arrivals;
}

std::vector<server_limits> fleet_of(std::size_t size, std::size_t known)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < size; ++i) {
        names.push_back("edge-" + std::to_string(i));
    }
    std::vector<server_limits> fleet;
    for (std::size_t i = 0; i < size; ++i) {
        // A router knows itself, and may know only some of the others.
        std::vector<std::string> listed(names.begin(),
                                        names.begin() + static_cast<std::ptrdiff_t>(known));
        if (i >= known) {
            listed.push_back(names[i]);
        }
        fleet.emplace_back(server_limits::options{}, i);
        fleet.back().set_fleet(names[i], std::move(listed));
    }
    return fleet;
}

std::size_t most_in_a_second(const std::vector<milliseconds>& arrivals)
{
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, arrivals.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

// Guards against a server that crashes right after its start, because each router of a large fleet
// sends it a part of its traffic.
TEST_CASE("An idle fleet that turns to a cold server keeps its rate in every second")
{
    const std::size_t routers = GENERATE(1U, 5U, 8U, 20U, 103U);
    const double rate = GENERATE(0.4, 1.0, 8.3, 40.0);
    CAPTURE(routers, rate);
    auto fleet = fleet_of(routers, routers);
    for (auto& router : fleet) {
        CHECK(router.set_temporary_rate(server, rate, 3s, 0ms));
        CHECK_FALSE(router.set_temporary_rate(server, rate, 2s, 0ms));
    }
    const auto arrivals = arrivals_at_cold_server(fleet, 0ms, 3s);
    CHECK(static_cast<double>(most_in_a_second(arrivals)) <= std::max(1.0, rate));
    CHECK(static_cast<double>(arrivals.size()) >= std::min(1.0, rate));
    for (const auto& router : fleet) {
        CHECK(router.time_until_permitted(server, 3s) == 0ms);
    }
}

// The server tolerates half of its rate and five requests more than it states.
TEST_CASE("The rate of a cold server is tolerable when all routers restart or know few others")
{
    const double rate = 8.3;
    const auto tolerated = static_cast<std::size_t>(1.5 * rate + 5);
    SECTION("all routers are killed and start again")
    {
        auto fleet = fleet_of(20, 20);
        for (auto& router : fleet) {
            router.set_temporary_rate(server, rate, 3s, 0ms);
        }
        auto arrivals = arrivals_at_cold_server(fleet, 0ms, 500ms);
        fleet = fleet_of(20, 20);
        for (auto& router : fleet) {
            router.set_temporary_rate(server, rate, 3s, 500ms);
        }
        const auto later = arrivals_at_cold_server(fleet, 500ms, 3s);
        arrivals.insert(arrivals.end(), later.begin(), later.end());
        CHECK(most_in_a_second(arrivals) <= tolerated);
    }
    SECTION("routers that were added are not known to the others")
    {
        auto fleet = fleet_of(23, 20);
        for (auto& router : fleet) {
            router.set_temporary_rate(server, rate, 3s, 0ms);
        }
        CHECK(most_in_a_second(arrivals_at_cold_server(fleet, 0ms, 3s)) <= tolerated);
    }
    SECTION("the fleet is not known yet")
    {
        server_limits limits({}, 1);
        limits.set_temporary_rate(server, rate, 3s, 0ms);
        CHECK(limits.time_until_permitted(server, 1s) == 2s);
    }
}

TEST_CASE("A cold server keeps the wait and the rate that it states")
{
    auto fleet = fleet_of(1, 1);
    auto& limits = fleet.front();
    limits.set_temporary_rate(server, 8.3, 3s, 0ms);
    limits.set_wait(server, 5s, 0ms);
    CHECK(limits.time_until_permitted(server, 0ms) == 5s);
    limits.set_rate(server, 0.5, 0ms);
    CHECK(limits.set_rate(server, std::nullopt, 1s));
    CHECK(limits.has_temporary_rate(server, 2s));
    CHECK_FALSE(limits.has_temporary_rate(server, 3s));
}

} // namespace
} // namespace dotterelport::routing
