#include "reserve_calls.hpp"

namespace dotterelport::router {

void reserve_calls::set(const std::string& call, state next, const std::string& reservation,
                        milliseconds now)
{
    auto& item = calls_[call];
    if (item.current != state::cancelled) {
        item = {.current = next, .reservation = reservation, .changed_at = now};
    }
}

void reserve_calls::begin(const std::string& call, milliseconds now)
{
    set(call, state::in_progress, {}, now);
}

void reserve_calls::reserved(const std::string& call, const std::string& reservation,
                             milliseconds now)
{
    auto& holder = holders_[reservation];
    if (!holder.empty() && holder != call) {
        set(holder, state::ended, {}, now);
    }
    holder = call;
    set(call, state::reserved, reservation, now);
}

void reserve_calls::refused(const std::string& call, milliseconds now)
{
    set(call, state::ended, {}, now);
}

reserve_calls::state reserve_calls::cancel(const std::string& call, milliseconds now)
{
    const auto found = calls_.find(call);
    const state before = found == calls_.end() ? state::unknown : found->second.current;
    set(call, state::cancelled, {}, now);
    return before;
}

bool reserve_calls::is_cancelled(const std::string& call) const
{
    const auto found = calls_.find(call);
    return found != calls_.end() && found->second.current == state::cancelled;
}

bool reserve_calls::is_held(const std::string& reservation) const
{
    const auto holder = holders_.find(reservation);
    const auto found = holder == holders_.end() ? calls_.end() : calls_.find(holder->second);
    return found != calls_.end() && found->second.current == state::reserved;
}

void reserve_calls::forget_before(milliseconds time)
{
    std::erase_if(calls_, [time](const auto& item) { return item.second.changed_at < time; });
    std::erase_if(holders_, [this](const auto& item) { return !calls_.contains(item.second); });
}

} // namespace dotterelport::router
