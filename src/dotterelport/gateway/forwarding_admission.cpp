// Which requests are rejected, or wait for a free slot, while capacity is short.

#include <algorithm>
#include <utility>

#include "dotterelport/gateway/events.hpp"
#include "forwarding.hpp"

namespace dotterelport::gateway {
namespace {

constexpr int unavailable = 503;
constexpr int first_server_error = 500;

} // namespace

int forwarding::priority() const
{
    return workspace_ == nullptr ? route_->priority
                                 : workspace_->priority.value_or(route_->priority);
}

bool forwarding::refuse_late(const routing::placement_choice& choice)
{
    // A request that has run, or has begun to be answered, must not be reported as not run.
    if (may_have_run_ || exchange_->is_started() || !context_.admissions.is_active(service_)) {
        return false;
    }
    const auto decision =
        context_.admissions.decide(service_,
                                   {.priority = priority(),
                                    .time_limit = time_limit(),
                                    .time_left = time_left(),
                                    .expected_start_ms = choice.expected_start_ms},
                                   steady_now());
    const auto* rejection = std::get_if<reject_now>(&decision);
    if (rejection == nullptr) {
        return false;
    }
    json fields = log_fields();
    fields["reason"] = rejection->reason;
    fields["server"] = choice.server;
    fields["expected_start_ms"] = choice.expected_start_ms;
    fields["time_left_ms"] = time_left().count();
    log(events::request_not_admitted, fields);
    refuse(unavailable, rejection->reason, rejection->retry_after);
    return true;
}

void forwarding::record_start()
{
    if (std::exchange(attempt_->has_started, true)) {
        return;
    }
    // Refusals and errors come without waiting and say nothing about the queue.
    if (attempt_->head &&
        (attempt_->answer.not_run || attempt_->head->status >= first_server_error)) {
        return;
    }
    const milliseconds now = steady_now();
    context_.admissions.record_start(service_, attempt_->expected_start_ms, now - attempt_->sent,
                                     route_->target_latency, now);
}

bool forwarding::is_excluded_after_refusals(const std::string& server) const
{
    return !refused_servers_.empty() && refused_servers_.size() >= route_->max_attempts &&
           std::find(refused_servers_.begin(), refused_servers_.end(), server) ==
               refused_servers_.end();
}

bool forwarding::wait_after(attempt_end end)
{
    const bool is_full = end == attempt_end::server_refused || end == attempt_end::no_server ||
                         end == attempt_end::servers_limited;
    if (!is_full || refused_servers_.empty() || may_have_run_ || context_.stopping) {
        return false;
    }
    const milliseconds now = steady_now();
    const auto load = context_.placement.loads().estimate(refused_servers_.back(), now);
    const auto& head = exchange_->head();
    const auto decision = context_.admissions.decide_after_refusal(
        {.bytes = head.target.size() + exchange_->body().size(),
         .held = now - exchange_->received(),
         .target_latency = route_->target_latency,
         .time_left = time_left(),
         .ms_per_slot = load.duration_ms / load.capacity,
         .permitted_after = context_.statements.time_until_permitted(refused_servers_.back())});
    json fields = log_fields();
    fields["server"] = refused_servers_.back();
    fields["sends"] = sends_;
    fields["time_left_ms"] = time_left().count();
    if (const auto* rejection = std::get_if<reject_now>(&decision)) {
        fields["reason"] = rejection->reason;
        log(events::request_not_admitted, fields);
        refuse(unavailable, rejection->reason, rejection->retry_after);
        return true;
    }
    const milliseconds wait = std::get<wait_for_slot>(decision).time;
    fields["wait_ms"] = wait.count();
    log(events::request_waits, fields);
    context_.counters.record_wait(service_);
    waiting_place_ = std::make_unique<waiting_place>(context_.admissions.waiting(),
                                                     head.target.size() + exchange_->body().size());
    slot_timer_ =
        context_.loop.schedule(wait, [self = shared_from_this()] { self->slot_expected(); });
    return true;
}

void forwarding::slot_expected()
{
    slot_timer_ = 0;
    waiting_place_.reset();
    if (finished_) {
        return;
    }
    if (context_.stopping) {
        const bool others_serve = !context_.link.live_peers().empty();
        refuse(unavailable, "stopping",
               retry_after_stop(*context_.stopping, others_serve, steady_now()));
        return;
    }
    if (!retries().try_retry()) {
        wait_after(attempt_end::server_refused);
        return;
    }
    // A server that refused the request has not run it, so the request may be sent there again.
    std::erase_if(tried_servers_, [this](const std::string& server) {
        return std::find(refused_servers_.begin(), refused_servers_.end(), server) !=
               refused_servers_.end();
    });
    dispatch();
}

} // namespace dotterelport::gateway
