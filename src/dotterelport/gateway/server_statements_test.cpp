#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "dotterelport/gateway/server_statements.hpp"
#include "dotterelport/net/event_loop.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t first_start = 1'000;

backend_server server(std::uint64_t started_ms = first_start)
{
    return {.id = "s1",
            .service = "model",
            .address = {"127.0.0.1", 1},
            .failure_domain = "a",
            .started_ms = started_ms};
}

struct node {
    peer_link link;
    server_directory servers;
    server_statements statements;

    node(net::event_loop& loop, const std::string& name)
        : link(loop, {.node = name, .address = {"127.0.0.1", 0}, .failure_domain = "a"}),
          servers({},
                  [this](const backend_server& removed) {
                      statements.removed(removed.id, removed.started_ms, steady_now());
                  }),
          statements(link, servers)
    {
        statements.set_gateway_count(2);
        servers.update(server(), steady_now());
    }

    [[nodiscard]] bool may_send() const
    {
        return servers.is_available("s1") && statements.time_until_permitted("s1") == 0ms;
    }
};

struct fleet {
    net::event_loop loop;
    node first{loop, "edge-1"};
    node second{loop, "edge-2"};

    fleet()
    {
        introduce(first, second);
        introduce(second, first);
    }

    static void introduce(node& to, const node& other)
    {
        to.link.set_peer({.node = other.link.node(),
                          .address = other.link.own_address(),
                          .failure_domain = "a"});
    }

    void state(const server_statement& statement, std::uint64_t started_ms = first_start)
    {
        first.statements.received("s1", started_ms, statement);
        loop.run_for(50ms);
    }
};

TEST_CASE("A gateway obeys what a server has stated to another gateway")
{
    fleet run;
    SECTION("limit, until it is no longer stated")
    {
        run.state({.max_rate = 0.1});
        CHECK(run.second.statements.is_limited("s1"));
        run.second.statements.sent("s1");
        CHECK_FALSE(run.second.may_send());
        run.state({});
        CHECK_FALSE(run.second.statements.is_limited("s1"));
        CHECK(run.second.may_send());
    }
    SECTION("departure, whatever the server states later")
    {
        run.state({.leaving = true});
        run.state({});
        CHECK_FALSE(run.first.may_send());
        CHECK_FALSE(run.second.may_send());
        run.second.servers.update(server(), steady_now());
        CHECK_FALSE(run.second.may_send());
    }
    SECTION("but not a wait, which is for one gateway")
    {
        run.state({.retry_after = 3s});
        CHECK_FALSE(run.first.may_send());
        CHECK(run.second.may_send());
    }
}

TEST_CASE("Statements of one run of a server say nothing about the next")
{
    fleet run;
    run.state({.max_rate = 0.1, .leaving = true, .retry_after = 3s});
    constexpr std::uint64_t second_start = 2'000;
    for (auto* gateway : {&run.first, &run.second}) {
        gateway->servers.update(server(second_start), steady_now());
        CHECK(gateway->may_send());
    }
    run.state({.max_rate = 0.1, .leaving = true});
    CHECK(run.first.may_send());
    CHECK(run.second.may_send());
    run.state({.leaving = true}, second_start);
    CHECK_FALSE(run.second.may_send());
}

TEST_CASE("A statement that cannot be parsed leaves the previous one in force")
{
    fleet run;
    run.state({.max_rate = 0.1});
    run.state({.unreadable = true});
    CHECK(run.first.statements.is_limited("s1"));
    SECTION("and what else the answer states is applied: a departure")
    {
        run.state({.leaving = true, .unreadable = true});
        CHECK_FALSE(run.first.servers.is_available("s1"));
        CHECK_FALSE(run.second.servers.is_available("s1"));
    }
    SECTION("and what else the answer states is applied: a wait")
    {
        run.state({.retry_after = 100s, .unreadable = true});
        CHECK(run.first.statements.time_until_permitted("s1") > 50s);
    }
    CHECK(run.second.statements.is_limited("s1"));
}

TEST_CASE("Statements about unknown servers are ignored")
{
    fleet run;
    run.first.statements.received("other", first_start, {.max_rate = 0.1, .retry_after = 1s});
    run.loop.run_for(50ms);
    CHECK_FALSE(run.first.statements.is_limited("other"));
    CHECK(run.first.statements.time_until_permitted("other") == 0ms);
}

} // namespace
} // namespace dotterelport::gateway
