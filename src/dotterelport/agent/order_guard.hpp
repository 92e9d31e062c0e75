#ifndef DOTTERELPORT_AGENT_ORDER_GUARD_HPP
#define DOTTERELPORT_AGENT_ORDER_GUARD_HPP

#include <cstdint>
#include <functional>

#include "dotterelport/base/json.hpp"
#include "dotterelport/net/http_client.hpp"

namespace dotterelport::agent {

/// Passes orders to a model engine and refuses those with a stale fencing number, since some
/// engines ignore the number.
class order_guard {
public:
    order_guard(net::event_loop& loop, const net::endpoint& address)
        : client_(loop), address_(address)
    {}

    /// @brief Handles an order with the fields fencing, action and those of the action.
    /// @param done receives {accepted, highest_fencing}
    /// @throws net::rpc_error if the order has no fencing number or action
    void handle(const json& order, std::function<void(const json&)> done);

    [[nodiscard]] std::uint64_t highest_fencing() const { return highest_fencing_; }

private:
    net::http_client client_;
    net::endpoint address_;
    std::uint64_t highest_fencing_ = 0;
};

} // namespace dotterelport::agent

#endif
