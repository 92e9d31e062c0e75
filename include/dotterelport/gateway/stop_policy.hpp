#ifndef DOTTERELPORT_GATEWAY_STOP_POLICY_HPP
#define DOTTERELPORT_GATEWAY_STOP_POLICY_HPP

#include "dotterelport/base/clock.hpp"
#include "dotterelport/gateway/service_catalogue.hpp"

namespace dotterelport::gateway {

/// The order to stop, as it was received.
struct stop_order {
    milliseconds received{0};
    /// Time after it at which the process is killed.
    milliseconds grace{0};

    /// @brief Time at which the last answers have to be complete.
    [[nodiscard]] milliseconds answers_until() const;
};

/// @brief Tells whether a request that arrives after the order is still taken. Answers the pattern
/// of gateways that are restarted in turn faster than one of them drains: for a while all of them
/// stop, and callers have no other one to go to. A stream may take as long as it likes and must not
/// be cut, so streams are taken only at first; another answer can be ended in time.
[[nodiscard]] bool takes_request(const stop_order& order, const route& target, milliseconds now);

/// @brief Tells whether a stopping gateway may leave.
/// @param is_idle no request is under way here or relies on this gateway's budgets
/// @param is_last others are known, and all of them stop or are out of reach
[[nodiscard]] bool may_leave(const stop_order& order, milliseconds now, bool is_idle, bool is_last);

} // namespace dotterelport::gateway

#endif
