#ifndef DOTTERELPORT_AGENT_OUTCOME_PUSHER_HPP
#define DOTTERELPORT_AGENT_OUTCOME_PUSHER_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/rpc.hpp"
#include "dotterelport/request/outcome_list.hpp"

namespace dotterelport::agent {

/// Time between two pushes of outcomes to a holder.
inline constexpr milliseconds push_interval{100};

/// Time after which outcomes that are not durable are sent again. The holder makes outcomes durable
/// once per flush period, which is 500 ms by default; sending them again in every push would
/// multiply the traffic by five.
inline constexpr milliseconds resend_interval{500};

/// Sends outcomes to their holders until the holders report them durable.
class outcome_pusher {
public:
    outcome_pusher(net::event_loop& loop, net::rpc_client& rpc, request::outcome_list& outcomes,
                   std::uint64_t seed);

    /// @brief Sets the agent's incarnation, which each message names. Nothing is sent before this
    /// call.
    void set_incarnation(const incarnation& self) { self_ = self; }

private:
    struct holder_state {
        bool in_flight = false;
        std::uint32_t failures = 0;
        milliseconds next_push_time{0};
        /// Number of the outcome sent last; the next batch starts after it.
        std::uint64_t last_sent_number = 0;
        /// Time from which outcomes that are not durable are sent again.
        milliseconds next_resend_time{0};
    };

    void push_all();
    void push(const incarnation& holder, holder_state& state);
    void handle_answer(const incarnation& holder, const net::rpc_result& result,
                       std::uint64_t last_number);

    net::rpc_client& rpc_;
    request::outcome_list& outcomes_;
    incarnation self_;
    std::mt19937_64 generator_;
    std::map<incarnation, holder_state> holders_;
    /// Expires with this object, so that late answers are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::periodic_timer timer_;
};

} // namespace dotterelport::agent

#endif
