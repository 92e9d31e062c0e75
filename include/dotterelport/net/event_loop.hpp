#ifndef DOTTERELPORT_NET_EVENT_LOOP_HPP
#define DOTTERELPORT_NET_EVENT_LOOP_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "dotterelport/base/clock.hpp"

struct st_h2o_evloop_t;

namespace dotterelport::net {

/// Identifies a pending timer; 0 is never used.
using timer_id = std::uint64_t;

/// The event loop of a process: handles sockets (through h2o) and timers on the calling thread.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @brief Runs until stop() is called.
    void run();

    /// @brief Runs for a limited time or until stop() is called; used by tests and tools.
    void run_for(milliseconds duration);

    /// @brief Makes run() return after the current iteration.
    void stop();

    /// @brief Runs a function once after a delay.
    /// @return identifier for cancel()
    timer_id schedule(milliseconds delay, std::function<void()> function);

    /// @brief Runs a function in the next iteration.
    void post(std::function<void()> function);

    /// @brief Cancels a pending timer; an unknown or fired one is ignored.
    void cancel(timer_id timer);

    /// @brief Sets a function that is called once, when the process receives SIGTERM or SIGINT.
    void on_terminate(std::function<void()> function);

    /// @brief Sets a function that is called each time the process receives SIGHUP.
    void on_reload(std::function<void()> function);

    /// @brief The h2o loop, for the HTTP server and client.
    [[nodiscard]] st_h2o_evloop_t* native() const { return loop_; }

private:
    using timer_key = std::pair<milliseconds, timer_id>;

    void run_once(milliseconds limit);
    /// @return whether any function was called
    bool run_due_timers();

    st_h2o_evloop_t* loop_;
    bool stopped_ = false;
    timer_id last_timer_ = 0;
    std::map<timer_key, std::function<void()>> timers_;
    std::unordered_map<timer_id, milliseconds> due_times_;
    std::function<void()> on_terminate_;
    std::function<void()> on_reload_;
};

/// Runs a function at a fixed interval for as long as the object lives.
class periodic_timer {
public:
    periodic_timer(event_loop& loop, milliseconds interval, std::function<void()> function);
    ~periodic_timer();
    periodic_timer(const periodic_timer&) = delete;
    periodic_timer& operator=(const periodic_timer&) = delete;

private:
    void arm();

    event_loop& loop_;
    milliseconds interval_;
    std::function<void()> function_;
    timer_id timer_ = 0;
};

} // namespace dotterelport::net

#endif
