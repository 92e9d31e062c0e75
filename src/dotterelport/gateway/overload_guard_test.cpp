#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "dotterelport/gateway/overload_guard.hpp"
#include "dotterelport/gateway/peer_exchange.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds sample_interval{50};
constexpr std::size_t other_count = 20;
constexpr double small_share = 0.09;

const gateway_load idle_load{.delay = 1ms, .requests = 4, .cpu_share = 0.5};
const gateway_load short_load{.delay = 200ms, .requests = 60, .cpu_share = 0.5};

/// A guard with its clock and what it decided.
struct guard_run {
    overload_guard guard{small_share};
    milliseconds now{1'000};
    std::size_t requests = 60;
    std::size_t changes = 0;
    milliseconds not_ready_time{0};
    std::set<relief_level> levels;

    guard_run() { guard.set_active(true); }

    void hear(const gateway_load& load, std::size_t count = other_count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            guard.record_other("edge-" + std::to_string(i), load, now);
        }
    }

    /// Records a timer that ran late.
    void sample(milliseconds delay)
    {
        const relief_level before = guard.level();
        now += sample_interval + delay;
        if (before == relief_level::not_ready) {
            not_ready_time += sample_interval + delay;
        }
        guard.record({.delay = delay, .requests = requests, .other_gateways = other_count}, now);
        levels.insert(guard.level());
        changes += guard.level() == before ? 0 : 1;
    }

    void sample_for(milliseconds duration, milliseconds delay, const gateway_load& others)
    {
        const milliseconds end = now + duration;
        while (now < end) {
            hear(others);
            sample(delay);
        }
    }
};

/// Processor time that the small gateway takes for a request, and for an early refusal.
constexpr double request_cpu_ms = 0.4;
constexpr double refusal_cpu_ms = 0.05;

/// Requests that the event loop handles at most before it runs its timers.
constexpr double requests_per_iteration = 256;

/// One gateway with 0.09 of a core gets 3,500 requests in 6 s, the 20 others fewer than 80 each.
struct hot_gateway_run : guard_run {
    double backlog_cpu_ms = 0;
    std::size_t refused = 0;
    std::size_t accepted = 0;
    milliseconds worst_wait{0};

    void step(double requests_per_ms)
    {
        const double iteration_cpu_ms =
            std::min(backlog_cpu_ms, requests_per_iteration * request_cpu_ms);
        const auto delay = milliseconds{static_cast<std::int64_t>(iteration_cpu_ms / small_share)};
        worst_wait = std::max(
            worst_wait, milliseconds{static_cast<std::int64_t>(backlog_cpu_ms / small_share)});
        requests = static_cast<std::size_t>(backlog_cpu_ms / request_cpu_ms);
        hear(idle_load);
        const milliseconds before = now;
        sample(delay);
        const auto passed = static_cast<double>((now - before).count());
        const double arrived = requests_per_ms * passed;
        if (guard.refuses()) {
            refused += static_cast<std::size_t>(arrived);
            backlog_cpu_ms += arrived * refusal_cpu_ms;
        } else {
            accepted += static_cast<std::size_t>(arrived);
            backlog_cpu_ms += arrived * request_cpu_ms;
        }
        backlog_cpu_ms = std::max(0.0, backlog_cpu_ms - passed * small_share);
    }
};

