#include <catch2/catch.hpp>

#include <map>
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

constexpr milliseconds target_latency{300};

full_server refusal(const std::string& server, double ms_per_slot = 10,
                    milliseconds permitted_after = 0ms)
{
    return {.server = server,
            .ms_per_slot = ms_per_slot,
            .permitted_after = permitted_after,
            .target_latency = target_latency};
}

refused_request approval(milliseconds held = 10ms, milliseconds time_left = 1'490ms,
                         milliseconds target = target_latency)
{
    return {.held = held, .target_latency = target, .time_left = time_left, .servers = {"a", "b"}};
}

// Guards against refusals that go back to callers while slots become free, and against requests
// that are held without a prospect.
TEST_CASE("Full application servers: a refused request waits within its target latency")
{
    const auto [server, request, longest] =
        GENERATE(table<full_server, refused_request, milliseconds>({
            {refusal("b"), approval(), 290ms},
            {refusal("b"), approval(270ms), 30ms},
            {refusal("b"), approval(290ms), 0ms},
            {refusal("b"), approval(10ms, 30ms), 0ms},
            {refusal("b"), approval(10ms, 100ms), 80ms},
            {refusal("b"), approval(10ms, 1'590ms, 0ms), 190ms},
            {refusal("b", 1e6), approval(), 290ms},
            {refusal("b", 10, 200ms), approval(), 290ms},
            {refusal("b", 10, 300ms), approval(), 0ms},
        }));
    active_admission run;
    run.target.server_full("s", refusal("a", 1e6, 1'000ms), 0ms);
    run.target.server_full("s", server, 0ms);
    const auto decision = run.target.decide_after_refusal("s", request, 0ms);
    if (longest > 0ms) {
        REQUIRE(std::holds_alternative<wait_for_slot>(decision));
        CHECK(std::get<wait_for_slot>(decision).longest == longest);
    } else {
        REQUIRE(std::holds_alternative<reject_now>(decision));
        CHECK(std::get<reject_now>(decision).retry_after >= 150ms);
        CHECK(std::get<reject_now>(decision).retry_after <= 450ms);
    }
}

// Guards against new requests that are held or redirected although a server is free, and against
// sends to servers that are known to be full.
TEST_CASE("New requests wait only while all application servers are full")
{
    active_admission run;
    CHECK_FALSE(run.target.may_have_full_servers("s"));
    run.target.server_full("s", refusal("a"), 0ms);
    CHECK(run.target.may_have_full_servers("s"));
    CHECK(run.target.is_full("s", "a", 19ms));
    CHECK_FALSE(run.target.is_full("s", "a", 75ms));
    CHECK_FALSE(run.target.is_full("s", "b", 0ms));
    run.target.decide_after_refusal("s", approval(), 0ms);
    CHECK_FALSE(run.target.is_short("s", 0ms));
    run.target.server_full("s", refusal("b", 10, 40ms), 0ms);
    run.target.decide_after_refusal("s", approval(), 0ms);
    CHECK(run.target.is_short("s", 19ms));
    CHECK_FALSE(run.target.is_short("s", 75ms));
    CHECK_FALSE(run.target.is_short("other", 0ms));
    run.target.slot_freed("s", "a");
    CHECK_FALSE(run.target.is_short("s", 0ms));
    CHECK_FALSE(run.target.is_full("s", "a", 0ms));
}

waiting_request waiting(std::uint64_t id, const std::string& workspace = "w", int priority = 1,
                        milliseconds deadline = 300ms)
{
    return {.id = id,
            .workspace = workspace,
            .priority = priority,
            .bytes = 1'000,
            .deadline = deadline};
}

// Guards against a burst of all waiting requests when one slot becomes free, and against requests
// that are held after their latest time.
TEST_CASE("Full application servers: waiting requests leave one by one")
{
    active_admission run;
    std::optional<std::uint64_t> displaced;
    for (const std::string server : {"a", "b"}) {
        run.target.server_full("s", refusal(server), 0ms);
    }
    run.target.decide_after_refusal("s", approval(), 0ms);
    CHECK(run.target.push("s", waiting(1, "w", 1, 15ms), displaced));
    CHECK(run.target.push("s", waiting(2), displaced));
    CHECK(run.target.push("s", waiting(3, "w", 0), displaced));
    const auto ends = [&](milliseconds now) {
        std::vector<std::pair<std::uint64_t, bool>> result;
        for (const auto& item : run.target.take_ended(now)) {
            result.emplace_back(item.id, item.is_admitted);
        }
        return result;
    };
    using ended = std::vector<std::pair<std::uint64_t, bool>>;
    CHECK(ends(10ms).empty());
    CHECK(ends(18ms) == ended{{1, false}});
    CHECK(ends(80ms) == ended{{3, true}});
    CHECK(run.target.is_short("s", 80ms));
    CHECK(ends(100ms) == ended{{2, true}});
    CHECK_FALSE(run.target.is_short("s", 100ms));
    CHECK_FALSE(run.target.has_waiting());

    // While another server is free, nothing is paced.
    CHECK(run.target.push("s", waiting(4), displaced));
    CHECK(run.target.push("s", waiting(5), displaced));
    CHECK_FALSE(run.target.is_short("s", 100ms));
    CHECK(ends(120ms) == ended{{4, true}, {5, true}});
}

// Guards against waiting requests that use up the memory of a VM with 88 MB, against places that
// are not given back, and against one workspace that fills the queue.
TEST_CASE("Waiting requests are bounded in number, bytes and for each workspace")
{
    const auto limits =
        GENERATE(waiting_limits{.requests = 2, .bytes = 1U << 20U, .workspace_requests = 9},
                 waiting_limits{.requests = 100, .bytes = 2'500, .workspace_requests = 9},
                 waiting_limits{.requests = 100, .bytes = 1U << 20U, .workspace_requests = 2});
    active_admission run(limits);
    std::optional<std::uint64_t> displaced;
    CHECK(run.target.push("s", waiting(1), displaced));
    CHECK(run.target.push("s", waiting(2), displaced));
    CHECK_FALSE(run.target.push("s", waiting(3), displaced));
    CHECK_FALSE(displaced);
    CHECK(run.target.push("s", waiting(4, "other", 0), displaced));
    CHECK(displaced.has_value() == (limits.workspace_requests > 2));
    run.target.remove("s", 4);
    run.target.remove("s", 4);
    run.target.remove("s", 1);
    CHECK(run.target.push("s", waiting(5), displaced));
}

// Guards against waiting requests that are rejected for one that gets no place either.
TEST_CASE("A request that does not fit into the place of another one displaces none")
{
    active_admission run({.requests = 100, .bytes = 2'500, .workspace_requests = 9});
    std::optional<std::uint64_t> displaced;
    CHECK(run.target.push("s", waiting(1), displaced));
    CHECK(run.target.push("s", waiting(2), displaced));
    waiting_request large = waiting(3, "other", 0);
    large.bytes = 2'000;
    CHECK_FALSE(run.target.push("s", large, displaced));
    CHECK_FALSE(displaced);
    CHECK(run.target.dump(0ms).at("waiting") == 2);
    CHECK(run.target.dump(0ms).at("waiting_bytes") == 2'000);
    large.bytes = 1'500;
    CHECK(run.target.push("s", large, displaced));
    CHECK(displaced == 2);
    CHECK(run.target.dump(0ms).at("waiting_bytes") == 2'500);
}

// Guards against a displaced request of the same or a more urgent priority, against one that is
// about to be sent, and against places and bytes that are counted twice or not given back.
TEST_CASE("Displaced requests are less urgent, wait until then, and give back their bytes")
{
    std::mt19937_64 random(GENERATE(1, 2, 3, 4, 5));
    const auto below = [&](std::uint64_t end) { return random() % end; };
    const waiting_limits limits{.requests = 8, .bytes = 6'000, .workspace_requests = 5};
    active_admission run(limits);
    std::map<std::uint64_t, waiting_request> expected;
    std::size_t displacements = 0;
    for (std::uint64_t id = 1; id <= 2'000; ++id) {
        waiting_request next = waiting(id, std::string(1, static_cast<char>('a' + below(3))),
                                       static_cast<int>(below(3)),
                                       milliseconds{static_cast<std::int64_t>(id + below(40))});
        next.bytes = 1 + below(2'000);
        std::optional<std::uint64_t> displaced;
        const bool is_waiting = run.target.push("s", next, displaced);
        if (displaced) {
            ++displacements;
            REQUIRE(is_waiting);
            REQUIRE(expected.contains(*displaced));
            CHECK(expected.at(*displaced).priority > next.priority);
            expected.erase(*displaced);
        }
        if (is_waiting) {
            expected.emplace(id, next);
        }
        if (below(10) == 0 && !expected.empty()) {
            run.target.remove("s", expected.begin()->first);
            expected.erase(expected.begin());
        }
        if (below(12) == 0) {
            for (const auto& item : run.target.take_ended(milliseconds{static_cast<int>(id)})) {
                REQUIRE(expected.erase(item.id) == 1);
            }
        }
        std::size_t bytes = 0;
        for (const auto& [number, item] : expected) {
            bytes += item.bytes;
        }
        const json dump = run.target.dump(0ms);
        REQUIRE(dump.at("waiting") == expected.size());
        REQUIRE(dump.at("waiting_bytes") == bytes);
        REQUIRE(bytes <= limits.bytes);
        REQUIRE(expected.size() <= limits.requests);
    }
    CHECK(displacements > 20);
}

// Guards against a workspace that takes the places of others by sending more, and against one that
// takes those of less urgent ones beyond its bound.
TEST_CASE("A workspace displaces no request of its priority, and others only up to its bound")
{
    active_admission run({.requests = 8, .bytes = 1U << 20U, .workspace_requests = 4});
    std::optional<std::uint64_t> displaced;
    std::uint64_t id = 0;
    for (const std::string workspace : {"a", "b"}) {
        for (int i = 0; i < 4; ++i) {
            REQUIRE(run.target.push("s", waiting(++id, workspace), displaced));
        }
    }
    for (int i = 0; i < 20; ++i) {
        CHECK_FALSE(run.target.push("s", waiting(++id, "c"), displaced));
    }
    CHECK_FALSE(displaced);
    int displacements = 0;
    for (int i = 0; i < 20; ++i) {
        displaced.reset();
        run.target.push("s", waiting(++id, "urgent", 0), displaced);
        displacements += displaced ? 1 : 0;
    }
    CHECK(displacements == 4);
}

} // namespace
} // namespace dotterelport::gateway
