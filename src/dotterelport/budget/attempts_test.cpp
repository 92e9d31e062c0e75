#include <catch2/catch.hpp>

#include "dotterelport/budget/grant_holder.hpp"
#include "dotterelport/budget/holder_closing.hpp"
#include "dotterelport/budget/ledger_shard.hpp"

namespace dotterelport::budget {
namespace {

const request_key key{"depot", "k1"};
const incarnation agent{"agent-1", 1};
const incarnation holder_id{"router-a", 1};

reservation reservation_for(std::uint32_t attempt)
{
    return {.key = key,
            .budget = "main",
            .upper_tokens = 100,
            .agent = agent,
            .digest = "d",
            .router = "router-a",
            .attempt = attempt};
}

request::outcome make_outcome(std::uint32_t attempt, verdict outcome_verdict, tokens charged)
{
    request::outcome result;
    result.key = key;
    result.attempt = attempt;
    result.budget = "main";
    result.holder = holder_id;
    result.verdict = outcome_verdict;
    result.charged = charged;
    result.agent = agent;
    return result;
}

grant_holder holder_with(tokens amount)
{
    grant_holder holder;
    holder.account("main").amount = amount;
    return holder;
}

// Guards against a late outcome of the first attempt that settles the tokens of the second attempt,
// which then runs without a reservation.
TEST_CASE("A further attempt at the same agent reserves its own tokens")
{
    auto holder = holder_with(250);
    REQUIRE(holder.reserve(reservation_for(1)) == reserve_outcome::reserved);
    REQUIRE(holder.move(reservation_for(2), false) == reserve_outcome::reserved);
    CHECK(holder.total_reserved() == 200);
    CHECK(holder.settle(make_outcome(1, verdict::may_have_run, 60)) == settle_outcome::settled);
    CHECK(holder.total_reserved() == 100);
    CHECK(holder.settle(make_outcome(2, verdict::ran, 90)) == settle_outcome::settled);
    CHECK(holder.total_reserved() == 0);
    CHECK(holder.account("main").available() == 100);
}

TEST_CASE("A further attempt is not reserved if the grant has too few tokens")
{
    auto holder = holder_with(150);
    REQUIRE(holder.reserve(reservation_for(1)) == reserve_outcome::reserved);
    CHECK(holder.move(reservation_for(2), false) == reserve_outcome::insufficient_tokens);
    CHECK(holder.total_reserved() == 100);
}

// Guards against an agent that keeps such an outcome forever, because no batch is written for it.
TEST_CASE("An outcome without a charge becomes durable")
{
    auto holder = holder_with(100);
    REQUIRE(holder.reserve(reservation_for(1)) == reserve_outcome::reserved);
    const auto outcome = make_outcome(1, verdict::may_have_run, 0);
    holder.settle(outcome);
    const auto batch = holder.seal(0, holder_id);
    REQUIRE(batch.has_value());
    CHECK_FALSE(holder.is_durable(outcome));
    holder.mark_durable(batch->number);
    CHECK(holder.is_durable(outcome));
}

// A line that is written while the holder can still remove its grant might never be applied.
TEST_CASE("A closer bills nothing before the ledger marks the holder as closed")
{
    ledger_shard ledger(0);
    ledger.declare({.generation = 1, .budgets = {{"depot", "main", 1'000}}});
    ledger.set_grant("main", holder_id, 200, 0);
    holder_closing closing(0, holder_id, {agent});
    closing.agent_answered(agent, {}, {make_outcome(1, verdict::ran, 50)});
    CHECK_FALSE(closing.next_batch(ledger).has_value());
    closing.apply(ledger);
    const auto batch = closing.next_batch(ledger);
    REQUIRE(batch.has_value());
    CHECK(batch->lines.size() == 1);
}

} // namespace
} // namespace dotterelport::budget
