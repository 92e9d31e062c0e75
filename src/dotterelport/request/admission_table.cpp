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

refuse_decision reject(failure_reason reason, std::string message, verdict value = verdict::not_run)
{
    return {reason, value, std::move(message)};
}

refuse_decision reject_reused_key()
{
    return reject(failure_reason::key_reused, "the key belongs to a request with other content");
}

key_report report_of(const key_memory::entry& value)
{
    return {value.is_refused ? key_state::refused : key_state::finished, value.attempt,
            value.verdict};
}

/// Tells whether a finished key may run again.
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
        // A join asks about an earlier message, which the former incarnation may have run.
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
        // The message that starts the request may still be on its way.
        return reject(failure_reason::unknown_key, "the key is not known here",
                      verdict::may_have_run);
    }
    return admit_new(message, conditions);
}

admission_decision admission_table::admit_new(const admission& message,
                                              const admission_conditions& conditions)
{
    // These refusals need no entry in known_: a copy of the message is refused again.
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
    const bool expired = message.deadline <= milliseconds{0};
    if (expired || !conditions.overload.empty()) {
        // The limit may no longer be reached when a copy of this message arrives.
        close_attempt(message.key, message.attempt, verdict::not_run, message.digest);
        return expired ? reject(failure_reason::deadline, "the deadline has passed")
                       : reject(failure_reason::busy, conditions.overload);
    }
    running_.emplace(message.key, running_request{message.attempt, message.holder, message.budget,
                                                  message.upper_tokens, message.digest});
    return start_decision{};
}

void admission_table::finish(const request_key& key, verdict value)
{
    const auto found = running_.find(key);
    if (found == running_.end()) {
        return;
    }
    close_attempt(key, found->second.attempt, value, found->second.digest);
    running_.erase(found);
}

void admission_table::close_attempt(const request_key& key, std::uint32_t attempt, verdict value,
                                    const std::string& digest)
{
    // After an attempt that may have run, a later one that did not run leaves the key in doubt.
    const auto earlier = known_.find(key);
    if (value == verdict::not_run && earlier && !earlier->is_refused) {
        value = earlier->verdict;
    }
    known_.put(key, {attempt, value == verdict::not_run, value, key_memory::hash_digest(digest)});
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
