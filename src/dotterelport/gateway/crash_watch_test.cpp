#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "dotterelport/gateway/crash_watch.hpp"
#include "dotterelport/object_store/store.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;
using request::suspect;

/// Objects in memory, which answer through the loop and can be unreachable.
struct memory_objects final : object_store::conditional_objects {
    net::event_loop& loop;
    object_store::store store;
    bool reachable = true;
    int writes = 0;

    explicit memory_objects(net::event_loop& event_loop) : loop(event_loop) {}

    void read(const std::string& key,
              std::function<void(const object_store::read_result&)> done) override
    {
        loop.post(
            [this, key, done] { done(reachable ? store.read(key) : object_store::read_result{}); });
    }

    void write(const std::string& key, const std::string& value,
               std::optional<object_store::version> if_version,
               std::function<void(const object_store::write_result&)> done) override
    {
        ++writes;
        loop.post([this, key, value, if_version, done] {
            done(reachable ? store.write(key, value, if_version) : object_store::write_result{});
        });
    }
};

constexpr milliseconds settle_time{250};

/// Longer than the time within which crashes count once.
constexpr milliseconds between_crashes{400};

struct node {
    peer_link link;
    crash_watch watch;

    node(net::event_loop& loop, const std::string& name, memory_objects& objects,
         const request::crash_attribution::options& attribution)
        : link(loop, {.node = name, .address = {"127.0.0.1", 0}, .failure_domain = "a"}),
          watch(loop, link, objects,
                {.collect_time = 5ms,
                 .batch_time = 10ms,
                 .evaluation_delay = 50ms,
                 .repeat_interval = 100ms,
                 .attribution = attribution})
    {}
};

struct fleet {
    net::event_loop loop;
    memory_objects objects{loop};
    std::vector<std::unique_ptr<node>> nodes;
    net::endpoint refusing;
    request::crash_attribution::options attribution;

    explicit fleet(std::size_t size, const request::crash_attribution::options& options = {})
        : attribution(options)
    {
        // Nothing listens at an address that was bound only for a moment.
        refusing = net::tcp_listener(loop, {"127.0.0.1", 0}, [](auto) {}).address();
        for (std::size_t i = 0; i < size; ++i) {
            add();
        }
    }

    void add()
    {
        nodes.push_back(std::make_unique<node>(loop, "edge-" + std::to_string(nodes.size()),
                                               objects, attribution));
        for (const auto& one : nodes) {
            for (const auto& other : nodes) {
                one->link.set_peer({.node = other->link.node(),
                                    .address = other->link.own_address(),
                                    .failure_domain = "a"});
            }
        }
        loop.run_for(50ms);
    }

    void crash(std::size_t seen_by, const std::vector<suspect>& suspects)
    {
        static int servers = 0;
        nodes[seen_by]->watch.attempt_lost("s" + std::to_string(++servers), refusing, suspects);
        loop.run_for(between_crashes);
        nodes[seen_by]->watch.answered({});
    }

    [[nodiscard]] std::size_t refusing_nodes(const std::vector<suspect>& suspects) const
    {
        std::size_t result = 0;
        for (const auto& item : nodes) {
            result += item->watch.refused_for(suspects) ? 1 : 0;
        }
        return result;
    }
};

suspect part(std::uint64_t id)
{
    return {.kind = request::suspect_kind::part, .id = id};
}

suspect content(std::uint64_t id)
{
    return {.kind = request::suspect_kind::content, .id = id};
}

TEST_CASE("Crashes that different gateways see add up, and all of them refuse the part")
{
    fleet run(3);
    for (const auto& item : run.nodes) {
        item->watch.answered({});
    }
    for (std::size_t i = 0; i < 3; ++i) {
        run.crash(i, {part(1), part(10 + i)});
    }
    CHECK(run.refusing_nodes({part(1)}) == 3);
    CHECK(run.refusing_nodes({part(10)}) == 0);
    CHECK(run.objects.writes == 1);
    SECTION("also a gateway that starts later")
    {
        run.add();
        CHECK(run.refusing_nodes({part(1)}) == 4);
    }
    SECTION("also a gateway that starts while the store is away")
    {
        run.objects.reachable = false;
        run.add();
        run.loop.run_for(600ms);
        CHECK(run.refusing_nodes({part(1)}) == 4);
    }
    SECTION("until one of them has an answer with it")
    {
        run.nodes[1]->watch.answered(std::vector{part(1)});
        run.loop.run_for(settle_time);
        CHECK(run.refusing_nodes({part(1)}) == 0);
        run.loop.run_for(600ms);
        CHECK(run.objects.writes == 2);
        run.add();
        CHECK(run.refusing_nodes({part(1)}) == 0);
    }
}

