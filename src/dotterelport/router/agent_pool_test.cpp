#include <catch2/catch.hpp>

#include "agent_pool.hpp"

namespace dotterelport::router {
namespace {

membership::node_record agent(const std::string& node, const std::string& domain)
{
    membership::node_record record;
    record.id = {node, 1};
    record.role = membership::node_role::agent;
    record.service = "coal-llm";
    record.failure_domain = domain;
    return record;
}

json status(int running, bool reachable = true)
{
    return {{"load", {{"running", running}, {"waiting", 0}, {"capacity", 4}}},
            {"backend_reachable", reachable}};
}

std::string choose(agent_pool& pool, std::set<incarnation> tried = {})
{
    const auto chosen = pool.choose({"coal-llm", {}, std::move(tried)});
    return chosen ? chosen->id.node : "";
}

// A leaving backend server must receive no new work. Agents in the router's own failure domain are
// preferred.
TEST_CASE("An agent that is full, leaving, tried or without its backend server is not chosen")
{
    agent_pool pool("coronel");
    pool.update({agent("near", "coronel"), agent("far", "lota")});
    pool.update_status({"near", 1}, status(0));
    pool.update_status({"far", 1}, status(0));
    CHECK(choose(pool) == "near");
    CHECK(choose(pool, {{"near", 1}}) == "far");
    CHECK(choose(pool, {{"near", 1}, {"far", 1}}).empty());
    SECTION("full")
    {
        pool.update_status({"near", 1}, status(8));
        CHECK(choose(pool) == "far");
    }
    SECTION("without its backend server")
    {
        pool.update_status({"near", 1}, status(0, false));
        CHECK(choose(pool) == "far");
    }
    SECTION("leaving")
    {
        pool.mark_leaving({"near", 1});
        CHECK(choose(pool) == "far");
        pool.update({agent("near", "coronel"), agent("far", "lota")});
        CHECK(choose(pool) == "far");
    }
}

// Guards the limit on control traffic: polls are spread, the least recently polled agent first.
TEST_CASE("Agents are polled in turn and not before their interval")
{
    agent_pool pool("coronel");
    pool.update({agent("a", "coronel"), agent("b", "coronel"), agent("c", "lota")});
    std::multiset<std::string> asked;
    for (int i = 0; i < 6; ++i) {
        for (const auto& due : pool.due_for_status(milliseconds{2'000 + 100 * i}, 1)) {
            asked.insert(due.id.node);
        }
    }
    CHECK(asked == std::multiset<std::string>{"a", "a", "b", "c"});
}

} // namespace
} // namespace dotterelport::router
