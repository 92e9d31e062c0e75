#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <vector>

#include <rapidcheck.h>

#include "dotterelport/request/admission_table.hpp"

namespace dotterelport::request {
namespace {

const incarnation self{"agent-1", 3};

/// One step of a random history of an agent.
struct step {
    enum class kind {
        admit,
        finish,
        refuse,
        fence,
    };

    kind what = kind::admit;
    std::string key;
    std::uint32_t attempt = 1;
    std::uint64_t holder_epoch = 1;
    bool is_busy = false;
    bool is_leaving = false;
    bool join_only = false;
    verdict end = verdict::ran;
};

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(
        rc::gen::set(&step::what, rc::gen::weightedElement<step::kind>({{6, step::kind::admit},
                                                                        {3, step::kind::finish},
                                                                        {1, step::kind::refuse},
                                                                        {1, step::kind::fence}})),
        rc::gen::set(&step::key, rc::gen::element<std::string>("a", "b")),
        rc::gen::set(&step::attempt, rc::gen::inRange<std::uint32_t>(1, 5)),
        rc::gen::set(&step::holder_epoch, rc::gen::inRange<std::uint64_t>(1, 4)),
        rc::gen::set(&step::is_busy, rc::gen::weightedElement<bool>({{4, false}, {1, true}})),
        rc::gen::set(&step::is_leaving, rc::gen::weightedElement<bool>({{20, false}, {1, true}})),
        rc::gen::set(&step::join_only, rc::gen::weightedElement<bool>({{4, false}, {1, true}})),
        rc::gen::set(&step::end,
                     rc::gen::element(verdict::ran, verdict::not_run, verdict::may_have_run)));
}

/// State that follows from the answers of the agent, recorded independently of the table under
/// test.
struct expected_state {
    /// Messages that were answered with not_run, by key, attempt and holder epoch.
    std::set<std::tuple<std::string, std::uint32_t, std::uint64_t>> not_run;
    /// Keys that ran or may have run.
    std::map<std::string, verdict> possibly_run;
    std::uint64_t fenced_epoch = 0;
    bool was_leaving = false;
};

admission message_of(const step& item, bool is_idempotent)
{
    admission result;
    result.key = {"w", item.key};
    result.attempt = item.attempt;
    result.agent = self;
    result.holder = {"router-a", item.holder_epoch};
    result.time_left = milliseconds{1000};
    result.digest = "d";
    result.join_only = item.join_only;
    result.idempotent = is_idempotent;
    return result;
}

void check_admission(admission_table& table, expected_state& expected, const step& item,
                     bool is_idempotent)
{
    expected.was_leaving = expected.was_leaving || item.is_leaving;
    const admission_conditions conditions{.self = self,
                                          .is_leaving = expected.was_leaving,
                                          .overload_reason = item.is_busy ? "full" : ""};
    const auto decision = table.admit(message_of(item, is_idempotent), conditions);
    const std::tuple message(item.key, item.attempt, item.holder_epoch);
    if (std::holds_alternative<start_decision>(decision)) {
        RC_ASSERT(!expected.not_run.contains(message));
        RC_ASSERT(item.holder_epoch > expected.fenced_epoch);
        RC_ASSERT(!expected.was_leaving);
        RC_ASSERT(!item.join_only);
        const auto earlier = expected.possibly_run.find(item.key);
        RC_ASSERT(earlier == expected.possibly_run.end() ||
                  (is_idempotent && earlier->second == verdict::may_have_run));
    } else if (const auto* refusal = std::get_if<refuse_decision>(&decision);
               refusal != nullptr && refusal->verdict == verdict::not_run) {
        expected.not_run.insert(message);
    }
}

void check_finish(admission_table& table, expected_state& expected, const step& item)
{
    const request_key key{"w", item.key};
    const auto running = table.running().find(key);
    if (running == table.running().end()) {
        return;
    }
    if (item.end == verdict::not_run) {
        expected.not_run.emplace(item.key, running->second.attempt, running->second.holder.epoch);
    } else {
        expected.possibly_run[item.key] = item.end;
    }
    table.finish(key, item.end);
    if (expected.possibly_run.contains(item.key)) {
        RC_ASSERT(table.lookup(key).state == key_state::finished);
        RC_ASSERT(table.lookup(key).verdict != verdict::not_run);
    }
}

TEST_CASE("In any order of messages, not_run holds and a key that ran does not run again")
{
    const bool is_idempotent = GENERATE(true, false);
    const bool holds = rc::check([&] {
        admission_table table;
        expected_state expected;
        const auto steps = *rc::gen::container<std::vector<step>>(any_step());
        for (const step& item : steps) {
            switch (item.what) {
            case step::kind::admit:
                check_admission(table, expected, item, is_idempotent);
                break;
            case step::kind::finish:
                check_finish(table, expected, item);
                break;
            case step::kind::refuse:
                if (table.refuse({"w", item.key}).state == key_state::refused) {
                    RC_ASSERT(!expected.possibly_run.contains(item.key));
                    for (std::uint32_t attempt = 1; attempt < 5; ++attempt) {
                        for (std::uint64_t epoch = 1; epoch < 4; ++epoch) {
                            expected.not_run.emplace(item.key, attempt, epoch);
                        }
                    }
                }
                break;
            case step::kind::fence:
                table.fence({"router-a", item.holder_epoch});
                expected.fenced_epoch = std::max(expected.fenced_epoch, item.holder_epoch);
                break;
            }
        }
    });
    CHECK(holds);
}

} // namespace
} // namespace dotterelport::request
