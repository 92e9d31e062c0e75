#include "dotterelport/gateway/stop_policy.hpp"

#include <algorithm>

namespace dotterelport::gateway {
namespace {

/// Time for which connections still arrive after the process stopped being ready: the balancer
/// checks readiness once a second and reacts after two failed checks.
constexpr milliseconds balancer_delay{2'300};

/// Streams that arrive later than this after the order are refused: the platform tolerates a stream
/// that is cut at the end of the grace period only if it was sent within 3 s of the order. The
/// order is noticed up to 50 ms late and checked every 100 ms.
constexpr milliseconds stream_accept_limit{2'700};

/// Time reserved at the end of the grace period to return the grants and shut down cleanly.
constexpr milliseconds stop_margin{350};

/// Retry-After while another gateway serves: a client reconnects there.
constexpr milliseconds other_gateway_retry_after{1};

/// Time that the next run of a process needs until it serves.
constexpr milliseconds restart_time{1'000};

/// Multiple of the target latency within which nearly all answers are complete; in the benchmark,
/// all but one in 10,000 answers take less than 2.2 times the target latency.
constexpr int latency_multiple = 4;

/// Assumed time within which nearly all answers are complete on routes without a target latency.
constexpr milliseconds default_answer_time{1'200};

} // namespace

milliseconds stop_order::answers_until() const
{
    return received + grace - stop_margin;
}

bool accepts_request(const stop_order& order, const route& target, milliseconds time_limit,
                     bool others_serve, milliseconds now)
{
    if (order.closing) {
        return false;
    }
    if (target.kind == route_kind::streaming) {
        return now - order.received < stream_accept_limit;
    }
    const milliseconds likely = target.target_latency > milliseconds{0}
                                    ? target.target_latency * latency_multiple
                                    : default_answer_time;
    const milliseconds needed = others_serve ? time_limit : std::min(likely, time_limit);
    return now + needed <= order.answers_until();
}

milliseconds retry_after_stop(const stop_order& order, bool others_serve, milliseconds now)
{
    return others_serve
               ? other_gateway_retry_after
               : std::max(milliseconds{0}, order.received + order.grace - now) + restart_time;
}

bool may_leave(const stop_order& order, milliseconds now, bool is_idle, bool is_last)
{
    if (now >= order.answers_until()) {
        return true;
    }
    return is_idle && !is_last && now - order.received >= balancer_delay;
}

} // namespace dotterelport::gateway
