#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

#include "dotterelport/routing/placement.hpp"
#include "dotterelport/routing/urgency.hpp"

namespace dotterelport::routing {
namespace {

using namespace std::chrono_literals;

constexpr tokens cache_capacity = 200'000;

std::vector<placement_candidate> engines(int count)
{
    std::vector<placement_candidate> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.push_back(
            {.server = "engine-" + std::to_string(i), .failure_domain = "a", .capacity = 96});
    }
    return result;
}

std::vector<prompt_part> review(std::uint64_t subject, std::uint64_t own)
{
    return {
        {.id = 1, .size = 2'500}, {.id = 100 + subject, .size = 3'800}, {.id = own, .size = 2'900}};
}

placement_request request_for(const std::vector<prompt_part>& parts)
{
    tokens total = 0;
    for (const auto& part : parts) {
        total += part.size;
    }
    return {.parts = parts, .prompt_tokens = total, .failure_domain = "a"};
}

TEST_CASE("Parts count as cached only after the same preceding parts")
{
    prompt_cache_view caches;
    const std::vector<prompt_part> prompt{{1, 100}, {2, 200}, {3, 300}};
    const std::vector<prompt_part> other_order{{2, 200}, {1, 100}};
    caches.record("a", prompt, cache_capacity);
    CHECK(caches.cached("a", prompt) == 600);
    CHECK(caches.cached("a", other_order) == 0);
    CHECK(caches.cached("b", prompt) == 0);
    caches.forget("a");
    CHECK(caches.cached("a", prompt) == 0);
}

TEST_CASE("A full cache evicts the least recently used parts, later parts first")
{
    prompt_cache_view caches;
    const std::vector<prompt_part> first{{1, 100}, {2, 100}};
    const std::vector<prompt_part> second{{3, 100}, {4, 100}};
    caches.record("a", first, 300);
    caches.record("a", second, 300);
    CHECK(caches.cached("a", first) == 100);
    CHECK(caches.cached("a", second) == 200);
}

TEST_CASE("Routers that do not communicate send a chain of parts to the same engine")
{
    const placement first_router;
    const placement second_router;
    const auto candidates = engines(12);
    std::map<std::string, int> chosen_servers;
    for (std::uint64_t subject = 0; subject < 50; ++subject) {
        const auto first = review(subject, 1'000 + subject);
        const auto second = review(subject, 2'000 + subject);
        const auto first_choice = first_router.choose(request_for(first), candidates, 1s);
        const auto second_choice = second_router.choose(request_for(second), candidates, 1s);
        REQUIRE(first_choice);
        CHECK(first_choice->server == second_choice->server);
        ++chosen_servers[first_choice->server];
    }
    CHECK(chosen_servers.size() > 4);
}

TEST_CASE("Long and short prompts go to different engines if there is enough capacity")
{
    placement chooser;
    const auto candidates = engines(12);
    std::map<std::string, int> long_counts;
    std::map<std::string, int> short_counts;
    for (std::uint64_t i = 0; i < 30; ++i) {
        const auto parts = review(i, 1'000 + i);
        const std::vector<prompt_part> question{{.id = 5'000 + i, .size = 500}};
        ++long_counts[chooser.choose(request_for(parts), candidates, 1s)->server];
        ++short_counts[chooser.choose(request_for(question), candidates, 1s)->server];
    }
    for (const auto& [server, count] : short_counts) {
        CHECK_FALSE(long_counts.contains(server));
    }
}

TEST_CASE("A prompt of unknown size is placed like a call")
{
    const placement chooser;
    const auto parts = review(1, 1'000);
    CHECK(chooser.choose({.parts = parts, .failure_domain = "a"}, engines(3), 1s));
}

TEST_CASE("A burst of long prompts is spread by pending tokens, including those of other routers")
{
    placement chooser;
    const auto candidates = engines(6);
    // Another router has loaded engine-0 to engine-2.
    const std::vector<load_share> shares{
        {"engine-0", 40'000, 5}, {"engine-1", 40'000, 5}, {"engine-2", 40'000, 5}};
    chooser.record_peer_load_shares("other", shares, 1s);
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 12; ++i) {
        const auto parts = review(i, 1'000 + i);
        const auto chosen = chooser.choose(request_for(parts), candidates, 1s)->server;
        chooser.sent(chosen, i, request_for(parts), cache_capacity, 1s);
        ++counts[chosen];
    }
    for (int i = 0; i < 3; ++i) {
        CHECK(counts["engine-" + std::to_string(i)] <= 2);
    }
    // The last report of a router that stops reporting expires.
    const auto parts = review(0, 9'999);
    CHECK(chooser.choose(request_for(parts), engines(1), 1s)->cost_ms >
          chooser.choose(request_for(parts), engines(1), 3s)->cost_ms + 1'000);
}

TEST_CASE("An engine that fails some requests gets fewer of them and is tried again later")
{
    placement chooser;
    const auto candidates = engines(2);
    const std::vector<prompt_part> question{{.id = 7, .size = 500}};
    for (std::uint64_t i = 0; i < 6; ++i) {
        chooser.sent("engine-0", i, request_for(question), cache_capacity, 1s);
        // Every second request fails, so that the engine is never ejected for consecutive failures.
        if (i % 2 == 0) {
            chooser.failed("engine-0", i, 1s);
        } else {
            chooser.finished("engine-0", i, 1, 1s);
        }
    }
    CHECK(chooser.choose(request_for({{.id = 8, .size = 500}}), candidates, 1s)->server ==
          "engine-1");
    CHECK(chooser.choose(request_for(question), candidates, 40s)->server == "engine-0");
}

TEST_CASE("An unreachable server is avoided at once")
{
    placement chooser;
    const auto candidates = engines(2);
    const placement_request call{.failure_domain = "a"};
    chooser.sent("engine-0", 1, call, 0, 1s);
    chooser.unreachable("engine-0", 1, 1s);
    CHECK(chooser.choose(call, candidates, 1s)->server == "engine-1");
    CHECK(chooser.loads().available("engine-0", 1s) == availability::ejected);
}

TEST_CASE("Servers to which the request was sent before are not chosen again")
{
    const placement chooser;
    const std::vector<std::string> tried{"engine-0", "engine-1"};
    CHECK_FALSE(chooser.choose({.failure_domain = "a", .excluded = tried}, engines(2), 1s));
}

TEST_CASE("Among equal servers, those in the router's own failure domain are preferred")
{
    const placement chooser;
    auto candidates = engines(2);
    candidates[0].failure_domain = "b";
    CHECK(chooser.choose({.failure_domain = "a"}, candidates, 1s)->server == "engine-1");
}

TEST_CASE("Short prompts are more urgent than long ones")
{
    CHECK_FALSE(engine_urgency(0));
    int last = 0;
    for (const tokens size : {100, 1'500, 3'000, 9'000, 20'000}) {
        const auto urgency = engine_urgency(size);
        REQUIRE(urgency);
        CHECK(*urgency >= last);
        CHECK(*urgency <= 9);
        last = *urgency;
    }
}

// Guards against long pauses in streams: reviews of one subject arrive together at an engine that
// runs streams. Each review takes about 170 ms of prefill, and the streams' events wait meanwhile.
TEST_CASE(
    "Long prompts that arrive together do not delay the streams of one engine beyond the limit")
{
    constexpr auto pause_limit = 500ms;
    constexpr int reviews = 6;
    const bool limited = GENERATE(true, false);
    placement_settings settings;
    settings.reserved_share = 0;
    placement chooser(settings);
    const auto candidates = engines(6);
    std::uint64_t id = 0;
    for (const auto& engine : candidates) {
        for (int stream = 0; stream < 8; ++stream) {
            chooser.sent(engine.server, ++id, {.prompt_tokens = 500}, cache_capacity, 0ms);
            chooser.answered(engine.server, id, 0ms);
        }
    }
    // One engine has the shared parts cached.
    const auto cached_review = review(7, 1'000);
    chooser.sent("engine-0", ++id, request_for(cached_review), cache_capacity, 0ms);
    chooser.answered("engine-0", id, 0ms);
    std::map<std::string, tokens> unread;
    for (std::uint64_t i = 0; i < reviews; ++i) {
        auto parts = review(7, 2'000 + i);
        parts.back().size = 5'500;
        auto request = request_for(parts);
        request.pause_limit = limited ? milliseconds{pause_limit} : milliseconds{0};
        const auto choice = chooser.choose(request, candidates, 0ms);
        REQUIRE(choice.has_value());
        unread[choice->server] += request.prompt_tokens - choice->cached_tokens;
        chooser.sent(choice->server, ++id, request, cache_capacity, 0ms);
    }
    tokens max_unread = 0;
    for (const auto& [server, amount] : unread) {
        max_unread = std::max(max_unread, amount);
    }
    const double max_unread_ms = static_cast<double>(max_unread) / settings.prefill_tokens_per_ms;
    CHECK((max_unread_ms <= static_cast<double>(pause_limit.count())) == limited);
}

// Guards against an explanation whose terms leave out a part of the cost, or that names another
// server than the one that is chosen.
TEST_CASE("The assessments of candidates add up to the cost that the choice is based on")
{
    placement servers;
    const std::vector<placement_candidate> candidates{
        {.server = "i-1", .failure_domain = "a", .capacity = 8},
        {.server = "i-2", .failure_domain = "b", .capacity = 8}};
    const std::vector<prompt_part> parts{{.id = 1, .size = 600}, {.id = 2, .size = 400}};
    const std::vector<std::string> excluded{"i-1"};
    placement_request request{.parts = parts, .prompt_tokens = 1'000, .failure_domain = "a"};
    const milliseconds now{1'000};
    servers.sent("i-1", 1, request, 100'000, now);
    servers.sent("i-2", 2, request, 100'000, now);
    servers.failed("i-2", 2, now);
    for (const bool is_excluded : {false, true}) {
        request.excluded =
            is_excluded ? std::span<const std::string>(excluded) : std::span<const std::string>();
        std::vector<placement_assessment> assessments;
        const auto choice = servers.choose(request, candidates, now, &assessments);
        const auto unexplained = servers.choose(request, candidates, now);
        REQUIRE(choice);
        REQUIRE(assessments.size() == 2);
        CHECK(choice->server == unexplained->server);
        CHECK(assessments[0].is_excluded == is_excluded);
        for (const auto& item : assessments) {
            const auto& terms = item.terms;
            const double sum = terms.prefill + terms.running + terms.stream_delay + terms.queue +
                               terms.slow_server + terms.slowdown + terms.unresponsive +
                               terms.failures + terms.other_domain;
            CHECK(sum == Approx(item.expected_start_ms));
            CHECK(item.cost_ms == Approx(sum + item.shared_parts_ms + item.separation_ms));
            if (item.candidate->server == choice->server) {
                CHECK(item.cost_ms == choice->cost_ms);
            }
        }
        CHECK(assessments[1].terms.failures > 0);
    }
}

} // namespace
} // namespace dotterelport::routing
