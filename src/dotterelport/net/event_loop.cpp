#include "dotterelport/net/event_loop.hpp"

#include <algorithm>
#include <csignal>
#include <utility>

#include <h2o.h>

namespace dotterelport::net {
namespace {

/// Longest wait for sockets; bounds how late a signal is noticed.
constexpr milliseconds max_wait{50};

volatile std::sig_atomic_t terminate_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

void request_terminate(int /*signal*/)
{
    terminate_requested = 1;
}

void request_reload(int /*signal*/)
{
    reload_requested = 1;
}

} // namespace

event_loop::event_loop() : loop_(h2o_evloop_create())
{
    // A write to a closed connection must return an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    // The default action of SIGHUP ends the process, but a daemon that does not reload its settings
    // must keep running.
    std::signal(SIGHUP, SIG_IGN);
}

// The h2o loop is not destroyed: connections of h2o may still refer to it, and a process has one
// loop.
event_loop::~event_loop() = default;

void event_loop::run()
{
    stopped_ = false;
    while (!stopped_) {
        run_once(max_wait);
    }
}

void event_loop::run_for(milliseconds duration)
{
    stopped_ = false;
    const milliseconds end = steady_now() + duration;
    for (milliseconds now = steady_now(); !stopped_ && now < end; now = steady_now()) {
        run_once(std::min(max_wait, end - now));
    }
}

void event_loop::stop()
{
    stopped_ = true;
}

timer_id event_loop::schedule(milliseconds delay, std::function<void()> function)
{
    const milliseconds due = steady_now() + std::max(delay, milliseconds{0});
    const timer_id timer = ++last_timer_;
    timers_.emplace(timer_key{due, timer}, std::move(function));
    due_times_.emplace(timer, due);
    return timer;
}

void event_loop::post(std::function<void()> function)
{
    schedule(milliseconds{0}, std::move(function));
}

void event_loop::cancel(timer_id timer)
{
    const auto found = due_times_.find(timer);
    if (found == due_times_.end()) {
        return;
    }
    timers_.erase(timer_key{found->second, timer});
    due_times_.erase(found);
}

void event_loop::on_terminate(std::function<void()> function)
{
    on_terminate_ = std::move(function);
    std::signal(SIGTERM, request_terminate);
    std::signal(SIGINT, request_terminate);
}

void event_loop::on_reload(std::function<void()> function)
{
    on_reload_ = std::move(function);
    std::signal(SIGHUP, request_reload);
}

void event_loop::run_once(milliseconds limit)
{
    if (terminate_requested != 0 && on_terminate_) {
        terminate_requested = 0;
        std::exchange(on_terminate_, nullptr)();
    }
    if (reload_requested != 0 && on_reload_) {
        reload_requested = 0;
        on_reload_();
    }
    // A write that a timer function makes completes in h2o's list of pending calls, which h2o runs
    // only after it has waited for sockets. The wait is therefore 0 after timer functions ran;
    // otherwise each exchange would take up to max_wait longer.
    const bool has_pending = run_due_timers();
    milliseconds wait = has_pending ? milliseconds{0} : limit;
    if (!timers_.empty() && !has_pending) {
        wait = std::clamp(timers_.begin()->first.first - steady_now(), milliseconds{0}, limit);
    }
    if (!stopped_) {
        h2o_evloop_run(loop_, static_cast<std::int32_t>(wait.count()));
    }
}

bool event_loop::run_due_timers()
{
    // Timers set by a timer function run in the next iteration, so that sockets are not starved.
    const milliseconds now = steady_now();
    const timer_id newest = last_timer_;
    bool has_run = false;
    while (!timers_.empty() && !stopped_) {
        const auto first = timers_.begin();
        const auto [due, timer] = first->first;
        if (due > now || timer > newest) {
            break;
        }
        auto function = std::move(first->second);
        timers_.erase(first);
        due_times_.erase(timer);
        has_run = true;
        function();
    }
    return has_run;
}

periodic_timer::periodic_timer(event_loop& loop, milliseconds interval,
                               std::function<void()> function)
    : loop_(loop), interval_(interval), function_(std::move(function))
{
    arm();
}

periodic_timer::~periodic_timer()
{
    loop_.cancel(timer_);
}

void periodic_timer::arm()
{
    timer_ = loop_.schedule(interval_, [this] {
        arm();
        function_();
    });
}

} // namespace dotterelport::net
