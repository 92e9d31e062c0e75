#include <catch2/catch.hpp>

#include <random>
#include <string>

#include "dotterelport/gateway/second_send.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

const std::string service = "s1";

/// A service at which most requests start within 100 ms, and one of 25 takes 2 s.
second_send_policy policy_with_slow_server(double share = 0.05)
{
    second_send_policy policy({.share = share});
    for (int i = 0; i < 100; ++i) {
        policy.record_first_send(service);
        policy.record_start(service, 2'000, i % 25 == 0 ? 2'000ms : milliseconds{80 + i % 20});
    }
    return policy;
}

slow_request waiting_for(milliseconds waited)
{
    return {.service = service,
            .prompt_tokens = 2'000,
            .waited = waited,
            .expected_at_second = 90ms,
            .target_latency = 600ms};
}

// Guards against the slowest answers staying slow although another server is idle.
TEST_CASE("A request at a slow server is sent a second time once it is slower than usual")
{
    const auto policy = policy_with_slow_server();
    const auto delay = policy.delay(service, 2'000);
    REQUIRE(delay);
    CHECK(*delay >= 95ms);
    CHECK(*delay <= 150ms);
    CHECK(policy.decide(waiting_for(*delay)) == second_send_decision::send);
    // Of a size that takes longer, nothing is known.
    CHECK_FALSE(policy.delay(service, 200'000));
    CHECK_FALSE(policy.delay("s2", 2'000));
}

TEST_CASE("A request whose other servers are not much faster is not sent again")
{
    const auto policy = policy_with_slow_server();
    auto request = waiting_for(150ms);
    request.target_latency = 5'000ms;
    request.expected_at_second = 1'200ms;
    CHECK(policy.decide(request) == second_send_decision::no_gain);
}

// Guards against second sends that add load when there is too much already.
TEST_CASE("In overload there are no second sends")
{
    SECTION("the other servers are busy")
    {
        const auto policy = policy_with_slow_server();
        auto request = waiting_for(150ms);
        request.expected_at_second = 301ms;
        CHECK(policy.decide(request) == second_send_decision::short_of_capacity);
    }
    SECTION("most requests are late")
    {
        second_send_policy policy({.share = 0.05});
        for (int i = 0; i < 100; ++i) {
            policy.record_first_send(service);
            policy.record_start(service, 2'000, milliseconds{700 + 20 * i});
        }
        CHECK(policy.decide(waiting_for(2'500ms)) == second_send_decision::short_of_capacity);
    }
}

TEST_CASE("Second sends stay within the operators' share, whatever the times are")
{
    const double share = GENERATE(0.0, 0.01, 0.05);
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    CAPTURE(share, seed);
    second_send_policy policy({.share = share});
    std::mt19937_64 random(seed);
    int sent = 0;
    constexpr int requests = 5'000;
    for (int i = 0; i < requests; ++i) {
        policy.record_first_send(service);
        const milliseconds time{static_cast<std::int64_t>(random() % 100 < 20 ? 3'000 : 50)};
        const auto delay = policy.delay(service, 2'000);
        if (delay && time > *delay &&
            policy.decide(waiting_for(*delay)) == second_send_decision::send) {
            policy.record_second_send(service);
            ++sent;
        }
        policy.record_start(service, 2'000, time);
    }
    CHECK(sent <= share * requests + 1);
}

TEST_CASE("Without a share, or with few known times, there are no second sends")
{
    second_send_policy policy({.share = 0.05});
    policy.record_first_send(service);
    policy.record_start(service, 2'000, 50ms);
    CHECK_FALSE(policy.delay(service, 2'000));
    CHECK(policy.decide(waiting_for(3'000ms)) == second_send_decision::inactive);
    const auto off = policy_with_slow_server(0);
    CHECK_FALSE(off.delay(service, 2'000));
    CHECK(off.decide(waiting_for(3'000ms)) == second_send_decision::inactive);
}

} // namespace
} // namespace dotterelport::gateway
