#include "failure_policy.hpp"

#include <algorithm>
#include <array>

namespace dotterelport::router {
namespace {

using request::failure_reason;

constexpr std::array<failure_rule, 15> rules{{
    {failure_reason::fenced, error_code::budget_unavailable, true, true, true},
    {failure_reason::leaving, error_code::leaving, true, true, false},
    {failure_reason::stale_configuration, error_code::not_ready, true, true, true},
    {failure_reason::wrong_incarnation, error_code::backend_error, true, true, false},
    {failure_reason::quarantined, error_code::quarantined, false, false, false},
    {failure_reason::busy, error_code::busy, true, false, false},
    {failure_reason::refused_key, error_code::backend_error, true, true, true},
    {failure_reason::unknown_key, error_code::replay_gone, false, false, false},
    {failure_reason::replay_gone, error_code::replay_gone, false, false, false},
    {failure_reason::backend_unreachable, error_code::backend_error, true, false, false},
    {failure_reason::backend_crashed, error_code::backend_crashed, true, false, false},
    {failure_reason::backend_error, error_code::backend_error, true, false, false},
    {failure_reason::deadline, error_code::deadline, false, false, false},
    {failure_reason::cancelled, error_code::backend_error, false, false, false},
    {failure_reason::key_reused, error_code::key_reused, false, false, false},
}};

} // namespace

const failure_rule& rule_of(request::failure_reason reason)
{
    return *std::find_if(rules.begin(), rules.end(),
                         [reason](const failure_rule& rule) { return rule.reason == reason; });
}

bool may_attempt_again(const request::error_frame& failure, const attempt_state& state)
{
    return rule_of(failure.reason).retry && !state.answer_started &&
           state.attempts < max_attempts && may_retry(failure.verdict, state.idempotent);
}

caller_error to_caller_error(const request::error_frame& failure)
{
    const std::string message =
        failure.message.empty() ? std::string(to_string(failure.reason)) : failure.message;
    return {rule_of(failure.reason).code, message, failure.verdict};
}

} // namespace dotterelport::router
