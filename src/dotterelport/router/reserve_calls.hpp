#ifndef DOTTERELPORT_ROUTER_RESERVE_CALLS_HPP
#define DOTTERELPORT_ROUTER_RESERVE_CALLS_HPP

#include <map>
#include <string>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::router {

/// Calls of other routers that reserve tokens here. A router that has stopped waiting for an answer
/// cancels its call; the cancellation may arrive before the call, while it is served or after it.
class reserve_calls {
public:
    enum class state {
        unknown,
        in_progress,
        /// The call reserved tokens.
        reserved,
        cancelled,
        /// The call ended without a reservation.
        ended,
    };

    /// @brief Records that a call has arrived. A cancelled call stays cancelled.
    void begin(const std::string& call, milliseconds now);
    /// @brief Records that a call reserved tokens. An earlier call for the same reservation no
    /// longer holds it. A cancelled call stays cancelled.
    void reserved(const std::string& call, const std::string& reservation, milliseconds now);
    /// @brief Records that a call ended without a reservation. A cancelled call stays cancelled.
    void refused(const std::string& call, milliseconds now);
    /// @brief Cancels a call.
    /// @return state before
    state cancel(const std::string& call, milliseconds now);
    [[nodiscard]] bool is_cancelled(const std::string& call) const;
    /// @brief Returns whether a call that was not cancelled holds a reservation.
    [[nodiscard]] bool is_held(const std::string& reservation) const;
    /// @brief Forgets calls that changed before a time.
    void forget_before(milliseconds time);
    [[nodiscard]] std::size_t size() const { return calls_.size(); }

private:
    struct entry {
        state current = state::unknown;
        std::string reservation;
        milliseconds changed_at{0};
    };

    void set(const std::string& call, state next, const std::string& reservation, milliseconds now);

    std::map<std::string, entry> calls_;
    /// Call that holds each reservation.
    std::map<std::string, std::string> holders_;
};

} // namespace dotterelport::router

#endif
