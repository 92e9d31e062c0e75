#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <set>

#include "dotterelport/gateway/admission.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

const routing::load_report with_slowdown{.running = 6, .waiting = 24, .capacity = 6, .slowdown = 1};
const routing::load_report without_slowdown{.running = 6, .waiting = 24, .capacity = 6};

/// Admission control for the service "s".
struct active_admission {
    std::mt19937_64 random{1};
    admission target;

    explicit active_admission(const waiting_limits& limits = {}) : target(true, random, limits)
    {
        target.record_report("s", with_slowdown);
    }

    /// Records starts that took a share of the expected time.
    void observe(double ratio, int count = 10, milliseconds now = 0ms)
    {
        for (int i = 0; i < count; ++i) {
            target.record_start("s", 1'000, milliseconds{static_cast<std::int64_t>(1'000 * ratio)},
                                500ms, now);
        }
    }
};

constexpr admission_request chat{
    .priority = 1, .time_limit = 4'000ms, .time_left = 4'000ms, .expected_start_ms = 0};

admission_request with_start(double expected_start_ms, admission_request request = chat)
{
    request.expected_start_ms = expected_start_ms;
    return request;
}

bool is_sent(const admission_decision& decision)
{
    return std::holds_alternative<send_now>(decision);
}

// Guards against rejections on an estimate without evidence, or that were switched off.
TEST_CASE("Traffic times 3 on servers that state three figures is sent as before")
{
    std::mt19937_64 random{1};
    const auto [is_enabled, report, is_active] =
        GENERATE(table<bool, routing::load_report, bool>({{true, with_slowdown, true},
                                                          {true, without_slowdown, false},
                                                          {false, with_slowdown, false}}));
    admission target(is_enabled, random);
    CHECK(target.record_report("s", report) == is_active);
    CHECK_FALSE(target.record_report("s", report));
    CHECK(target.is_active("s") == is_active);
    CHECK_FALSE(target.is_active("other"));
    CHECK(is_sent(target.decide("s", with_start(1e6), 0ms)));
}

