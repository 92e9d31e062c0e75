#include "dotterelport/request/admission_table.hpp"

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::request {
namespace {

constexpr enum_names<key_state, 4> state_names{{
    {key_state::unknown, "unknown"},
    {key_state::running, "running"},
    {key_state::finished, "finished"},
    {key_state::refused, "refused"},
}};

refuse_decision reject(failure_reason reason, std::string message,
                       verdict message_verdict = verdict::not_run)
{
    return {reason, message_verdict, std::move(message)};
}

refuse_decision reject_reused_key()
{
    return reject(failure_reason::key_reused, "the key belongs to a request with other content");
}

key_report report_of(const key_memory::entry& key_entry)
{
    return {key_entry.is_refused ? key_state::refused : key_state::finished, key_entry.attempt,
            key_entry.verdict};
}

/// Returns whether the request of a finished key may run again.
bool may_run_again(const key_memory::entry& known, const admission& message)
{
    return message.attempt > known.attempt && !message.join_only && message.idempotent &&
           known.verdict == verdict::may_have_run;
}

} // namespace

std::string_view to_string(key_state value)
{
    return name_of(state_names, value);
}

json to_json(const key_report& value)
{
    return {{"state", to_string(value.state)},
            {"attempt", value.attempt},
            {"verdict", to_string(value.verdict)}};
}

admission_decision admission_table::admit(const admission& message,
                                          const admission_conditions& conditions)
{
    if (message.agent != conditions.self) {
        // A join refers to an earlier message, which the previous agent incarnation may have run.
        return reject(failure_reason::wrong_incarnation,
                      "this is " + to_string(conditions.self) + ", not " + to_string(message.agent),
                      message.join_only ? verdict::may_have_run : verdict::not_run);
    }
    if (const auto found = running_.find(message.key); found != running_.end()) {
        if (found->second.digest != message.digest) {
            return reject_reused_key();
        }
        return join_decision{found->second.attempt, verdict::may_have_run};
    }
    const auto known = known_.find(message.key);
    if (known && known->is_refused && message.attempt <= known->attempt) {
        return reject(failure_reason::refused_key, "this attempt was refused before");
    }
    if (known && !known->is_refused) {
        if (known->digest_hash != key_memory::hash_digest(message.digest)) {
            return reject_reused_key();
        }
        if (!may_run_again(*known, message)) {
            return join_decision{known->attempt, known->verdict};
        }
    }
    if (message.join_only) {
        // The message that starts the request may still be in flight.
        return reject(failure_reason::unknown_key, "the key is not known here",
                      verdict::may_have_run);
    }
    return admit_new(message, conditions);
}

admission_decision admission_table::admit_new(const admission& message,
                                              const admission_conditions& conditions)
{
    // The next three refusals need no entry in known_, because a late copy of the message is
    // refused for the same reason.
    if (fences_.is_fenced(message.holder)) {
        return reject(failure_reason::fenced, to_string(message.holder) + " was closed");
    }
    if (conditions.is_leaving) {
        return reject(failure_reason::leaving, "the backend server is leaving");
    }
    if (message.generation < conditions.generation &&
        conditions.generation_in_force >= generation_grace) {
        return reject(failure_reason::stale_configuration,
                      "generation " + std::to_string(conditions.generation) + " is in force");
    }
    const bool expired = message.time_left <= milliseconds{0};
    if (expired || !conditions.overload_reason.empty()) {
        // Without this entry, a late copy of the message could start once the overload has ended.
        close_attempt(message.key, message.attempt, verdict::not_run, message.digest);
        return expired ? reject(failure_reason::deadline, "the deadline has passed")
                       : reject(failure_reason::busy, conditions.overload_reason);
    }
    running_.emplace(message.key, running_request{message.attempt, message.holder, message.budget,
                                                  message.upper_tokens, message.digest});
    return start_decision{};
}

void admission_table::finish(const request_key& key, verdict final_verdict)
{
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return;
    }
    close_attempt(key, found->second.attempt, final_verdict, found->second.digest);
    running_.erase(found);
}

void admission_table::close_attempt(const request_key& key, std::uint32_t attempt,
                                    verdict attempt_verdict, const std::string& digest)
{
    // If an earlier attempt may have run, the key keeps that verdict although this attempt did not
    // run.
    const auto earlier = known_.find(key);
    if (attempt_verdict == verdict::not_run && earlier && !earlier->is_refused) {
        attempt_verdict = earlier->verdict;
    }
    known_.put(key, {attempt, attempt_verdict == verdict::not_run, attempt_verdict,
                     key_memory::hash_digest(digest)});
}

key_report admission_table::lookup(const request_key& key) const
{
    if (const auto found = running_.find(key); found != running_.end()) {
        return {key_state::running, found->second.attempt, verdict::may_have_run};
    }
    const auto known = known_.find(key);
    return known ? report_of(*known) : key_report{};
}

key_report admission_table::refuse(const request_key& key, std::uint32_t attempt)
{
    const key_report report = lookup(key);
    const bool is_settled =
        report.state == key_state::running || report.state == key_state::finished;
    if (is_settled || (report.state == key_state::refused && report.attempt >= attempt)) {
        return report;
    }
    known_.put(key, {attempt, true, verdict::not_run, 0});
    return lookup(key);
}

} // namespace dotterelport::request
