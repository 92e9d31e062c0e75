#ifndef DOTTERELPORT_ROUTER_FAILURE_POLICY_HPP
#define DOTTERELPORT_ROUTER_FAILURE_POLICY_HPP

#include "caller_error.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::router {

/// Handling of a failed attempt, by the reason of the failure.
struct failure_rule {
    request::failure_reason reason;
    /// Error code that the caller receives if there is no further attempt.
    error_code code;
    /// Whether another attempt may succeed.
    bool retry;
    /// Whether the agent refused the request without load on a backend server. A retry after such a
    /// refusal is not counted against the retry budget, which a rolling restart would otherwise
    /// exhaust.
    bool free_retry;
    /// Whether the same agent may accept the next attempt.
    bool same_agent;
};

/// @brief Rule for a failure reason.
const failure_rule& rule_of(request::failure_reason reason);

/// State of a request when an attempt fails.
struct attempt_state {
    bool idempotent = true;
    /// A part of the answer was sent to the caller; a new attempt could contradict it.
    bool answer_started = false;
    int attempts = 1;
};

/// Maximum number of attempts for one request, including the first.
inline constexpr int max_attempts = 4;

/// @brief Returns whether another attempt is allowed, apart from the retry budget.
bool may_attempt_again(const request::error_frame& failure, const attempt_state& state);

/// @brief Error that the caller receives for a failed attempt.
caller_error to_caller_error(const request::error_frame& failure);

} // namespace dotterelport::router

#endif
