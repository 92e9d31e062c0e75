#include "waiting_room.hpp"

#include <optional>
#include <utility>

namespace dotterelport::gateway {
namespace {

/// Interval at which the waiting requests are checked.
constexpr milliseconds check_interval{20};

} // namespace

std::uint64_t waiting_room::enter(const std::string& service, waiting_request request,
                                  handler on_end)
{
    request.id = ++last_id_;
    std::optional<std::uint64_t> displaced;
    const bool is_waiting = admissions_.push(service, request, displaced);
    if (is_waiting) {
        waits_.emplace(request.id, wait{.service = service, .on_end = std::move(on_end)});
        if (timer_ == 0) {
            schedule_check(check_interval);
        }
    }
    if (displaced) {
        end(*displaced, false);
    }
    return is_waiting ? request.id : 0;
}

void waiting_room::leave(const std::string& service, std::uint64_t id)
{
    if (waits_.erase(id) > 0) {
        admissions_.remove(service, id);
    }
}

void waiting_room::reject_all()
{
    for (const auto& [id, item] : std::map(waits_)) {
        admissions_.remove(item.service, id);
        end(id, false);
    }
}

void waiting_room::slot_freed(const std::string& service, const std::string& server)
{
    admissions_.slot_freed(service, server);
    if (!waits_.empty()) {
        schedule_check(milliseconds{0});
    }
}

void waiting_room::schedule_check(milliseconds delay)
{
    loop_.cancel(timer_);
    timer_ = loop_.schedule(delay, [this] {
        timer_ = 0;
        check();
    });
}

void waiting_room::check()
{
    for (const auto& ended : admissions_.take_ended(steady_now())) {
        end(ended.id, ended.is_admitted);
    }
    if (!waits_.empty() && timer_ == 0) {
        schedule_check(check_interval);
    }
}

void waiting_room::end(std::uint64_t id, bool is_admitted)
{
    // A request that ends may have ended the wait of another one.
    if (auto item = waits_.extract(id)) {
        item.mapped().on_end(is_admitted);
    }
}

} // namespace dotterelport::gateway
