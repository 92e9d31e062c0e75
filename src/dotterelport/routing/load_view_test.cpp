#include <catch2/catch.hpp>

#include "dotterelport/routing/balancer.hpp"

namespace dotterelport::routing {
namespace {

using namespace std::chrono_literals;

// Guards against herding: requests that were just sent must be counted until a report includes
// them, and must not be counted twice once it does.
TEST_CASE("Own requests that a report misses are added to it exactly once")
{
    load_view loads({.report_lag = 500ms});
    loads.record_report("a", {.running = 4, .waiting = 1, .capacity = 8}, 1'000ms);
    loads.sent("a", 1, 1'200ms);
    loads.sent("a", 2, 1'300ms);
    CHECK(loads.estimate("a", 1'300ms).load == 7);
    loads.finished("a", 1, 10, 1'400ms);
    CHECK(loads.estimate("a", 1'400ms).load == 6);
    // This report was measured after request 1 had ended, and it includes request 2.
    loads.record_report("a", {.running = 6, .waiting = 0, .capacity = 8}, 2'000ms);
    CHECK(loads.estimate("a", 2'000ms).load == 6);
    loads.finished("a", 2, 10, 2'100ms);
    CHECK(loads.estimate("a", 2'100ms).load == 5);
    CHECK(loads.estimate("a", 2'100ms).report_age == 100ms);
}

// Guards against trust in a report of low load that was measured before this router's requests
// arrived at the server.
TEST_CASE("The estimated load is never less than this router's own requests")
{
    load_view loads;
    for (std::uint64_t id = 0; id < 5; ++id) {
        loads.sent("a", id, 0ms);
    }
    loads.record_report("a", {.running = 1}, 5'000ms);
    CHECK(loads.estimate("a", 5'000ms).load == 5);
}

// Guards against sending requests to a server that fails all of them, and against a flapping server
// that gets its full load again after each recovery.
TEST_CASE("A server that fails is ejected, probed, and ejected for longer if the probe fails")
{
    load_view loads;
    std::uint64_t id = 0;
    const auto fail = [&](milliseconds now) {
        loads.sent("a", ++id, now);
        loads.failed("a", id, now);
    };
    fail(0ms);
    fail(10ms);
    CHECK(loads.available("a", 10ms) == availability::usable);
    fail(20ms);
    CHECK(loads.available("a", 30ms) == availability::ejected);
    CHECK(loads.available("a", 2'030ms) == availability::probing);
    loads.sent("a", ++id, 2'030ms);
    CHECK(loads.available("a", 2'031ms) == availability::ejected);
    loads.failed("a", id, 2'040ms);
    CHECK(loads.available("a", 5'000ms) == availability::ejected);
    CHECK(loads.available("a", 6'050ms) == availability::probing);
    loads.sent("a", ++id, 6'050ms);
    loads.answered("a", id, 6'100ms);
    loads.finished("a", id, 10, 6'200ms);
    CHECK(loads.available("a", 6'200ms) == availability::usable);
    // The server flaps: the next ejection is again twice as long as the previous one.
    fail(7'000ms);
    fail(7'001ms);
    fail(7'002ms);
    CHECK(loads.available("a", 14'900ms) == availability::ejected);
    CHECK(loads.available("a", 15'100ms) == availability::probing);
    CHECK(loads.available("a", 19'000ms) == availability::usable);
}

// Guards against treating a server whose agent has died without notice as idle.
TEST_CASE("A server whose reports stop is silent")
{
    load_view loads;
    loads.record_report("a", {.running = 0}, 0ms);
    CHECK(loads.available("a", 4'000ms) == availability::usable);
    CHECK(loads.available("a", 4'001ms) == availability::silent);
    loads.record_report("a", {.running = 0}, 5'000ms);
    CHECK(loads.available("a", 5'001ms) == availability::usable);
    CHECK(loads.available("never reported", 60'000ms) == availability::usable);
}

// Guards against relying on cache contents after events were lost or after the server restarted.
TEST_CASE("A gap in cache events requires a resync, and a restart empties the view")
{
    prefix_view view;
    const std::vector<prefix_hash> prefix{11, 12, 13};
    using kind = cache_event::kind;
    const std::vector<cache_event> first{
        {1, kind::stored, 11}, {2, kind::stored, 12}, {3, kind::stored, 13}};
    CHECK(view.apply("a", 3, first));
    CHECK(view.matched("a", prefix, 0ms) == 3);
    const std::vector<cache_event> gap{{5, kind::evicted, 12}};
    CHECK_FALSE(view.apply("a", 5, gap));
    CHECK(view.needs_resync("a"));
    CHECK(view.matched("a", prefix, 0ms) == 1);
    view.replace("a", 6, std::vector<prefix_hash>{11, 12});
    CHECK_FALSE(view.needs_resync("a"));
    CHECK(view.matched("a", prefix, 0ms) == 2);
    CHECK_FALSE(view.apply("a", 8, {}));
    const std::vector<cache_event> restarted{{1, kind::stored, 11}};
    CHECK(view.apply("a", 1, restarted));
    CHECK(view.matched("a", prefix, 0ms) == 1);
}

// Guards against spreading a burst with one prefix over several servers before the first cache
// event arrives, and against assuming for ever that the prefix is cached.
TEST_CASE(
    "Prefixes of sent requests are expected for a while, even if a delayed snapshot lacks them")
{
    prefix_view view;
    const std::vector<prefix_hash> prefix{1, 2};
    view.expect("a", prefix, 0ms);
    CHECK(view.matched("a", prefix, 1'000ms) == 2);
    view.replace("a", 1, {});
    CHECK(view.matched("a", prefix, 1'000ms) == 2);
    CHECK(view.matched("a", prefix, 31'000ms) == 0);
}

// Guards against memory use that grows with the number of distinct prompts.
TEST_CASE("The size of the prefix view is bounded over all servers")
{
    constexpr std::size_t limit = 1'000;
    prefix_view view(limit);
    for (prefix_hash hash = 0; hash < 10'000; ++hash) {
        const std::vector<prefix_hash> prefix{hash};
        view.expect("server-" + std::to_string(hash % 8), prefix, 0ms);
    }
    CHECK(view.size() <= limit + 8);
    CHECK(view.size() > limit / 2);
}

// Guards against a crash of the router on a status with missing or malformed members.
TEST_CASE("The status of an agent updates the load and prefix views")
{
    balancer server_balancer;
    const json status = {
        {"load", {{"running", 3}, {"waiting", 1}, {"capacity", 8}, {"tokens_per_second", 90.5}}},
        {"cache", {{"sequence", 7}, {"prefixes", {"000000000000000b", "xyz"}}}}};
    server_balancer.update_status("a", status, 0ms);
    CHECK(server_balancer.loads().estimate("a", 0ms).load == 4);
    CHECK(server_balancer.prefixes().matched("a", std::vector<prefix_hash>{11}, 0ms) == 1);
    server_balancer.update_status("b", json::object(), 0ms);
    CHECK_FALSE(server_balancer.loads().estimate("b", 0ms).report_age);
    const std::vector<std::string> servers{"a", "b"};
    CHECK(server_balancer.choose({}, servers, 0ms));
    CHECK_FALSE(server_balancer.choose({}, {}, 0ms));
}

// Guards against avoiding a server for long after a figure that changes every 600 ms: the older the
// figure, the closer the expected time is to that of the server's usual figure.
TEST_CASE("A stated slowdown multiplies the expected time and fades to the usual figure")
{
    load_view loads;
    CHECK_FALSE(loads.estimate("a", 0ms).slowdown);
    loads.record_report("a", {.running = 1}, 0ms);
    CHECK_FALSE(loads.estimate("a", 0ms).slowdown);
    loads.record_report("a", {.running = 1, .slowdown = 1.0}, 0ms);
    loads.record_report("a", {.running = 1, .slowdown = 2.5}, 100ms);
    const auto expected_ms = [&](milliseconds now, double work_ms) {
        return loads.estimate("a", now).slowdown->expected_ms(work_ms);
    };
    CHECK(expected_ms(100ms, 100) == Approx(250));
    CHECK(expected_ms(400ms, 50) == Approx(0.5 * 125 + 0.5 * 50).epsilon(0.03));
    CHECK(expected_ms(900ms, 100) == Approx(100).epsilon(0.05));
    // Work that takes longer than the period is slow only until the figure changes.
    CHECK(expected_ms(100ms, 1'000) < 1'300);
}

// Guards against treating a server as slow for good that has always stated the same high figure,
// and against forgetting its usual speed once its reports are old.
TEST_CASE("A usual slowdown is learnt from the figures that a server states over time")
{
    load_view loads;
    for (auto now = 0ms; now < 30s; now += 200ms) {
        loads.record_report("a", {.running = 1, .slowdown = 2.0}, now);
        loads.sent("a", 1, now);
        loads.finished("a", 1, 1, now + 100ms);
    }
    const load_estimate estimate = loads.estimate("a", 60s);
    CHECK(estimate.slowdown->expected_ms(100) == Approx(200).epsilon(0.02));
    // The learnt times of requests are without it, so that it is not counted twice.
    CHECK(estimate.duration_ms == Approx(50).epsilon(0.02));
}

} // namespace
} // namespace dotterelport::routing