// Guards against a small gateway that accepts everything and serves nothing in time, while 20
// others have room.
TEST_CASE("One small gateway that gets 3,500 requests in 6 s refuses what it cannot serve in time")
{
    constexpr double requests_per_ms = 3'500.0 / 6'000.0;
    hot_gateway_run run;
    const milliseconds end = run.now + 6'000ms;
    std::vector<relief_level> order{relief_level::normal};
    while (run.now < end) {
        run.step(requests_per_ms);
        if (run.guard.level() > order.back()) {
            order.push_back(run.guard.level());
        }
    }
    CHECK(order == std::vector<relief_level>{relief_level::normal, relief_level::close_connections,
                                             relief_level::refuse_requests});
    CAPTURE(run.refused, run.accepted, run.worst_wait.count());
    CHECK(run.refused > 0);
    CHECK(run.accepted > 0);
    // Without relief the backlog of 3,500 requests takes 15.5 s, of which 6 have passed.
    CHECK(run.worst_wait < 4'000ms);
    CHECK(run.not_ready_time == 0ms);

    const milliseconds calm_end = run.now + 10'000ms;
    while (run.now < calm_end) {
        run.step(0.01);
    }
    CHECK(run.guard.level() == relief_level::normal);
}

TEST_CASE("Callers are kept unless others are known to have room")
{
    enum class others { have_room, are_short, are_relieving, are_unknown, are_mostly_unknown };
    const auto [state, expected] = GENERATE(table<others, bool>({
        {others::have_room, true},
        {others::are_short, false},
        {others::are_relieving, false},
        {others::are_unknown, false},
        {others::are_mostly_unknown, false},
    }));
    gateway_load relieving = idle_load;
    relieving.is_relieving = true;
    guard_run run;
    for (int i = 0; i < 100; ++i) {
        switch (state) {
        case others::have_room:
            run.hear(idle_load);
            break;
        case others::are_short:
            run.hear(short_load);
            break;
        case others::are_relieving:
            run.hear(relieving);
            break;
        case others::are_unknown:
            break;
        case others::are_mostly_unknown:
            run.hear(idle_load, other_count / 2 - 1);
            break;
        }
        run.sample(500ms);
    }
    CHECK((run.changes > 0) == expected);
    CHECK(run.guard.is_withholding() == !expected);
}

TEST_CASE("Relief ends at once when the other gateways become short or silent")
{
    const bool are_silent = GENERATE(true, false);
    guard_run run;
    run.sample_for(6'000ms, 200ms, idle_load);
    REQUIRE(run.guard.refuses());
    if (are_silent) {
        for (int i = 0; i < 10; ++i) {
            run.sample(200ms);
        }
    } else {
        run.hear(short_load);
        run.sample(200ms);
    }
    CHECK(run.guard.level() == relief_level::normal);
    CHECK_FALSE(run.guard.refuses());
}

// Guards against gateways that send load back and forth: each time the others become short, relief
// pauses for longer.
TEST_CASE("Other gateways that become short under the diverted load get it ever less often")
{
    guard_run run;
    std::size_t periods = 0;
    const milliseconds end = run.now + 120'000ms;
    while (run.now < end) {
        const bool is_diverting = run.guard.level() != relief_level::normal;
        run.hear(is_diverting ? short_load : idle_load);
        run.sample(100ms);
        periods += !is_diverting && run.guard.level() != relief_level::normal ? 1 : 0;
    }
    CHECK(periods >= 1);
    CHECK(periods <= 8);
}

TEST_CASE("Load that flaps changes the level rarely")
{
    const milliseconds half_period = GENERATE(200ms, 500ms, 1'000ms, 3'000ms);
    CAPTURE(half_period.count());
    guard_run run;
    const milliseconds end = run.now + 60'000ms;
    while (run.now < end) {
        run.sample_for(half_period, 200ms, idle_load);
        run.sample_for(half_period, 0ms, idle_load);
    }
    // A fall takes at least 2 s, and so each period of relief at least as long.
    CHECK(run.changes <= 40);
    CHECK(run.not_ready_time == 0ms);
}

TEST_CASE("A pause of the process is not overload")
{
    const milliseconds pause = GENERATE(300ms, 3'000ms, 60'000ms);
    CAPTURE(pause.count());
    guard_run run;
    run.sample_for(2'000ms, 0ms, idle_load);
    run.hear(idle_load);
    run.sample(pause);
    run.sample_for(2'000ms, 0ms, idle_load);
    CHECK(run.changes == 0);
}

TEST_CASE("A gateway that stays overloaded is not ready for at most an eighth of the time")
{
    guard_run run;
    const milliseconds began = run.now;
    run.sample_for(180'000ms, 400ms, idle_load);
    CHECK(run.not_ready_time > 0ms);
    CHECK(run.not_ready_time * 8 <= run.now - began);
}

TEST_CASE("Levels that a delay does not call for are not reached")
{
    const auto [delay, highest] = GENERATE(table<milliseconds, relief_level>({
        {40ms, relief_level::normal},
        {80ms, relief_level::close_connections},
        {200ms, relief_level::refuse_requests},
        {400ms, relief_level::not_ready},
    }));
    guard_run run;
    run.sample_for(60'000ms, delay, idle_load);
    CHECK(*run.levels.rbegin() == highest);
}

TEST_CASE(
    "A gateway without relief, or with fewer requests per core than others, keeps its callers")
{
    const bool is_active = GENERATE(true, false);
    guard_run run;
    run.guard.set_active(is_active);
    if (is_active) {
        run.requests = 0;
    }
    run.sample_for(10'000ms, 500ms, idle_load);
    CHECK(run.changes == 0);
    CHECK(run.guard.own_load().delay == 500ms);
}

TEST_CASE("A load message with or without a gateway's load is accepted")
{
    load_message message;
    CHECK_FALSE(parse_load_message(to_json(message)).own_load.has_value());
    message.own_load =
        gateway_load{.delay = 80ms, .requests = 7, .cpu_share = 0.25, .is_relieving = true};
    CHECK(parse_load_message(to_json(message)).own_load == message.own_load);
}

TEST_CASE("An implausible load of another gateway is unknown")
{
    const json load =
        GENERATE(json(), json::array(), json::array({1, 2, 3}), json::array({"1", 2, 3, false}),
                 json::array({-1, 2, 3, false}), json::array({1, 2, 0, false}),
                 json::array({1, 1e300, 1, false}),
                 json::array({std::numeric_limits<double>::quiet_NaN(), 2, 3, false}));
    CHECK_FALSE(parse_gateway_load(load).has_value());
}

} // namespace
} // namespace dotterelport::gateway
