#ifndef DOTTERELPORT_NET_INCREMENTAL_TASK_HPP
#define DOTTERELPORT_NET_INCREMENTAL_TASK_HPP

#include <functional>
#include <memory>

#include "dotterelport/net/event_loop.hpp"

namespace dotterelport::net {

/// Work that is done in steps, one in each iteration of the event loop, so that it does not delay
/// what else happens on the loop.
class incremental_task {
public:
    /// Performs a step. Returns whether steps are left.
    using step = std::function<bool()>;

    explicit incremental_task(event_loop& loop) : loop_(loop) {}
    ~incremental_task() { cancel(); }
    incremental_task(const incremental_task&) = delete;
    incremental_task& operator=(const incremental_task&) = delete;

    /// @brief Begins new work with its first step. Work in progress is given up.
    void start(step next);

    void cancel();

    [[nodiscard]] bool is_running() const { return timer_ != 0; }

private:
    void run();

    event_loop& loop_;
    std::shared_ptr<step> step_;
    timer_id timer_ = 0;
};

} // namespace dotterelport::net

#endif
