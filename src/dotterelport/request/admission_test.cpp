#include <catch2/catch.hpp>

#include "dotterelport/request/admission_table.hpp"

namespace dotterelport::request {
namespace {

const incarnation self{"agent-1", 3};
const incarnation holder{"router-a", 5};
const request_key key{"depot", "k1"};

admission message(std::uint32_t attempt = 1)
{
    admission result;
    result.key = key;
    result.attempt = attempt;
    result.agent = self;
    result.holder = holder;
    result.generation = 7;
    result.time_left = milliseconds{1000};
    result.digest = "d";
    result.idempotent = true;
    return result;
}

admission_conditions conditions()
{
    return {.self = self, .generation = 7, .generation_in_force = milliseconds{60'000}};
}

bool starts(const admission_decision& decision)
{
    return std::holds_alternative<start_decision>(decision);
}

bool joins(const admission_decision& decision)
{
    return std::holds_alternative<join_decision>(decision);
}

TEST_CASE("An admission that must not start is refused with its reason, and so is a copy of it")
{
    struct row {
        failure_reason reason;
        verdict expected_verdict;
        void (*change)(admission&, admission_conditions&);
    };
    const auto [reason, expected_verdict, change] =
        GENERATE(row{failure_reason::wrong_incarnation, verdict::not_run,
                     [](admission& m, admission_conditions&) { m.agent.epoch = 2; }},
                 row{failure_reason::wrong_incarnation, verdict::may_have_run,
                     [](admission& m, admission_conditions&) {
                         m.agent.epoch = 2;
                         m.join_only = true;
                     }},
                 row{failure_reason::fenced, verdict::not_run,
                     [](admission& m, admission_conditions&) {
                         m.holder = {"router-b", 4};
                     }},
                 row{failure_reason::leaving, verdict::not_run,
                     [](admission&, admission_conditions& c) { c.is_leaving = true; }},
                 row{failure_reason::stale_configuration, verdict::not_run,
                     [](admission& m, admission_conditions&) { m.generation = 6; }},
                 row{failure_reason::busy, verdict::not_run,
                     [](admission&, admission_conditions& c) { c.overload_reason = "full"; }},
                 row{failure_reason::deadline, verdict::not_run,
                     [](admission& m, admission_conditions&) { m.time_left = milliseconds{0}; }},
                 row{failure_reason::unknown_key, verdict::may_have_run,
                     [](admission& m, admission_conditions&) { m.join_only = true; }});
    admission_table table;
    table.fence({"router-b", 4});
    admission request = message();
    admission_conditions state = conditions();
    change(request, state);
    const auto decision = table.admit(request, state);
    REQUIRE(std::holds_alternative<refuse_decision>(decision));
    CHECK(std::get<refuse_decision>(decision).reason == reason);
    CHECK(std::get<refuse_decision>(decision).verdict == expected_verdict);
    // A late copy may arrive without overload and before its deadline; not_run must stay true.
    state.overload_reason.clear();
    request.time_left = milliseconds{1000};
    CHECK_FALSE(starts(table.admit(request, state)));
}

TEST_CASE("A late admission does not run after its key was refused")
{
    admission_table table;
    CHECK(table.refuse(key).state == key_state::refused);
    CHECK_FALSE(starts(table.admit(message(), conditions())));
    CHECK_FALSE(starts(table.admit(message(1000), conditions())));
    CHECK(table.running().empty());
}

TEST_CASE("A refused attempt stays refused while a later one may run")
{
    admission_table table;
    table.refuse(key, 2);
    CHECK_FALSE(starts(table.admit(message(2), conditions())));
    CHECK(starts(table.admit(message(3), conditions())));
    CHECK(table.refuse(key).state == key_state::running);
    table.finish(key, verdict::not_run);
    CHECK_FALSE(starts(table.admit(message(3), conditions())));
    CHECK(starts(table.admit(message(4), conditions())));
}

TEST_CASE("A request that is running or has run is joined, so that a booking never runs twice")
{
    admission_table table;
    REQUIRE(starts(table.admit(message(), conditions())));
    CHECK(joins(table.admit(message(), conditions())));
    CHECK(joins(table.admit(message(2), conditions())));
    const verdict ended = GENERATE(verdict::ran, verdict::may_have_run);
    table.finish(key, ended);
    CHECK(table.refuse(key).verdict == ended);
    CHECK(joins(table.admit(message(), conditions())));
    admission later = message(2);
    later.idempotent = false;
    CHECK(joins(table.admit(later, conditions())));
    later.idempotent = true;
    CHECK(starts(table.admit(later, conditions())) == (ended == verdict::may_have_run));
    if (ended == verdict::may_have_run) {
        // The first attempt may have run although the second did not.
        table.finish(key, verdict::not_run);
        CHECK(table.lookup(key).verdict == verdict::may_have_run);
        CHECK(joins(table.admit(message(2), conditions())));
    }
}

TEST_CASE("A key with different content is refused and does not join the first request")
{
    admission_table table;
    table.admit(message(), conditions());
    if (GENERATE(true, false)) {
        table.finish(key, verdict::ran);
    }
    admission other = message();
    other.digest = "e";
    const auto decision = table.admit(other, conditions());
    REQUIRE(std::holds_alternative<refuse_decision>(decision));
    CHECK(std::get<refuse_decision>(decision).reason == failure_reason::key_reused);
}

TEST_CASE("A fenced holder and its earlier incarnations stay refused, a later one does not")
{
    admission_table table;
    table.fence(holder);
    table.fence({holder.node, holder.epoch - 2});
    const std::uint64_t epoch = GENERATE(4U, 5U, 6U);
    admission request = message();
    request.holder.epoch = epoch;
    CHECK(starts(table.admit(request, conditions())) == (epoch > holder.epoch));
}

TEST_CASE("An older generation is accepted while routers may still be updating")
{
    admission_table table;
    admission_conditions state = conditions();
    state.generation = 8;
    state.generation_in_force = GENERATE(milliseconds{0}, milliseconds{4'999}, milliseconds{5'000});
    CHECK(starts(table.admit(message(), state)) == (state.generation_in_force < generation_grace));
}

TEST_CASE("No key is lost when the key memory grows")
{
    constexpr int count = 20'000;
    key_memory memory;
    for (int i = 0; i < count; ++i) {
        memory.put({"w", std::to_string(i)}, {static_cast<std::uint32_t>(i), false, verdict::ran,
                                              key_memory::hash_digest(std::to_string(i))});
    }
    CHECK(memory.size() == count);
    int found = 0;
    for (int i = 0; i < count; ++i) {
        const auto entry = memory.find({"w", std::to_string(i)});
        found += entry && entry->attempt == static_cast<std::uint32_t>(i) ? 1 : 0;
    }
    CHECK(found == count);
    CHECK_FALSE(memory.find({"v", "1"}));
}

} // namespace
} // namespace dotterelport::request