TEST_CASE("A quarantine is saved once the store is reachable, and outlasts all gateways")
{
    fleet run(1);
    run.nodes[0]->watch.answered({});
    run.objects.reachable = false;
    for (int i = 0; i < 3; ++i) {
        run.crash(0, {part(1)});
    }
    CHECK(run.refusing_nodes({part(1)}) == 1);
    run.objects.reachable = true;
    run.loop.run_for(2'500ms);
    run.nodes.clear();
    run.add();
    CHECK(run.refusing_nodes({part(1)}) == 1);
}

/// Callers that send one content again and again at all gateways; each server that runs it crashes.
struct repeating_callers {
    fleet& run;
    std::vector<suspect> suspects;
    int sends = 0;

    void play(milliseconds duration)
    {
        const milliseconds end = steady_now() + duration;
        while (steady_now() < end) {
            for (const auto& item : run.nodes) {
                item->watch.answered({});
                if (!item->watch.refused_for(suspects)) {
                    item->watch.sent(suspects);
                    const std::string server = "repeated-" + std::to_string(++sends);
                    item->watch.attempt_lost(server, run.refusing, suspects);
                }
            }
            constexpr milliseconds pause{20};
            run.loop.run_for(pause);
        }
    }
};

TEST_CASE("After a quarantine of content, few of its requests reach servers in a fleet of any size")
{
    const std::size_t size = GENERATE(1U, 3U, 5U, 12U);
    CAPTURE(size);
    fleet run(size, {.short_quarantine_time = 400ms});
    repeating_callers callers{.run = run, .suspects = {content(5)}};
    callers.play(300ms);
    REQUIRE(run.refusing_nodes({content(5)}) == size);
    const int before = callers.sends;
    callers.play(3s);
    constexpr int max_retries = 3;
    CHECK(callers.sends - before <= max_retries);
    CHECK(run.refusing_nodes({content(5)}) == size);
}

TEST_CASE("A gateway that starts after a quarantine of content has ended waits for its turn")
{
    fleet run(3, {.short_quarantine_time = 300ms, .trial_time = 400ms});
    repeating_callers callers{.run = run, .suspects = {content(5)}};
    callers.play(250ms);
    REQUIRE(run.refusing_nodes({content(5)}) == 3);
    const int before = callers.sends;
    run.loop.run_for(400ms);
    run.nodes.erase(run.nodes.begin() + 1, run.nodes.end());
    for (int i = 0; i < 4; ++i) {
        run.add();
    }
    run.loop.run_for(settle_time);
    callers.play(2s);
    constexpr int max_retries = 3;
    CHECK(callers.sends - before <= max_retries);
    CHECK(run.refusing_nodes({content(5)}) == run.nodes.size());
}

TEST_CASE("A content that is answered after its quarantine is refused nowhere any more")
{
    fleet run(5, {.short_quarantine_time = 300ms});
    repeating_callers callers{.run = run, .suspects = {content(5)}};
    callers.play(250ms);
    REQUIRE(run.refusing_nodes({content(5)}) == 5);
    const auto wait = run.nodes[3]->watch.refused_for(std::vector{content(5)});
    REQUIRE(wait);
    run.loop.run_for(*wait + 50ms);
    CHECK(run.refusing_nodes({content(5)}) == 4);
    CHECK_FALSE(run.nodes[3]->watch.refused_for(std::vector{content(5)}));
    run.nodes[3]->watch.sent(std::vector{content(5)});
    run.loop.run_for(settle_time);
    CHECK(run.refusing_nodes({content(5)}) == 5);
    run.nodes[3]->watch.answered(std::vector{content(5)});
    run.loop.run_for(settle_time);
    CHECK(run.refusing_nodes({content(5)}) == 0);
}

TEST_CASE("A server that accepts a connection, or does not answer, has not crashed")
{
    fleet run(1);
    const net::tcp_listener alive(run.loop, {"127.0.0.1", 0}, [](auto) {});
    run.nodes[0]->watch.answered({});
    for (int i = 0; i < 4; ++i) {
        run.nodes[0]->watch.attempt_lost("s" + std::to_string(i), alive.address(),
                                         std::vector{part(1)});
        run.loop.run_for(between_crashes);
    }
    CHECK(run.refusing_nodes({part(1)}) == 0);
}

TEST_CASE("A crash message survives encoding, and a malformed one is rejected")
{
    const crash_message message{
        .crashes = {{.server = "s1", .suspects = {part(1), part(0xffff'ffff'ffff'ffff)}}},
        .cleared = {part(2)},
        .quarantined = {{.suspects = {part(3), part(4)}, .until = 90s}},
        .trials = {{content(6)}, {part(3), part(4)}}};
    const auto decoded = parse_crash_message(to_json(message, 30s), 1'000s);
    REQUIRE(decoded.crashes.size() == 1);
    CHECK(decoded.crashes[0].server == "s1");
    CHECK(decoded.crashes[0].suspects == message.crashes[0].suspects);
    CHECK(decoded.cleared == message.cleared);
    REQUIRE(decoded.quarantined.size() == 1);
    CHECK(decoded.quarantined[0].suspects == message.quarantined[0].suspects);
    CHECK(decoded.quarantined[0].until == 1'060s);
    CHECK(decoded.trials == message.trials);
    json of_earlier_version = to_json(message, 30s);
    of_earlier_version.erase(3);
    CHECK(parse_crash_message(of_earlier_version, 1'000s).trials.empty());
    const json malformed =
        GENERATE(json(), json::array(), json::array({1, 2, 3}),
                 json::array({json::array({json::array({"s1"})}), json::array(), json::array()}));
    CHECK_THROWS_AS(parse_crash_message(malformed, 0s), json::exception);
}

} // namespace
} // namespace dotterelport::gateway
