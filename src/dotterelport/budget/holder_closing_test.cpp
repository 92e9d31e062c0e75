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
constexpr tokens grant_amount = 500;

request::outcome make_outcome(const incarnation& agent, std::uint32_t attempt,
                              verdict outcome_verdict, tokens charged)
{
    request::outcome result;
    result.key = key;
    result.attempt = attempt;
    result.budget = "main";
    result.holder = holder;
    result.verdict = outcome_verdict;
    result.charged = charged;
    result.agent = agent;
    return result;
}

ledger_shard ledger_with_grant()
{
    ledger_shard ledger(0);
    ledger.declare({.generation = 1, .budgets = {{"depot", "main", 1'000}}});
    ledger.set_grant("main", holder, grant_amount, 0);
    return ledger;
}

/// @brief Writes and applies a closer's batches until it has no further batch.
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

tokens billed_tokens(const std::vector<bill_batch>& batches)
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

TEST_CASE("The attempt that ran is billed, whatever the outcomes of other attempts of its key")
{
    struct row {
        const char* name;
        request::outcome first;
        request::outcome second;
    };
    const auto [name, first, second] = GENERATE(
        row{"the run is listed last", make_outcome(first_agent, 2, verdict::may_have_run, 173),
            make_outcome(second_agent, 1, verdict::ran, 85)},
        row{"the run is listed first", make_outcome(first_agent, 1, verdict::ran, 85),
            make_outcome(second_agent, 2, verdict::may_have_run, 173)});
    INFO(name);
    auto ledger = ledger_with_grant();
    holder_closing closer(0, holder, {first_agent, second_agent});
    closer.agent_answered(first_agent, {}, {first});
    closer.agent_answered(second_agent, {}, {second});
    const auto batches = run_closer(closer, ledger);
    CHECK(billed_tokens(batches) == 85);
    CHECK(ledger.find("main")->settled == 85);
    CHECK(ledger.find("main")->unproved == 173);
    CHECK(ledger.find("main")->grants.empty());
    CHECK(closer.is_finished());
}

TEST_CASE(
    "An outcome that another closer counted with the remainder of the grant is not billed too")
{
    auto ledger = ledger_with_grant();
    holder_closing informed(0, holder, {first_agent});
    informed.agent_answered(first_agent, {}, {make_outcome(first_agent, 1, verdict::ran, 92)});
    // The agent is gone before the other closer asks it, so that closer counts the whole grant.
    holder_closing uninformed(0, holder, {first_agent});
    uninformed.agent_gone(first_agent);
    for (const auto& batch : run_closer(uninformed, ledger)) {
        informed.add_batch(batch);
    }
    REQUIRE(ledger.find("main")->unproved == grant_amount);
    CHECK(billed_tokens(run_closer(informed, ledger)) == 0);
    CHECK(ledger.find("main")->settled == 0);
    CHECK(informed.is_finished());
}

TEST_CASE("A request that was running when the remainder was counted is billed by any closer")
{
    auto ledger = ledger_with_grant();
    const std::set<incarnation> agents{first_agent, second_agent};
    const fenced_request running{.key = key, .budget = "main", .upper_tokens = 100, .attempt = 1};
    holder_closing first(0, holder, agents);
    first.agent_answered(first_agent, {running}, {});
    first.agent_gone(second_agent);
    holder_closing second(0, holder, agents);
    for (const auto& batch : run_closer(first, ledger)) {
        second.add_batch(parse_bill_batch(to_json(batch).dump()));
    }
    REQUIRE(ledger.find("main")->unproved == grant_amount - 100);
    second.agent_gone(second_agent);
    second.agent_answered(first_agent, {}, {make_outcome(first_agent, 1, verdict::ran, 60)});
    CHECK(billed_tokens(run_closer(second, ledger)) == 60);
    CHECK(ledger.find("main")->settled == 60);
    CHECK(ledger.find("main")->grants.empty());
    CHECK_FALSE(ledger.find("main")->stopped);
}

TEST_CASE("An outcome that the holder itself counted as unproved is not billed by its closer")
{
    auto ledger = ledger_with_grant();
    grant_holder dying_holder;
    dying_holder.account("main").amount = grant_amount;
    REQUIRE(dying_holder.reserve({.key = key,
                                  .budget = "main",
                                  .upper_tokens = 163,
                                  .agent = first_agent,
                                  .digest = "",
                                  .router = "",
                                  .attempt = 1}) == reserve_outcome::reserved);
    holder_closing closer(0, holder, {first_agent});
    closer.agent_answered(first_agent, {}, {make_outcome(first_agent, 1, verdict::ran, 48)});
    dying_holder.agent_gone(first_agent);
    const auto batch = dying_holder.seal(0, holder);
    REQUIRE(batch.has_value());
    ledger.apply_batch(*batch);
    ledger.remove_grant("main", holder);
    closer.add_batch(*batch);
    closer.agent_gone(first_agent);
    CHECK(billed_tokens(run_closer(closer, ledger)) == 0);
    CHECK(ledger.find("main")->unproved == 163);
    CHECK(closer.is_finished());
}

TEST_CASE("A request that was lost with its agent counts at most the open tokens of the grant")
{
    struct row {
        const char* name;
        tokens grant;
        tokens running;
        tokens unproved;
    };
    const auto [name, grant, running, unproved] =
        GENERATE(row{"the whole upper bound", grant_amount, 0, 217},
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

TEST_CASE("A request that the holder billed before its agent was gone is not counted again")
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
