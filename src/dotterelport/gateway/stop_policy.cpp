#include "dotterelport/gateway/stop_policy.hpp"

#include <algorithm>

namespace dotterelport::gateway {
namespace {

/// Time for which connections still arrive after the process stopped being ready: the balancer asks
/// once a second and needs two answers.
constexpr milliseconds balancer_lag{2'300};

/// Streams that arrive later than this are refused: the platform excuses one that is cut at the end
/// of the grace period only if it was sent within 3 s of the order, which is noticed up to 50 ms
/// late and checked every 100 ms.
constexpr milliseconds streams_until{2'700};

/// Time kept free at the end of the grace period to return the grants and leave in order.
constexpr milliseconds stop_margin{350};

/// Multiple of the latency that callers expect in which nearly all answers are complete; in the
/// bench, all but one in 10,000 take less than 2.2 times that.
constexpr int patience = 4;

/// The same for routes that tell no expected latency.
constexpr milliseconds default_patience{1'200};

} // namespace

milliseconds stop_order::answers_until() const
{
    return received + grace - stop_margin;
}

bool takes_request(const stop_order& order, const route& target, milliseconds now)
{
    if (target.kind == route_kind::streaming) {
        return now - order.received < streams_until;
    }
    const milliseconds needed = target.target_latency > milliseconds{0}
                                    ? target.target_latency * patience
                                    : default_patience;
    return now + needed <= order.answers_until();
}

bool may_leave(const stop_order& order, milliseconds now, bool is_idle, bool is_last)
{
    if (now >= order.answers_until()) {
        return true;
    }
    return is_idle && !is_last && now - order.received >= balancer_lag;
}

} // namespace dotterelport::gateway
