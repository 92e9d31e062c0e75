#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "dotterelport/request/crash_attribution.hpp"

namespace dotterelport::request {
namespace {

using namespace std::chrono_literals;

suspect part(std::uint64_t id)
{
    return {.kind = suspect_kind::part, .id = id};
}

suspect content(std::uint64_t id)
{
    return {.kind = suspect_kind::content, .id = id};
}

/// Records crashes of different servers, one second apart, and an answer without suspects between
/// them.
struct history {
    crash_attribution attribution;
    milliseconds now{0};
    int servers = 0;

    std::vector<quarantine_entry> crash(const std::vector<suspect>& suspects)
    {
        now += 1s;
        attribution.record_answer({}, now);
        attribution.record_crash("s" + std::to_string(++servers), suspects, now);
        return attribution.evaluate(now);
    }

    std::vector<suspect> answer(const std::vector<suspect>& suspects)
    {
        return attribution.record_answer(suspects, now);
    }

    [[nodiscard]] bool refuses(const std::vector<suspect>& suspects) const
    {
        return attribution.refused_for(suspects, now).has_value();
    }
};

TEST_CASE("A part that was at three crashes and is never answered is quarantined")
{
    history run;
    CHECK(run.crash({part(1), part(7), content(1)}).empty());
    run.answer({part(1), part(2)});
    CHECK(run.crash({part(1), part(3), part(7), content(2)}).empty());
    run.answer({part(1), part(3)});
    const auto begun = run.crash({part(1), part(7), content(3)});
    REQUIRE(begun.size() == 1);
    CHECK(begun[0].suspects == std::vector<suspect>{part(7)});
    CHECK(run.refuses({part(9), part(7), content(4)}));
    CHECK_FALSE(run.refuses({part(1), part(2), content(5)}));
    CHECK(run.attribution.refused_for(std::vector{part(7)}, run.now) == 600s);
}

TEST_CASE("A part is not quarantined if crashes are too few, at once, old, or explained otherwise")
{
    history run;
    SECTION("an answer clears it")
    {
        run.crash({part(1)});
        run.crash({part(1)});
        CHECK(run.answer({part(1)}) == std::vector<suspect>{part(1)});
        CHECK(run.answer({part(1)}).empty());
        CHECK(run.crash({part(1)}).empty());
    }
    SECTION("many servers crash at the same moment")
    {
        run.answer({});
        for (int i = 0; i < 20; ++i) {
            run.attribution.record_crash("s" + std::to_string(i), std::vector{part(1)},
                                         milliseconds{10 * i});
        }
        CHECK(run.attribution.evaluate(1s).empty());
    }
    SECTION("several gateways report one crash")
    {
        run.answer({});
        for (int i = 0; i < 4; ++i) {
            run.attribution.record_crash("s", std::vector{part(1)}, milliseconds{400 * i});
        }
        CHECK(run.attribution.evaluate(2s).empty());
    }
    SECTION("the crashes are far apart")
    {
        for (int i = 0; i < 6; ++i) {
            run.crash({part(1)});
            run.now += 40s;
        }
    }
    SECTION("nothing else is answered either")
    {
        for (int i = 0; i < 6; ++i) {
            run.attribution.record_crash("s" + std::to_string(i), std::vector{part(1)},
                                         i * 1'000ms);
        }
        CHECK(run.attribution.evaluate(6s).empty());
    }
    SECTION("another part was at more crashes")
    {
        run.answer({});
        for (int i = 0; i < 5; ++i) {
            const std::vector suspects{part(2), part(i < 4 ? 1 : 3)};
            run.attribution.record_crash("s" + std::to_string(i), suspects, i * 1'000ms);
        }
        run.answer({});
        run.now = 6s;
        CHECK(run.attribution.evaluate(run.now).size() == 1);
        CHECK(run.refuses({part(2)}));
    }
    SECTION("a report without the part that is to blame arrives first")
    {
        for (int i = 0; i < 2; ++i) {
            run.crash({part(1), part(2 + static_cast<std::uint64_t>(i))});
            run.crash({part(9)});
        }
        run.crash({part(9), part(4)});
        CHECK(run.refuses({part(9)}));
        run.attribution.record_crash("last", std::vector{part(1)}, run.now + 1s);
        run.attribution.record_crash("last", std::vector{part(9)}, run.now + 1'100ms);
        run.now += 1'200ms;
        CHECK(run.attribution.evaluate(run.now).empty());
    }
    CHECK_FALSE(run.refuses({part(1)}));
}

TEST_CASE("Parts that were at the same crashes are refused together until they are told apart")
{
    history run;
    for (int i = 0; i < 3; ++i) {
        run.crash({part(1), part(2)});
    }
    CHECK(run.refuses({part(1), part(2)}));
    CHECK_FALSE(run.refuses({part(1)}));
    CHECK_FALSE(run.refuses({part(2)}));
    SECTION("by an answer")
    {
        run.answer({part(1)});
        CHECK(run.refuses({part(2)}));
        CHECK_FALSE(run.refuses({part(1)}));
    }
    SECTION("by a further crash")
    {
        run.crash({part(2)});
        CHECK(run.refuses({part(2)}));
        CHECK_FALSE(run.refuses({part(1)}));
    }
    SECTION("by an answer that has both")
    {
        run.answer({part(1), part(2)});
        CHECK_FALSE(run.refuses({part(1), part(2)}));
    }
}

TEST_CASE("Content that crashed three servers is quarantined, and the parts of others are not")
{
    history run;
    for (int i = 0; i < 3; ++i) {
        run.crash({part(1), content(5)});
        run.answer({part(1), content(6)});
    }
    CHECK(run.refuses({part(2), content(5)}));
    CHECK_FALSE(run.refuses({part(1), content(7)}));
}

TEST_CASE("Content that crashes a server every few minutes is quarantined, and its parts are not")
{
    history run;
    for (int i = 0; i < 3; ++i) {
        run.now += 150s;
        run.crash({part(1), content(5)});
    }
    CHECK(run.refuses({content(5)}));
    CHECK_FALSE(run.refuses({part(1), content(6)}));
}

TEST_CASE("A repeated content that crashes all servers of a service at once is quarantined")
{
    const milliseconds interval = GENERATE(0ms, 10ms, 60ms, 110ms, 400ms);
    CAPTURE(interval);
    history run;
    run.answer({content(6)});
    for (int i = 0; i < 3; ++i) {
        run.now += interval;
        run.attribution.record_crash("s" + std::to_string(i), std::vector{content(5)}, run.now);
        run.answer({content(6)});
    }
    run.attribution.evaluate(run.now);
    CHECK(run.refuses({content(5)}));
    CHECK_FALSE(run.refuses({content(6)}));
}

TEST_CASE("A content at servers that crashed at once is refused for a short time, then tried once")
{
    history run;
    run.answer({});
    for (int i = 0; i < 3; ++i) {
        run.attribution.record_crash("s" + std::to_string(i), std::vector{content(5)}, run.now);
        run.answer({});
    }
    CHECK(run.attribution.evaluate(run.now).size() == 1);
    CHECK(run.attribution.refused_for(std::vector{content(5)}, run.now) == 10s);
    run.now += 10s;
    CHECK_FALSE(run.refuses({content(5)}));
    CHECK(run.attribution.evaluate(run.now).empty());
    run.attribution.record_send(std::vector{content(5)}, run.now);
    CHECK(run.attribution.refused_for(std::vector{content(5)}, run.now) == 2s);
    SECTION("an answer ends it")
    {
        run.answer({content(5)});
        CHECK_FALSE(run.refuses({content(5)}));
    }
    SECTION("a crash renews it for the whole time")
    {
        run.now += 50ms;
        CHECK(run.attribution.record_crash("s1", std::vector{content(5)}, run.now));
        CHECK(run.attribution.evaluate(run.now).size() == 1);
        CHECK(run.attribution.refused_for(std::vector{content(5)}, run.now) == 600s);
    }
    SECTION("after another failure one more attempt is let through")
    {
        run.now += 2s;
        CHECK_FALSE(run.refuses({content(5)}));
    }
}

TEST_CASE("A quarantine ends after its time and is renewed by one crash")
{
    history run;
    for (int i = 0; i < 3; ++i) {
        run.crash({part(1)});
    }
    run.now += 601s;
    CHECK_FALSE(run.refuses({part(1)}));
    CHECK(run.attribution.quarantined(run.now).empty());
    CHECK(run.crash({part(1), part(2)}).size() == 1);
    CHECK(run.refuses({part(1)}));
    CHECK_FALSE(run.refuses({part(2)}));
}

TEST_CASE("A quarantine is adopted from others once, and not after an answer")
{
    history run;
    run.now = 10s;
    const quarantine_entry entry{.suspects = {part(1)}, .until = 100s};
    CHECK(run.attribution.adopt(entry, run.now));
    CHECK_FALSE(run.attribution.adopt(entry, run.now));
    CHECK(run.refuses({part(1)}));
    CHECK(run.answer({part(1)}) == std::vector<suspect>{part(1)});
    CHECK_FALSE(run.attribution.adopt(entry, run.now));
    CHECK_FALSE(run.refuses({part(1)}));
    run.now = 101s;
    CHECK_FALSE(run.attribution.adopt(entry, run.now));
}

TEST_CASE("After the end of a quarantine a router waits for its turn to let an attempt through")
{
    const auto third_of_four = [](std::span<const suspect> /*suspects*/) {
        return trial_turn{.position = 2, .routers = 4};
    };
    crash_attribution attribution({}, third_of_four);
    const std::vector suspects{content(5)};
    attribution.adopt({.suspects = suspects, .until = 10s}, 1s);
    CHECK(attribution.refused_for(suspects, 10s) == 500ms);
    CHECK_FALSE(attribution.refused_for(suspects, 10'500ms));
    CHECK_FALSE(attribution.refused_for(suspects, 10'749ms));
    CHECK(attribution.refused_for(suspects, 10'750ms) == 750ms);
    CHECK_FALSE(attribution.refused_for(suspects, 11'500ms));
    CHECK_FALSE(attribution.refused_for(std::vector{content(6)}, 10s));
    SECTION("and another router's attempt is awaited")
    {
        const std::vector<std::vector<suspect>> trials{suspects};
        CHECK(attribution.record_send(suspects, 10'100ms) == trials);
        CHECK(attribution.refused_for(suspects, 10'500ms) == 2'100ms);
    }
    SECTION("also if it has started after the end")
    {
        crash_attribution later({}, third_of_four);
        const auto remembered = attribution.remembered(10'100ms);
        REQUIRE(remembered.size() == 1);
        CHECK_FALSE(later.adopt(remembered[0], 10'100ms));
        CHECK(later.refused_for(suspects, 10'100ms) == 400ms);
    }
    SECTION("until the quarantine is forgotten")
    {
        CHECK(attribution.remembered(609s).size() == 1);
        CHECK(attribution.remembered(610s).empty());
        CHECK_FALSE(attribution.adopt({.suspects = suspects, .until = 10s}, 610s));
    }
}

TEST_CASE("An ended quarantine that is taken over replaces no active one")
{
    history run;
    run.attribution.adopt({.suspects = {part(1), part(2)}, .until = 500s}, 20s);
    CHECK_FALSE(run.attribution.adopt({.suspects = {part(1)}, .until = 10s}, 20s));
    run.now = 20s;
    CHECK(run.attribution.refused_for(std::vector{part(1), part(2)}, run.now) == 480s);
    CHECK(run.attribution.quarantined(run.now).size() == 1);
}

TEST_CASE("A quarantine is prolonged by a renewal, and not by the delay of messages")
{
    history run;
    run.attribution.adopt({.suspects = {content(5)}, .until = 10s}, 1s);
    CHECK_FALSE(run.attribution.adopt({.suspects = {content(5)}, .until = 10'200ms}, 1s));
    CHECK(run.attribution.refused_for(std::vector{content(5)}, 1s) == 9s);
    CHECK_FALSE(run.attribution.adopt({.suspects = {content(5)}, .until = 500s}, 1s));
    CHECK(run.attribution.refused_for(std::vector{content(5)}, 1s) == 499s);
}

TEST_CASE("A content that crashes servers while nothing is answered is tried less and less often")
{
    crash_attribution attribution;
    const std::vector suspects{content(5)};
    int crashes = 0;
    for (milliseconds now{0}; now < 1h; now += 1s) {
        if (!attribution.refused_for(suspects, now)) {
            attribution.record_send(suspects, now);
            attribution.record_crash("s" + std::to_string(++crashes), suspects, now);
            attribution.evaluate(now);
        }
    }
    constexpr int max_crashes_in_an_hour = 20;
    CHECK(crashes <= max_crashes_in_an_hour);
    SECTION("and an answer ends that, as after a faulty release of the servers")
    {
        attribution.record_answer(suspects, 1h);
        CHECK_FALSE(attribution.refused_for(suspects, 1h));
    }
}

TEST_CASE("Contents at servers that crash whatever they run are not refused for long at first")
{
    crash_attribution attribution;
    for (int i = 0; i < 3; ++i) {
        attribution.record_crash("s" + std::to_string(i), std::vector{content(5)}, i * 1'000ms);
    }
    attribution.evaluate(2s);
    CHECK(attribution.refused_for(std::vector{content(5)}, 2s) == 10s);
    attribution.record_crash("s4", std::vector{content(5)}, 12s);
    attribution.evaluate(12s);
    CHECK(attribution.refused_for(std::vector{content(5)}, 12s) == 20s);
}

/// Requests on a pool of engines, of which some have the deadly part. Each gateway knows the
/// crashes of the others after a delay.
struct poisoned_day {
    std::mt19937 random;
    int engines = 18;
    double deadly_share = 0.05;
    int workspaces = 10;
    /// Time for which requests may still reach engines after the fifth crash.
    milliseconds grace = 3s;
    int crashes = 0;
    milliseconds fifth_crash{0};
    int crashes_after_grace = 0;
    int sound_refused = 0;

    void play(crash_attribution& attribution)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        std::uniform_int_distribution<std::uint64_t> common(1,
                                                            static_cast<std::uint64_t>(workspaces));
        std::uniform_int_distribution<std::uint64_t> rare(1'000, 1'300);
        constexpr std::uint64_t deadly_id = 99;
        for (milliseconds now{0}; now < 30s; now += 25ms) {
            std::vector<suspect> request{part(common(random)), part(rare(random)),
                                         content(static_cast<std::uint64_t>(now.count()))};
            const bool is_deadly = chance(random) < deadly_share;
            if (is_deadly) {
                request[1] = part(deadly_id);
            }
            const bool refused = attribution.refused_for(request, now).has_value();
            sound_refused += !is_deadly && refused ? 1 : 0;
            if (refused) {
                continue;
            }
            if (!is_deadly) {
                attribution.record_answer(request, now);
                continue;
            }
            constexpr int fifth = 5;
            if (++crashes == fifth) {
                fifth_crash = now;
            }
            crashes_after_grace += crashes > fifth && now > fifth_crash + grace ? 1 : 0;
            // Sound requests that the engine had not begun to answer.
            std::vector<suspect> suspects = request;
            const int bystanders = static_cast<int>(chance(random) * 6);
            for (int i = 0; i < bystanders; ++i) {
                suspects.push_back(part(common(random)));
                suspects.push_back(part(rare(random)));
            }
            attribution.record_crash("s" + std::to_string(now.count()), suspects, now);
            attribution.evaluate(now);
        }
    }
};

TEST_CASE("Few engines crash, and no sound request is refused, at any share of deadly requests")
{
    const double share = GENERATE(0.01, 0.05, 0.3);
    const int workspaces = GENERATE(1, 10);
    const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    CAPTURE(share, workspaces, seed);
    crash_attribution attribution;
    poisoned_day day{.random = std::mt19937(seed), .deadly_share = share, .workspaces = workspaces};
    day.play(attribution);
    CHECK(day.crashes_after_grace <= 3);
    CHECK(day.sound_refused == 0);
}

} // namespace
} // namespace dotterelport::request
