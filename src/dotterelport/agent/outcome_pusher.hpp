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

/// Time between two pushes to a holder.
inline constexpr milliseconds push_interval{100};

/// Time after which outcomes that are not durable are sent again. Their holder makes them durable
/// once in its flush period, of 500 ms by default; repeating them in every push would multiply the
/// traffic by five.
inline constexpr milliseconds repeat_interval{500};

/// Sends outcomes to their holders until these report them durable.
class outcome_pusher {
public:
    outcome_pusher(net::event_loop& loop, net::rpc_client& rpc, request::outcome_list& outcomes,
                   std::uint64_t seed);

    /// @brief Sets the incarnation that the messages name; nothing is sent before.
    void set_self(const incarnation& self) { self_ = self; }

private:
    struct holder_state {
        bool in_flight = false;
        std::uint32_t failures = 0;
        milliseconds next_push{0};
        /// Number after which the next batch starts; outcomes before it were sent.
        std::uint64_t sent_up_to = 0;
        /// Time from which outcomes that were sent are sent again.
        milliseconds next_repeat{0};
    };

    void push_all();
    void push(const incarnation& holder, holder_state& state);
    void take_answer(const incarnation& holder, const net::rpc_result& result,
                     std::uint64_t last_number);

    net::rpc_client& rpc_;
    request::outcome_list& outcomes_;
    incarnation self_;
    std::mt19937_64 generator_;
    std::map<incarnation, holder_state> holders_;
    /// Expires with this object, so that late answers are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::periodic_timer timer_;
};

} // namespace dotterelport::agent

#endif
