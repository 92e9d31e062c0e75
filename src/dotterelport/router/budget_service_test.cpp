#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "budget_messages.hpp"
#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/config/parts.hpp"
#include "dotterelport/request/messages.hpp"
#include "dotterelport/router/budget_service.hpp"
#include "dotterelport/standin/platform_server.hpp"

namespace dotterelport::router {
namespace {

constexpr milliseconds test_timeout{30'000};
constexpr tokens prepaid = 1'000;

/// Node on the shared event loop that registers in the platform.
class node {
public:
    node(net::event_loop& loop, const net::endpoint& platform_address, const std::string& name,
         const std::string& domain, membership::node_role role)
        : server_(loop), rpc_server_(server_), http_(loop), rpc(http_),
          platform_(http_, platform_address), directory(loop, platform_, record(name, domain, role))
    {
        directory.start([] {}, [] {});
    }

private:
    membership::node_record record(const std::string& name, const std::string& domain,
                                   membership::node_role role)
    {
        membership::node_record result;
        result.id = {name, 0};
        result.role = role;
        result.vm = name;
        result.failure_domain = domain;
        result.peer_address = server_.listen({"127.0.0.1", 0});
        return result;
    }

    net::http_server server_;

protected:
    net::rpc_server rpc_server_;
    net::http_client http_;

public:
    net::rpc_client rpc;

protected:
    object_store::client platform_;

public:
    membership::directory directory;
};

/// Router that serves only budget methods.
class budget_router : public node {
public:
    budget_router(net::event_loop& loop, const net::endpoint& platform, const std::string& name,
                  const std::string& domain)
        : node(loop, platform, name, domain, membership::node_role::router),
          follower_(loop, platform_, rpc,
                    {.is_watcher = [] { return true; },
                     .routers = [] { return std::vector<net::endpoint>{}; }}),
          service({.loop = loop,
                   .platform = platform_,
                   .rpc = rpc,
                   .nodes = directory,
                   .configuration = follower_,
                   .sizing = budget::thin_budgets()})
    {
        follower_.start([](const config::snapshot_ptr&) {});
        service.serve(rpc_server_);
    }

    [[nodiscard]] std::uint64_t generation() const { return follower_.current()->generation(); }

    [[nodiscard]] bool is_ready() const
    {
        return directory.is_registered() && follower_.current() != nullptr;
    }

private:
    config::follower follower_;

public:
    budget_service service;
};

/// Agent that reports the outcomes that a test adds.
class fake_agent : public node {
public:
    fake_agent(net::event_loop& loop, const net::endpoint& platform)
        : node(loop, platform, "agent-1", "lota", membership::node_role::agent)
    {
        rpc_server_.add("fence", [this](const json&) {
            json list = json::array();
            for (const auto& outcome : outcomes) {
                list.push_back(to_json(outcome));
            }
            return json{{"running", json::array()}, {"outcomes", std::move(list)}};
        });
        rpc_server_.add("acknowledge", [this](const json&) {
            outcomes.clear();
            return json::object();
        });
    }

    void add_outcome(const reserve_result& reservation, const request_key& key, tokens charged)
    {
        request::outcome outcome;
        outcome.key = key;
        outcome.budget = "depot-main";
        outcome.holder = reservation.holder;
        outcome.charged = charged;
        outcome.agent = directory.self().id;
        outcomes.push_back(outcome);
    }

    std::vector<request::outcome> outcomes;
};

/// Router that receives reserve messages and never answers them.
class silent_router : public node {
public:
    silent_router(net::event_loop& loop, const net::endpoint& platform, const std::string& name)
        : node(loop, platform, name, "lota", membership::node_role::router)
    {
        rpc_server_.add_deferred("reserve",
                                 [this](const json& parameters, const net::rpc_server::reply&) {
                                     calls.push_back(parse_reserve_message(parameters).call);
                                 });
        rpc_server_.add("cancel_reserve", [this](const json& parameters) {
            cancelled.push_back(parse_cancel_message(parameters).call);
            return json::object();
        });
    }

    std::vector<std::string> calls;
    std::vector<std::string> cancelled;
};

/// Two routers, an agent and the platform.
class fleet {
public:
    explicit fleet(const std::string& second_domain = "arauco")
    {
        const std::size_t domains = second_domain == "lota" ? 1 : 2;
        publish(1, prepaid);
        for (const char* vm : {"router-a", "router-b", "agent-1"}) {
            platform.vms().set(vm, object_store::vm_state::live, steady_now());
        }
        first.emplace(loop, platform.address(), "router-a", "lota");
        second.emplace(loop, platform.address(), "router-b", second_domain);
        agent.emplace(loop, platform.address());
        REQUIRE(run_until([&] {
            return first->is_ready() && second->is_ready() && agent->directory.is_registered() &&
                   first->directory.live_nodes(membership::node_role::router).size() == 2 &&
                   second->directory.live_nodes(membership::node_role::router).size() == 2 &&
                   first->directory.failure_domains().size() == domains;
        }));
    }

    /// @brief Writes a configuration.
    void publish(std::uint64_t generation, tokens total)
    {
        config::document document;
        document.workspaces = {{.name = "depot",
                                .services = {},
                                .key_hashes = {},
                                .budgets = {{"depot-main", {"*"}, total}}}};
        document.settings = {.budget_shards = 1, .flush_interval = milliseconds{100}};
        const auto parts = config::split(document, "test");
        for (const auto& [hash, content] : parts.contents) {
            platform.objects().write(config::part_key(hash), content, std::nullopt);
        }
        const config::manifest manifest{
            .generation = generation, .parts = parts.parts, .history = {}};
        platform.objects().write(config::manifest_key, to_json(manifest).dump(), std::nullopt);
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const auto limit = steady_now() + test_timeout;
        while (!condition() && steady_now() < limit) {
            loop.run_for(milliseconds{20});
        }
        return condition();
    }

    reserve_result reserve(budget_router& at, const std::string& key, tokens upper_tokens,
                           std::uint32_t attempt = 1)
    {
        std::optional<reserve_result> result;
        at.service.reserve({.key = {"depot", key},
                            .budget = "depot-main",
                            .upper_tokens = upper_tokens,
                            .agent = agent->directory.self().id,
                            .attempt = attempt,
                            .digest = "d",
                            .has_caller_key = true},
                           [&](const reserve_result& answer) { result = answer; });
        REQUIRE(run_until([&] { return result.has_value(); }));
        return *result;
    }

    /// @brief Pushes the agent's outcomes to a router, as the agent does, until all are durable.
    bool push(budget_router& to)
    {
        json list = json::array();
        for (const auto& outcome : agent->outcomes) {
            list.push_back(to_json(outcome));
        }
        std::optional<net::rpc_result> result;
        agent->rpc.call(to.directory.self().peer_address, "outcomes",
                        {{"agent", "agent-1#1"}, {"outcomes", list}}, milliseconds{2'000},
                        [&](const net::rpc_result& answer) { result = answer; });
        run_until([&] { return result.has_value(); });
        return result->ok() && result->value.at("durable").size() == list.size();
    }

    /// @brief Calls a router's RPC method, without waiting for the answer.
    void send(budget_router& to, const std::string& method, const json& parameters)
    {
        agent->rpc.call(to.directory.self().peer_address, method, parameters, milliseconds{5'000},
                        [](const net::rpc_result&) {});
    }

    /// @brief Tokens that requests have reserved at a router.
    static tokens reserved_at(const budget_router& router)
    {
        tokens result = 0;
        const json dump = router.service.dump();
        for (const auto& shard : dump.at("shards")) {
            for (const auto& account : shard.at("budgets")) {
                result += account.at("reserved").get<tokens>();
            }
        }
        return result;
    }

    budget::ledger_entry ledger()
    {
        const auto object = platform.objects().read("budget/0");
        return budget::parse_ledger_shard(object.value.value).budgets().at("depot-main");
    }

    net::event_loop loop;
    standin::platform_server platform{loop, {}};
    std::optional<budget_router> first;
    std::optional<budget_router> second;
    std::optional<fake_agent> agent;
};

TEST_CASE("A request is reserved, billed once and durable before the agent may forget it")
{
    fleet world;
    const auto reservation = world.reserve(*world.first, "k1", 200);
    REQUIRE(reservation.status == reserve_status::reserved);
    CHECK(reservation.holder.node == "router-a");
    // A retry through the other failure domain must find the running attempt.
    CHECK(world.reserve(*world.second, "k1", 200).status == reserve_status::key_in_use);
    world.agent->add_outcome(reservation, {"depot", "k1"}, 150);
    CHECK(world.push(*world.first));
    CHECK(world.push(*world.first));
    CHECK(world.run_until([&] { return world.ledger().settled == 150; }));
    CHECK(world.ledger().unproved == 0);
}

TEST_CASE("A late release of an attempt leaves the tokens of the next attempt reserved")
{
    fleet world;
    REQUIRE(world.reserve(*world.first, "k1", 200).status == reserve_status::reserved);
    const std::uint32_t next_attempt = 2;
    const auto reservation = world.reserve(*world.first, "k1", 200, next_attempt);
    REQUIRE(reservation.status == reserve_status::reserved);
    const request_key key{"depot", "k1"};
    world.first->service.release(
        {.key = key, .agent = world.agent->directory.self().id, .attempt = 1});
    world.agent->add_outcome(reservation, key, 150);
    world.agent->outcomes.back().attempt = next_attempt;
    CHECK(world.push(*world.first));
    CHECK(world.run_until([&] { return world.ledger().settled == 150; }));
    CHECK(world.ledger().unproved == 0);
}

// Guards against "exhausted" as the verdict on a total that the configuration has raised.
TEST_CASE("A budget is exhausted only by the newest configuration that a router knows of")
{
    fleet world("lota");
    REQUIRE(world.reserve(*world.first, "k1", prepaid).status == reserve_status::reserved);
    REQUIRE(world.reserve(*world.first, "k2", 100).status == reserve_status::exhausted);
    world.publish(2, 2 * prepaid);
    const auto knows_change = [&] { return world.first->generation() == 2; };
    for (int i = 0; i < 2'000 && !knows_change(); ++i) {
        world.loop.run_for(milliseconds{1});
    }
    REQUIRE(knows_change());
    CHECK(world.reserve(*world.first, "k3", 100).status == reserve_status::reserved);
}

TEST_CASE("A router does not call a budget exhausted by an older configuration than the asker's")
{
    const auto [generation, expected] =
        GENERATE(table<std::uint64_t, std::string>({{1, "exhausted"}, {2, "unavailable"}}));
    CAPTURE(generation);
    fleet world("lota");
    reserve_message message;
    message.request = {.key = {"depot", "k1"},
                       .budget = "budget-of-next-generation",
                       .upper_tokens = 200,
                       .agent = world.agent->directory.self().id,
                       .digest = "d"};
    message.router = "router-x#1";
    message.generation = generation;
    std::string answer;
    world.agent->rpc.call(world.first->directory.self().peer_address, "reserve", to_json(message),
                          milliseconds{2'000}, [&](const net::rpc_result& result) {
                              answer = result.value.value("result", "");
                          });
    CHECK(world.run_until([&] { return !answer.empty(); }));
    CHECK(answer == expected);
}

TEST_CASE("Tokens of runs without an outcome do not prove that a budget is exhausted")
{
    fleet world("lota");
    REQUIRE(world.reserve(*world.first, "k1", 10).status == reserve_status::reserved);
    auto& objects = world.platform.objects();
    const auto stored = objects.read("budget/0");
    json ledger = json::parse(stored.value.value);
    auto& entry = ledger.at("budgets").at("depot-main");
    entry["unproved"] = prepaid / 2;
    for (auto& holder_grant : entry.at("grants")) {
        holder_grant["amount"] = 10;
    }
    objects.write("budget/0", ledger.dump(), stored.value.object_version);
    CHECK(world.reserve(*world.first, "k2", prepaid * 3 / 4).status == reserve_status::unavailable);
    CHECK(world.reserve(*world.first, "k3", 2 * prepaid).status == reserve_status::exhausted);
}

/// When a router learns that the router that asked for tokens has given up.
enum class cancellation {
    none,
    before_the_call,
    while_it_waits,
    after_the_answer,
};

// Guards against tokens that stay reserved for a router that stopped waiting for the answer.
TEST_CASE("A cancelled call leaves no tokens reserved at another router")
{
    const auto moment = GENERATE(cancellation::none, cancellation::before_the_call,
                                 cancellation::while_it_waits, cancellation::after_the_answer);
    CAPTURE(static_cast<int>(moment));
    fleet world("lota");
    reserve_message message;
    message.request = {.key = {"depot", "k1"},
                       .budget = "depot-main",
                       .upper_tokens = 200,
                       .agent = world.agent->directory.self().id,
                       .digest = "d"};
    message.router = "router-x#1";
    message.call = "router-x#1/1";
    const cancel_message cancellation_of{
        .call = message.call,
        .reservation = {.key = message.request.key, .agent = message.request.agent}};
    const auto cancel = [&] {
        world.send(*world.first, "cancel_reserve", to_json(cancellation_of));
        world.loop.run_for(milliseconds{100});
    };
    if (moment == cancellation::before_the_call) {
        cancel();
    }
    world.platform.set_faults({.call_delay = milliseconds{60}});
    world.send(*world.first, "reserve", to_json(message));
    if (moment == cancellation::while_it_waits) {
        world.loop.run_for(milliseconds{30});
        cancel();
    }
    world.loop.run_for(milliseconds{1'500});
    const bool is_reserved =
        moment == cancellation::none || moment == cancellation::after_the_answer;
    CHECK(fleet::reserved_at(*world.first) == (is_reserved ? 200 : 0));
    if (moment == cancellation::after_the_answer) {
        cancel();
        CHECK(fleet::reserved_at(*world.first) == 0);
    }
}

// Guards against tokens that an owner reserves after the asking router has used its own grant.
TEST_CASE("A router that gets no answer cancels its call")
{
    fleet world("lota");
    // At least one of them owns the shard.
    std::vector<std::unique_ptr<silent_router>> silent;
    for (const char* name : {"router-c", "router-d", "router-e", "router-f", "router-g"}) {
        world.platform.vms().set(name, object_store::vm_state::live, steady_now());
        silent.push_back(
            std::make_unique<silent_router>(world.loop, world.platform.address(), name));
    }
    REQUIRE(world.run_until([&] {
        return world.first->directory.live_nodes(membership::node_role::router).size() ==
               silent.size() + 2;
    }));
    std::optional<reserve_result> result;
    world.first->service.reserve({.key = {"depot", "k1"},
                                  .budget = "depot-main",
                                  .upper_tokens = 200,
                                  .agent = world.agent->directory.self().id,
                                  .digest = "d"},
                                 [&](const reserve_result& answer) { result = answer; });
    CHECK(world.run_until([&] { return result.has_value(); }));
    world.loop.run_for(milliseconds{500});
    std::vector<std::string> calls;
    for (const auto& router : silent) {
        calls.insert(calls.end(), router->calls.begin(), router->calls.end());
        CHECK(router->cancelled == router->calls);
    }
    CHECK(calls.size() == 1);
}

TEST_CASE("Tokens held in the other failure domain are used before a request is refused")
{
    fleet world;
    // The other domain holds an unused grant, so a refusal here would be wrong.
    REQUIRE(world.reserve(*world.second, "k1", 10).status == reserve_status::reserved);
    CHECK(world.reserve(*world.first, "k2", 980).status == reserve_status::reserved);
    CHECK(world.reserve(*world.first, "k3", 50).status == reserve_status::exhausted);
}

TEST_CASE(
    "While the platform is down, a peer lends tokens and a refusal is unavailable, not exhausted")
{
    fleet world;
    REQUIRE(world.reserve(*world.second, "k1", 100).status == reserve_status::reserved);
    world.platform.set_faults({.outage = true});
    const auto borrowed = world.reserve(*world.first, "k2", 100);
    // Router A cannot write its record now. It can use the agent only if the record already lists
    // it.
    CHECK((borrowed.status == reserve_status::reserved ||
           borrowed.status == reserve_status::unavailable));
    CHECK(world.reserve(*world.first, "k3", 900).status == reserve_status::unavailable);
}

TEST_CASE("Another router closes the grants of a killed router and bills its outcomes")
{
    fleet world("lota");
    const auto reservation = world.reserve(*world.first, "k1", 200);
    REQUIRE(reservation.status == reserve_status::reserved);
    world.agent->add_outcome(reservation, {"depot", "k1"}, 120);
    const bool first_holds = reservation.holder.node == "router-a";
    (first_holds ? world.first : world.second).reset();
    auto& survivor = first_holds ? *world.second : *world.first;
    world.platform.vms().set(reservation.holder.node, std::nullopt, steady_now());
    const bool closed = world.run_until([&] {
        const auto entry = world.ledger();
        return entry.settled == 120 && !entry.grants.contains(reservation.holder) &&
               world.agent->outcomes.empty();
    });
    INFO(survivor.service.dump().dump());
    INFO(survivor.directory.dump().dump());
    CHECK(closed);
    CHECK(world.ledger().unproved == 0);
}

TEST_CASE("A drained router leaves no grant open")
{
    fleet world;
    const auto reservation = world.reserve(*world.first, "k1", 200);
    world.agent->add_outcome(reservation, {"depot", "k1"}, 120);
    CHECK(world.push(*world.first));
    bool drained = false;
    world.first->service.drain([&] { drained = true; });
    CHECK(world.run_until([&] { return drained; }));
    CHECK_FALSE(world.ledger().grants.contains(reservation.holder));
    CHECK(world.ledger().settled == 120);
}

} // namespace
} // namespace dotterelport::router
