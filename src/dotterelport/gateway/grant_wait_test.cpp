#include <catch2/catch.hpp>

#include <string>

#include "budget_fixture.hpp"
#include "dotterelport/gateway/grant_wait.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

struct refusal_case {
    std::string name;
    grant_refusal refusal;
    milliseconds expected{0};
};

// Guards against callers that return several times while no gateway has a grant, and against
// callers that wait although another gateway has one.
TEST_CASE("Retry-After of no_grant states when tokens may be available")
{
    const auto item = GENERATE(
        refusal_case{"small fleet, store away",
                     {.own = {.is_store_away = true, .until_attempt = 700ms}},
                     50ms},
        refusal_case{"owner reached, its ledger is empty",
                     {.is_large_fleet = true, .stated_by_owner = 1'000ms},
                     1'000ms},
        refusal_case{"owner reached, just before its next round",
                     {.is_large_fleet = true, .stated_by_owner = 3ms},
                     50ms},
        refusal_case{
            "owner and store unreachable",
            {.is_large_fleet = true,
             .own = {.is_store_away = true, .is_ledger_short = true, .until_attempt = 700ms}},
            700ms},
        refusal_case{"every gateway disconnected from the others and the store",
                     {.is_large_fleet = true,
                      .is_isolated = true,
                      .own = {.is_store_away = true, .until_attempt = 700ms}},
                     700ms},
        refusal_case{"only this gateway disconnected from its group",
                     {.is_large_fleet = true,
                      .is_isolated = true,
                      .own = {.is_ledger_short = true, .until_attempt = 300ms}},
                     50ms},
        refusal_case{
            "own ledger empty",
            {.is_large_fleet = true, .own = {.is_ledger_short = true, .until_attempt = 300ms}},
            1'000ms},
        refusal_case{"tokens left, next round due",
                     {.is_large_fleet = true, .own = {.until_attempt = 300ms}},
                     300ms});
    CAPTURE(item.name);
    CHECK(grant_retry_after(item.refusal) == item.expected);
}

// Guards against 50 ms at gateways that asked an owner whose store is away.
TEST_CASE("An owner without the store tells the asking gateway when it calls the store again")
{
    const int count = GENERATE(2, 8);
    test::budget_fixture budgets;
    budgets.add_nodes(count, 1'000'000);
    budgets.connect();
    for (auto& item : budgets.nodes) {
        item->objects.reachable = false;
    }
    const auto& owner = budgets.nodes.front()->link.owner(ledger_shard_of("w"));
    auto& asker = *budgets.nodes[budgets.nodes.front()->link.node() == owner ? 1 : 0];
    for (int i = 0; i < 2; ++i) {
        budgets.connect();
        REQUIRE(budgets.reserve(asker, 1'000) == reservation_outcome::no_grant);
    }
    const milliseconds stated = asker.broker.retry_after("w", 1'000);
    if (count < 8) {
        CHECK(stated == 50ms);
    } else {
        CHECK(stated > 50ms);
        CHECK(stated <= 1'000ms);
    }
    CHECK(asker.objects.reads == 0);
}

} // namespace
} // namespace dotterelport::gateway
