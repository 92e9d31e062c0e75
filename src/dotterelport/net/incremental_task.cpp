#include "dotterelport/net/incremental_task.hpp"

#include <utility>

namespace dotterelport::net {

void incremental_task::start(step next)
{
    cancel();
    step_ = std::make_shared<step>(std::move(next));
    run();
}

void incremental_task::cancel()
{
    loop_.cancel(std::exchange(timer_, 0));
    step_ = nullptr;
}

void incremental_task::run()
{
    timer_ = 0;
    // A step may start other work, or cancel this.
    const auto current = step_;
    const bool has_more = (*current)();
    if (has_more && step_ == current) {
        timer_ = loop_.schedule(milliseconds{0}, [this] { run(); });
    }
}

} // namespace dotterelport::net
