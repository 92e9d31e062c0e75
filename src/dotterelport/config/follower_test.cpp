#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelport/config/follower.hpp"
#include "dotterelport/config/parts.hpp"
#include "dotterelport/config/publisher.hpp"
#include "dotterelport/config/test_documents.hpp"
#include "dotterelport/standin/platform_server.hpp"

namespace dotterelport::config {
namespace {

/// Design limit for the time until a configuration is in force in every process.
constexpr milliseconds in_force_limit{5'000};

const net::endpoint unreachable{"127.0.0.1", 1};

/// A process that follows the configuration, with its own connection to the platform.
struct process {
    net::http_client http;
    object_store::client client;
    net::rpc_client rpc{http};
    net::http_server server;
    net::rpc_server rpc_server{server};
    net::endpoint address;
    std::vector<net::endpoint> routers;
    bool is_watcher;
    follower following;
    std::vector<std::uint64_t> generations;

    process(net::event_loop& loop, const net::endpoint& platform, bool watcher,
            std::vector<net::endpoint> peers)
        : http(loop), client(http, platform), server(loop), routers(std::move(peers)),
          is_watcher(watcher), following(loop, client, rpc,
                                         {.is_watcher = [this] { return is_watcher; },
                                          .routers = [this] { return routers; }})
    {
        following.serve(rpc_server);
        address = server.listen({"127.0.0.1", 0});
        following.start(
            [this](const snapshot_ptr& value) { generations.push_back(value->generation()); });
    }

    [[nodiscard]] std::uint64_t generation() const
    {
        return following.current() ? following.current()->generation() : 0;
    }
};

struct fixture {
    net::event_loop loop;
    standin::platform_server server{loop, {}};
    net::http_client http{loop};
    object_store::client client{http, server.address()};
    publisher publishing{loop, client, {}};

    std::unique_ptr<process> start(bool watcher, std::vector<net::endpoint> routers = {})
    {
        return std::make_unique<process>(loop, server.address(), watcher, std::move(routers));
    }

    std::unique_ptr<process> start_without_platform(std::vector<net::endpoint> routers)
    {
        return std::make_unique<process>(loop, unreachable, false, std::move(routers));
    }

    /// @brief Runs the loop until a condition holds.
    /// @return the time it took, or the limit
    milliseconds run_until(const std::function<bool()>& condition,
                           milliseconds limit = in_force_limit)
    {
        const milliseconds start = steady_now();
        while (!condition() && steady_now() - start < limit) {
            loop.run_for(milliseconds{10});
        }
        return steady_now() - start;
    }

    void publish(const document& value)
    {
        bool done = false;
        publishing.publish(value, std::nullopt, std::to_string(server.objects().revision()),
                           [&](const publish_result& result) {
                               CHECK(std::holds_alternative<publish_applied>(result));
                               done = true;
                           });
        run_until([&] { return done; }, milliseconds{20'000});
        REQUIRE(done);
    }
};

TEST_CASE("A change reaches watchers, and through them other processes, within the limit")
{
    fixture fleet;
    fleet.publish(small_document());
    const auto watcher = fleet.start(true);
    const auto other = fleet.start(false, {watcher->address});
    const auto cut_off = fleet.start_without_platform({watcher->address});
    const auto all_have = [&](std::uint64_t generation) {
        return watcher->generation() == generation && other->generation() == generation &&
               cut_off->generation() == generation;
    };
    fleet.run_until([&] { return all_have(1); });
    REQUIRE(all_have(1));
    const auto reads = fleet.server.counters().calls(standin::call_kind::read);
    document changed = small_document();
    changed.workspaces[0].budgets[0].prepaid = 1;
    fleet.publish(changed);
    const milliseconds elapsed = fleet.run_until([&] { return all_have(2); });
    CHECK(all_have(2));
    CHECK(to_json(cut_off->following.current()->content()) == to_json(changed));
    INFO("in force everywhere after " << elapsed.count() << " ms");
    CHECK(elapsed < in_force_limit);
    // The publisher reads two objects and the watcher one part; the others ask the watcher.
    CHECK(fleet.server.counters().calls(standin::call_kind::read) - reads <= 3);
}

TEST_CASE("A starting process fetches the parts from a router and not from the platform")
{
    // A restart of many processes would otherwise exhaust the platform's read limit.
    fixture fleet;
    fleet.publish(large_document(1'000, 1'000));
    const auto router = fleet.start(true);
    fleet.run_until([&] { return router->generation() == 1; });
    const auto reads = fleet.server.counters().calls(standin::call_kind::read);
    const auto restarted = fleet.start(GENERATE(false, true), {router->address});
    fleet.run_until([&] { return restarted->generation() == 1; });
    CHECK(restarted->generation() == 1);
    CHECK(fleet.server.counters().calls(standin::call_kind::read) - reads <= 5);
}

TEST_CASE(
    "A process that starts during an outage of the platform is not ready until the outage ends")
{
    // A router's generation from before the outage may be older than the one that an earlier run of
    // this process had in force.
    fixture fleet;
    fleet.publish(small_document());
    const auto router = fleet.start(true);
    fleet.run_until([&] { return router->generation() == 1; });
    fleet.server.set_faults({.outage = true});
    fleet.loop.run_for(milliseconds{50});
    const auto restarted = fleet.start(false, {router->address});
    fleet.loop.run_for(milliseconds{3'500});
    CHECK(router->generation() == 1);
    CHECK(restarted->following.current() == nullptr);
    CHECK_FALSE(restarted->following.not_ready_reason().empty());
    fleet.server.set_faults({});
    fleet.run_until([&] { return restarted->generation() == 1; });
    CHECK(restarted->generation() == 1);
}

TEST_CASE("A process whose first router is out of date gets a new generation from another router")
{
    fixture fleet;
    fleet.publish(small_document());
    const auto watcher = fleet.start(true);
    const auto stale_watcher = fleet.start(true);
    const auto other = fleet.start(false, {stale_watcher->address, watcher->address});
    fleet.run_until([&] { return other->generation() == 1 && stale_watcher->generation() == 1; });
    // Guards against a watcher without a connection to the platform delaying the processes that
    // poll it.
    stale_watcher->is_watcher = false;
    fleet.run_until([&] { return false; }, milliseconds{1'100});
    fleet.publish(with_changed_prepaid(small_document(), 5));
    fleet.run_until([&] { return other->generation() == 2; });
    CHECK(other->generation() == 2);
}

TEST_CASE("A report of a newer generation makes a process fetch it before its next poll")
{
    fixture fleet;
    fleet.publish(small_document());
    const auto other = fleet.start(false);
    fleet.run_until([&] { return other->generation() == 1; });
    fleet.publish(with_changed_prepaid(small_document(), 5));
    other->following.report_generation(2);
    const auto elapsed = fleet.run_until([&] { return other->generation() == 2; });
    CHECK(elapsed < milliseconds{500});
}

TEST_CASE("A follower never replaces its generation by a lower one")
{
    fixture fleet;
    fleet.publish(small_document());
    const std::string old_manifest = fleet.server.objects().read(manifest_key).value.value;
    fleet.publish(with_changed_prepaid(small_document(), 5));
    const auto stale_parts = split(small_document(), "test");
    net::http_server stale_server(fleet.loop);
    net::rpc_server stale_rpc(stale_server);
    const std::uint64_t stale_generation = GENERATE(1, 2);
    stale_rpc.add("config_manifest", [&](const json&) {
        return json{{"generation", stale_generation}, {"parts", stale_parts.parts}, {"age_ms", 0}};
    });
    stale_rpc.add("config_part", [&](const json& parameters) {
        return json{{"content", stale_parts.contents.at(parameters.at("hash"))}};
    });
    const auto stale_address = stale_server.listen({"127.0.0.1", 0});
    const auto watcher = fleet.start(true, {stale_address});
    const auto other = fleet.start(false, {stale_address});
    fleet.run_until([&] { return watcher->generation() == 2 && other->generation() == 2; });
    fleet.server.objects().write(manifest_key, old_manifest, std::nullopt);
    fleet.server.set_faults({.call_delay = milliseconds{200}});
    fleet.loop.run_for(milliseconds{2'500});
    for (const auto* item : {watcher.get(), other.get()}) {
        CHECK(item->generation() == 2);
        CHECK(std::is_sorted(item->generations.begin(), item->generations.end()));
    }
    CHECK(watcher->generations == std::vector<std::uint64_t>{2});
}

TEST_CASE("At full size a change of one workspace transfers few bytes")
{
    // Guards the traffic limit of 9 KB/s per node and the platform's limit for values.
    constexpr std::size_t workspaces = 13'000;
    constexpr std::size_t budgets = 16'000;
    constexpr std::uint64_t byte_limit = 32U << 10U;
    fixture fleet;
    document large = large_document(workspaces, budgets);
    const milliseconds start = steady_now();
    const document parsed = parse_document(to_json(large).dump(), "test");
    const milliseconds parse_time = steady_now() - start;
    fleet.publish(parsed);
    const auto watcher = fleet.start(true);
    fleet.run_until([&] { return watcher->generation() == 1; }, milliseconds{20'000});
    REQUIRE(watcher->generation() == 1);
    CHECK(watcher->following.current()->content().workspaces.size() == workspaces);
    const auto bytes = [&](const char* kind, const char* direction) {
        return fleet.server.counters().to_json().value(
            json::json_pointer("/" + std::string(kind) + "/by_segment/config/" + direction),
            std::uint64_t{0});
    };
    const auto written = [&] { return bytes("write", "bytes_in"); };
    const auto written_before = written();
    const auto watched_before = bytes("watch", "bytes_out");
    // Reads of the publisher before it writes the manifest are not part of the follower's traffic.
    std::uint64_t read_before = 0;
    fleet.server.objects().watch(
        manifest_key, fleet.server.objects().revision(),
        [&](const object_store::listing&) { read_before = bytes("read", "bytes_out"); });
    fleet.publish(with_changed_prepaid(parsed, 5));
    fleet.run_until([&] { return watcher->generation() == 2; });
    CHECK(watcher->generation() == 2);
    const auto followed =
        bytes("read", "bytes_out") - read_before + bytes("watch", "bytes_out") - watched_before;
    WARN("document checked in " << parse_time.count() << " ms; change of one workspace: "
                                << written() - written_before << " bytes written by the publisher, "
                                << followed << " bytes read by a follower");
    CHECK(written() - written_before < byte_limit);
    CHECK(followed < byte_limit);
}

} // namespace
} // namespace dotterelport::config
