#ifndef DOTTERELPORT_ROUTER_FAILURE_POLICY_HPP
#define DOTTERELPORT_ROUTER_FAILURE_POLICY_HPP

#include "caller_error.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::router {

/// What follows from the reason for which an attempt failed.
struct failure_rule {
    request::failure_reason reason;
    /// What the caller is told if there is no further attempt.
    error_code code;
    /// Whether another attempt may succeed.
    bool retry;
    /// Whether the agent turned the request away without load on a backend server. Such retries
    /// are not counted against the retry budget, or a rolling restart would use it up.
    bool redirect;
    /// Whether the same agent may accept the next attempt.
    bool same_agent;
};

/// @brief Rule for a reason.
const failure_rule& rule_of(request::failure_reason reason);

/// State of a request when an attempt fails.
struct attempt_state {
    bool idempotent = true;
    /// A part of the answer has gone to the caller, which a new attempt could contradict.
    bool relayed = false;
    int attempts = 1;
};

/// Attempts at most for one request, the first included.
inline constexpr int max_attempts = 4;

/// @brief Tells whether another attempt is allowed, as far as the retry budget does not matter.
bool may_attempt_again(const request::error_frame& failure, const attempt_state& state);

/// @brief What the caller is told about a failure.
caller_error to_caller_error(const request::error_frame& failure);

} // namespace dotterelport::router

#endif
