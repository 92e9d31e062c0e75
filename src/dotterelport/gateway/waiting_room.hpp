#ifndef DOTTERELPORT_GATEWAY_WAITING_ROOM_HPP
#define DOTTERELPORT_GATEWAY_WAITING_ROOM_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "dotterelport/gateway/admission.hpp"
#include "dotterelport/net/event_loop.hpp"

namespace dotterelport::gateway {

/// Tells waiting requests when admission control ends their wait.
class waiting_room {
public:
    /// Called once when the wait ends, with whether the request may be sent.
    using handler = std::function<void(bool is_admitted)>;

    waiting_room(net::event_loop& loop, admission& admissions)
        : loop_(loop), admissions_(admissions)
    {}
    ~waiting_room() { loop_.cancel(timer_); }
    waiting_room(const waiting_room&) = delete;
    waiting_room& operator=(const waiting_room&) = delete;

    /// @brief Lets a request wait.
    /// @return number of the wait; 0 if too many requests wait, and the handler is not called
    std::uint64_t enter(const std::string& service, waiting_request request, handler on_end);

    /// @brief Ends the wait of a request without calling its handler.
    void leave(const std::string& service, std::uint64_t id);

    /// @brief Ends all waits with a rejection.
    void reject_all();

    /// @brief Records that a server answered a request.
    void slot_freed(const std::string& service, const std::string& server);

private:
    void check();
    void schedule_check(milliseconds delay);
    void end(std::uint64_t id, bool is_admitted);

    struct wait {
        std::string service;
        handler on_end;
    };

    net::event_loop& loop_;
    admission& admissions_;
    std::map<std::uint64_t, wait> waits_;
    std::uint64_t last_id_ = 0;
    net::timer_id timer_ = 0;
};

} // namespace dotterelport::gateway

#endif
