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

} // namespace
} // namespace dotterelport::routing
