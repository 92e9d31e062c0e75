#include <catch2/catch.hpp>

#include "dotterelport/budget/grant_holder.hpp"
#include "dotterelport/budget/holder_closing.hpp"
#include "dotterelport/budget/ledger_shard.hpp"

namespace dotterelport::budget {
namespace {

const request_key key{"depot", "k1"};
const incarnation holder{"router-a", 1};
const incarnation first_agent{"agent-1", 1};
const incarnation second_agent{"agent-2", 1};
constexpr tokens granted = 500;

request::outcome ended(const incarnation& agent, std::uint32_t attempt, verdict value,
                       tokens charged)
{
    request::outcome result;
    result.key = key;
    result.attempt = attempt;
    result.budget = "main";
    result.holder = holder;
    result.verdict = value;
    result.charged = charged;
    result.agent = agent;
    return result;
}

ledger_shard ledger_with_grant()
{
    ledger_shard ledger(0);
    ledger.declare({.generation = 1, .budgets = {{"depot", "main", 1'000}}});
    ledger.set_grant("main", holder, granted, 0);
    return ledger;
}

/// @brief Lets a closer write and count batches until nothing is left to write.
/// @return the batches
std::vector<bill_batch> run_closer(holder_closing& closer, ledger_shard& ledger)
{
    std::vector<bill_batch> result;
    closer.apply(ledger);
    while (const auto batch = closer.next_batch(ledger)) {
        result.push_back(*batch);
        closer.add_batch(*batch);
        closer.apply(ledger);
    }
    return result;
}

tokens billed(const std::vector<bill_batch>& batches)
{
    tokens result = 0;
    for (const auto& batch : batches) {
        for (const auto& line : batch.lines) {
            result += line.charged;
        }
    }
    return result;
}

} // namespace

TEST_CASE("The attempt that ran is billed, whatever became of the others of its key")
{
    struct row {
        const char* name;
        request::outcome first;
        request::outcome second;
    };
    const auto [name, first, second] =
        GENERATE(row{"the run is listed last", ended(first_agent, 2, verdict::may_have_run, 173),
                     ended(second_agent, 1, verdict::ran, 85)},
                 row{"the run is listed first", ended(first_agent, 1, verdict::ran, 85),
                     ended(second_agent, 2, verdict::may_have_run, 173)});
    INFO(name);
    auto ledger = ledger_with_grant();
    holder_closing closer(0, holder, {first_agent, second_agent});
    closer.agent_answered(first_agent, {}, {first});
    closer.agent_answered(second_agent, {}, {second});
    const auto batches = run_closer(closer, ledger);
    CHECK(billed(batches) == 85);
    CHECK(ledger.find("main")->settled == 85);
    CHECK(ledger.find("main")->unproved == 173);
    CHECK(ledger.find("main")->grants.empty());
    CHECK(closer.is_finished());
}

TEST_CASE("An outcome that another closer counted with the rest of the grant is not billed too")
{
    auto ledger = ledger_with_grant();
    holder_closing informed(0, holder, {first_agent});
    informed.agent_answered(first_agent, {}, {ended(first_agent, 1, verdict::ran, 92)});
    // The agent goes before the other closer asks it, so that one counts the whole grant.
    holder_closing late(0, holder, {first_agent});
    late.agent_gone(first_agent);
    for (const auto& batch : run_closer(late, ledger)) {
        informed.add_batch(batch);
    }
    REQUIRE(ledger.find("main")->unproved == granted);
    CHECK(billed(run_closer(informed, ledger)) == 0);
    CHECK(ledger.find("main")->settled == 0);
    CHECK(informed.is_finished());
}

TEST_CASE("A request that ran on when the rest was counted is billed by any closer")
{
    auto ledger = ledger_with_grant();
    const std::set<incarnation> agents{first_agent, second_agent};
    const fenced_request running{.key = key, .budget = "main", .upper = 100, .attempt = 1};
    holder_closing first(0, holder, agents);
    first.agent_answered(first_agent, {running}, {});
    first.agent_gone(second_agent);
    holder_closing second(0, holder, agents);
    for (const auto& batch : run_closer(first, ledger)) {
        second.add_batch(parse_bill_batch(to_json(batch).dump()));
    }
    REQUIRE(ledger.find("main")->unproved == granted - 100);
    second.agent_gone(second_agent);
    second.agent_answered(first_agent, {}, {ended(first_agent, 1, verdict::ran, 60)});
    CHECK(billed(run_closer(second, ledger)) == 60);
    CHECK(ledger.find("main")->settled == 60);
    CHECK(ledger.find("main")->grants.empty());
    CHECK_FALSE(ledger.find("main")->stopped);
}

TEST_CASE("An outcome that the holder itself counted as unproved is not billed by its closer")
{
    auto ledger = ledger_with_grant();
    grant_holder owner;
    owner.account("main").amount = granted;
    REQUIRE(owner.reserve({.key = key,
                           .budget = "main",
                           .upper = 163,
                           .agent = first_agent,
                           .digest = "",
                           .router = "",
                           .attempt = 1}) == reserve_outcome::reserved);
    holder_closing closer(0, holder, {first_agent});
    closer.agent_answered(first_agent, {}, {ended(first_agent, 1, verdict::ran, 48)});
    owner.agent_gone(first_agent);
    const auto batch = owner.seal(0, holder);
    REQUIRE(batch.has_value());
    ledger.apply_batch(*batch);
    ledger.remove_grant("main", holder);
    closer.add_batch(*batch);
    closer.agent_gone(first_agent);
    CHECK(billed(run_closer(closer, ledger)) == 0);
    CHECK(ledger.find("main")->unproved == 163);
    CHECK(closer.is_finished());
}

TEST_CASE("A request that was lost with its agent counts for what the grant has left")
{
    struct row {
        const char* name;
        tokens grant;
        tokens running;
        tokens unproved;
    };
    const auto [name, grant, running, unproved] =
        GENERATE(row{"the whole upper bound", granted, 0, 217},
                 row{"the holder settled it and lowered its grant", 205, 0, 205},
                 row{"another request still runs", 205, 171, 34});
    INFO(name);
    auto ledger = ledger_with_grant();
    ledger.shrink_grant("main", holder, grant);
    holder_closing closer(0, holder, {first_agent, second_agent});
    closer.agent_answered(first_agent, {{key, "main", 217, 1}}, {});
    std::vector<fenced_request> others;
    if (running > 0) {
        others.push_back({{"depot", "k2"}, "main", running, 1});
    }
    closer.agent_answered(second_agent, others, {});
    closer.agent_gone(first_agent);
    run_closer(closer, ledger);
    CHECK(ledger.find("main")->unproved == unproved);
    CHECK(ledger.find("main")->open() == running);
    CHECK_FALSE(ledger.find("main")->stopped);
}

TEST_CASE("A request that the holder billed before its agent went is not counted again")
{
    auto ledger = ledger_with_grant();
    holder_closing closer(0, holder, {first_agent});
    closer.agent_answered(first_agent, {{key, "main", 87, 1}}, {});
    closer.add_batch(
        {.shard = 0,
         .holder = holder,
         .number = 1,
         .by_closer = false,
         .lines =
             {{.key = key, .budget = "main", .charged = 82, .service = "", .agent = first_agent}},
         .unproved = {}});
    closer.agent_gone(first_agent);
    run_closer(closer, ledger);
    CHECK(ledger.find("main")->settled == 82);
    CHECK(ledger.find("main")->unproved == 0);
    CHECK(closer.is_finished());
}

} // namespace dotterelport::budget