// Guards against requests that wait at a server until their time limit has passed, and against
// rejections because of an estimate that is far above what was observed.
TEST_CASE("Traffic times 3: only a request that cannot start in time is rejected")
{
    active_admission run;
    const auto [ratio, observations, expected_start_ms, sent] =
        GENERATE(table<double, int, double, bool>({
            {1.0, 10, 300, true},
            {1.0, 10, 7'900, true},
            {1.0, 10, 8'100, false},
            // Requests start in a tenth of the expected time.
            {0.1, 10, 24'000, true},
            {0.1, 10, 81'000, false},
            // An estimate that was too low does not make the next one higher.
            {3.0, 10, 7'900, true},
            {1.0, 3, 1e6, true},
        }));
    run.observe(ratio, observations);
    CHECK(is_sent(run.target.decide("s", with_start(expected_start_ms), 100ms)) == sent);
}

// Guards against a ratio from requests that did not queue, and against one that stays in use
// although nothing was sent since.
TEST_CASE("Only recent starts of requests that queued count")
{
    active_admission run;
    for (int i = 0; i < 10; ++i) {
        run.target.record_start("s", 20, 60ms, 500ms, 0ms);
    }
    CHECK(is_sent(run.target.decide("s", with_start(1e6), 100ms)));
    run.observe(1.0, 10, 200ms);
    CHECK_FALSE(is_sent(run.target.decide("s", with_start(1e6), 300ms)));
    CHECK(is_sent(run.target.decide("s", with_start(1e6), 6'000ms)));
}

// Guards against callers that return at the same moment, or before there is capacity.
TEST_CASE("Rejected callers return spread over the time at which capacity is expected")
{
    active_admission run;
    run.observe(1.0);
    std::set<milliseconds> times;
    for (int i = 0; i < 20; ++i) {
        const auto decision = run.target.decide("s", with_start(10'000), 100ms);
        REQUIRE(std::holds_alternative<reject_now>(decision));
        const auto& rejection = std::get<reject_now>(decision);
        CHECK(rejection.reason == "starts_too_late");
        CHECK(rejection.retry_after >= 5'000ms);
        CHECK(rejection.retry_after <= 10'000ms);
        times.insert(rejection.retry_after);
    }
    CHECK(times.size() > 15);
}

// Guards against less urgent requests that are served, because they have a longer time limit, with
// the capacity that more urgent ones were rejected for.
TEST_CASE("Streams of 15 s do not displace more urgent ones of 4 s")
{
    active_admission run;
    run.observe(1.0);
    const admission_request diff{.priority = 2, .time_limit = 15'000ms, .time_left = 15'000ms};
    CHECK(is_sent(run.target.decide("s", with_start(9'000, diff), 100ms)));
    CHECK_FALSE(is_sent(run.target.decide("s", with_start(9'000, chat), 100ms)));
    CHECK_FALSE(is_sent(run.target.decide("s", with_start(9'000, diff), 200ms)));
    CHECK(is_sent(run.target.decide("s", with_start(7'000, diff), 200ms)));
    CHECK(is_sent(run.target.decide("s", with_start(9'000, diff), 1'300ms)));

    // A more urgent caller that is rejected because it has little time left says nothing about the
    // capacity, and a less urgent one does not hold back more urgent ones.
    admission_request late = chat;
    late.time_left = 100ms;
    CHECK_FALSE(is_sent(run.target.decide("s", with_start(7'000, late), 2'000ms)));
    CHECK(is_sent(run.target.decide("s", with_start(9'000, diff), 2'000ms)));
    CHECK_FALSE(is_sent(run.target.decide("s", with_start(40'000, diff), 2'000ms)));
    CHECK(is_sent(run.target.decide("s", with_start(7'000, chat), 2'000ms)));
}

constexpr refused_request approval{.bytes = 1'000,
                                   .held = 10ms,
                                   .target_latency = 300ms,
                                   .time_left = 1'490ms,
                                   .ms_per_slot = 10,
                                   .permitted_after = 0ms};

// Guards against refusals that go back to callers while slots become free, and against requests
// that are held without a prospect.
TEST_CASE("Full application servers: a refused request waits within its target latency")
{
    auto with = [](auto change) {
        refused_request result = approval;
        change(result);
        return result;
    };
    const auto [request, waits] = GENERATE_COPY(table<refused_request, bool>({
        {approval, true},
        {with([](auto& r) { r.held = 270ms; }), true},
        {with([](auto& r) { r.held = 290ms; }), false},
        {with([](auto& r) { r.time_left = 30ms; }), false},
        {with([](auto& r) { r.permitted_after = 200ms; }), true},
        {with([](auto& r) { r.permitted_after = 300ms; }), false},
        {with([](auto& r) { r.ms_per_slot = 1e6; }), true},
        {with([](auto& r) { r.target_latency = 0ms; }), true},
        {with([](auto& r) { r.bytes = 9U << 20U; }), false},
    }));
    active_admission run;
    const auto decision = run.target.decide_after_refusal(request);
    CHECK(std::holds_alternative<wait_for_slot>(decision) == waits);
    if (const auto* wait = std::get_if<wait_for_slot>(&decision)) {
        CHECK(wait->time >= 20ms);
        CHECK(wait->time <= 200ms);
    } else {
        const milliseconds retry_after = std::get<reject_now>(decision).retry_after;
        CHECK(retry_after >= 150ms);
        CHECK(retry_after <= 450ms);
    }
}

// Guards against waiting requests that use up the memory of a VM with 88 MB, and against places
// that are not given back.
TEST_CASE("Waiting requests are bounded in number and bytes")
{
    const auto limits = GENERATE(waiting_limits{.requests = 2, .bytes = 1U << 20U},
                                 waiting_limits{.requests = 100, .bytes = 2'500});
    active_admission run(limits);
    const auto waits = [&] {
        return std::holds_alternative<wait_for_slot>(run.target.decide_after_refusal(approval));
    };
    CHECK(waits());
    auto first = std::make_unique<waiting_place>(run.target.waiting(), approval.bytes);
    CHECK(waits());
    const auto second = std::make_unique<waiting_place>(run.target.waiting(), approval.bytes);
    CHECK_FALSE(waits());
    first.reset();
    CHECK(waits());
}

} // namespace
} // namespace dotterelport::gateway
