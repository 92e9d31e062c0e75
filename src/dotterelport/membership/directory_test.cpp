#include <catch2/catch.hpp>

#include <functional>
#include <memory>

#include "dotterelport/membership/directory.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/standin/platform_server.hpp"

namespace dotterelport::membership {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds test_limit{8'000};

struct fixture {
    net::event_loop loop;
    standin::platform_server platform{loop, {}};
    net::http_client http{loop};

    /// Runs the loop until a condition holds or the limit has passed.
    bool wait_until(const std::function<bool()>& condition)
    {
        const milliseconds end = steady_now() + test_limit;
        while (!condition() && steady_now() < end) {
            loop.run_for(10ms);
        }
        return condition();
    }

    std::optional<node_record> stored(const std::string& key)
    {
        const auto result = platform.objects().read(key);
        return result.status == object_store::read_status::found
                   ? std::optional(parse_node_record(result.value.value))
                   : std::nullopt;
    }
};

/// A node in the fixture's platform.
struct node {
    object_store::client client;
    directory nodes;
    int registrations = 0;

    node(fixture& fleet, const std::string& name, node_role role = node_role::router)
        : client(fleet.http, fleet.platform.address()),
          nodes(fleet.loop, client, record(name, role))
    {
        nodes.start([this] { ++registrations; }, [] {});
    }

    static node_record record(const std::string& name, node_role role)
    {
        node_record result;
        result.id.node = name;
        result.role = role;
        result.failure_domain = "lota";
        result.peer_address = {"127.0.0.1", 7101};
        return result;
    }

    bool add(fixture& fleet, const std::vector<incarnation>& agents)
    {
        std::optional<bool> written;
        nodes.add_agents(agents, [&](bool result) { written = result; });
        fleet.wait_until([&] { return written.has_value(); });
        return written.value_or(false);
    }
};

// Guards against two incarnations with one epoch, and against the loss of the agent list of an
// earlier incarnation, which is needed to prove that its grants can be closed.
TEST_CASE("A router registers with the next epoch and keeps the record of the previous incarnation")
{
    fixture fleet;
    {
        node first(fleet, "router-a");
        REQUIRE(fleet.wait_until([&] { return first.nodes.is_registered(); }));
        CHECK(first.nodes.self().id == incarnation{"router-a", 1});
        CHECK(first.add(fleet, {{"agent-1", 4}}));
    }
    node second(fleet, "router-a");
    REQUIRE(fleet.wait_until([&] { return second.nodes.is_registered(); }));
    CHECK(second.nodes.self().id == incarnation{"router-a", 2});
    CHECK(second.nodes.self().agents.empty());
    CHECK(fleet.stored("node/router-a#1")->agents.contains({"agent-1", 4}));
    CHECK(fleet.wait_until([&] {
        return second.nodes.routers_to_close() == std::vector<incarnation>{{"router-a", 1}};
    }));
    CHECK(second.nodes.is_gone({"router-a", 1}));

    std::optional<node_record> closing;
    second.nodes.begin_closing({"router-a", 1}, [&](const auto& result) { closing = result; });
    REQUIRE(fleet.wait_until([&] { return closing.has_value(); }));
    CHECK(closing->agents.contains({"agent-1", 4}));
    bool finished = false;
    second.nodes.finish_closing({"router-a", 1}, [&](bool result) { finished = result; });
    CHECK(fleet.wait_until([&] { return finished; }));
    CHECK_FALSE(fleet.stored("node/router-a#1"));
    CHECK(fleet.wait_until([&] { return second.nodes.routers_to_close().empty(); }));
}

// Guards against a second epoch, or a lost agent, when the write took effect but its answer did
// not arrive.
TEST_CASE("Lost answers to registration and to changes are resolved by reading back")
{
    fixture fleet;
    fleet.platform.set_faults({.answers_to_lose = 1});
    node only(fleet, "router-a");
    REQUIRE(fleet.wait_until([&] { return only.nodes.is_registered(); }));
    CHECK(only.nodes.self().id.epoch == 1);
    fleet.platform.set_faults({.answers_to_lose = 1});
    CHECK(only.add(fleet, {{"agent-1", 1}}));
    CHECK(only.add(fleet, {{"agent-2", 1}}));
    CHECK(fleet.stored("node/router-a")->agents.size() == 2);
    CHECK(only.registrations == 1);
}

// Guards against work on an agent that the closer of the grants does not find in the record.
TEST_CASE("An agent is not reported as added while the platform is down or after the closing")
{
    fixture fleet;
    node router(fleet, "router-a");
    REQUIRE(fleet.wait_until([&] { return router.nodes.is_registered(); }));
    fleet.platform.set_faults({.outage = true});
    CHECK_FALSE(router.add(fleet, {{"agent-1", 1}}));
    CHECK(router.nodes.is_registered());
    fleet.platform.set_faults({});

    node closer(fleet, "router-b");
    REQUIRE(fleet.wait_until([&] { return closer.nodes.is_registered(); }));
    std::optional<node_record> closing;
    closer.nodes.begin_closing({"router-a", 1}, [&](const auto& result) { closing = result; });
    REQUIRE(fleet.wait_until([&] { return closing.has_value(); }));
    CHECK_FALSE(router.add(fleet, {{"agent-1", 1}}));
    CHECK_FALSE(router.nodes.is_registered());
    CHECK_FALSE(fleet.stored("node/router-a")->agents.contains({"agent-1", 1}));

    router.nodes.rejoin();
    REQUIRE(fleet.wait_until([&] { return router.nodes.is_registered(); }));
    CHECK(router.nodes.self().id.epoch == 2);
    CHECK(router.add(fleet, {{"agent-1", 1}}));
    CHECK(router.registrations == 2);
}

// Guards against a node that does not detect in its own listings that it was closed.
TEST_CASE(
    "A router closed by another detects it by polling, and one that closed itself cannot rejoin")
{
    fixture fleet;
    node router(fleet, "router-a");
    node closer(fleet, "router-b");
    REQUIRE(fleet.wait_until(
        [&] { return router.nodes.is_registered() && closer.nodes.is_registered(); }));
    closer.nodes.begin_closing({"router-a", 1}, [](const auto&) {});
    CHECK(fleet.wait_until([&] { return !router.nodes.is_registered(); }));

    bool written = false;
    closer.nodes.set_state(node_state::closed, [&](bool result) { written = result; });
    CHECK(fleet.wait_until([&] { return written; }));
    closer.nodes.rejoin();
    fleet.loop.run_for(300ms);
    CHECK_FALSE(closer.nodes.is_registered());
    CHECK(fleet.stored("node/router-b")->state == node_state::closed);
}

// Guards against routers that do not find the agents of a service.
TEST_CASE("Nodes find each other through the platform")
{
    fixture fleet;
    node router(fleet, "router-a");
    node agent(fleet, "agent-1", node_role::agent);
    CHECK(fleet.wait_until([&] { return router.nodes.live_nodes(node_role::agent).size() == 1; }));
    CHECK(router.nodes.shard_owner(3, "lota")->id.node == "router-a");
    CHECK(router.nodes.failure_domains() == std::vector<std::string>{"lota"});
    router.nodes.report_leaving("agent-1");
    CHECK(router.nodes.live_nodes(node_role::agent).empty());
    CHECK(router.nodes.dump()["nodes"].size() == 2);
}

} // namespace
} // namespace dotterelport::membership
