#ifndef DOTTERELPORT_GATEWAY_STOP_POLICY_HPP
#define DOTTERELPORT_GATEWAY_STOP_POLICY_HPP

#include "dotterelport/base/clock.hpp"
#include "dotterelport/gateway/service_catalogue.hpp"

namespace dotterelport::gateway {

/// A received order to stop the process.
struct stop_order {
    milliseconds received{0};
    /// Time from the order until the process is killed.
    milliseconds grace{0};

    /// The process is about to exit and accepts no request any more.
    bool closing = false;

    /// @brief Time by which all answers must be complete.
    [[nodiscard]] milliseconds answers_until() const;
};

/// @brief Returns whether a request that arrives after the stop order is still accepted. A stream
/// may last for any time and must not be cut, so streams are accepted only shortly after the order.
/// Other requests are accepted while their whole time limit remains, so that a slow server does not
/// leave them unanswered. When gateways are restarted in turn faster than one of them drains, all
/// of them are stopping for a while, and callers have no other gateway to use: requests are then
/// accepted while their answer is likely to be in time.
/// @param time_limit longest time that the answer may take
/// @param others_serve whether other gateways are in reach that are not stopping
[[nodiscard]] bool accepts_request(const stop_order& order, const route& target,
                                   milliseconds time_limit, bool others_serve, milliseconds now);

/// @brief Time after which a caller that a stopping gateway refuses should come back.
/// @param others_serve whether other gateways are in reach that are not stopping
[[nodiscard]] milliseconds retry_after_stop(const stop_order& order, bool others_serve,
                                            milliseconds now);

/// @brief Returns whether a stopping gateway may stop serving and exit.
/// @param is_idle no request is in progress here or depends on this gateway's budgets
/// @param is_last other gateways are known, and all of them are stopping or unreachable
[[nodiscard]] bool may_leave(const stop_order& order, milliseconds now, bool is_idle, bool is_last);

} // namespace dotterelport::gateway

#endif
