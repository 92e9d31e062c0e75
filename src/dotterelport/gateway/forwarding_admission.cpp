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

bool forwarding::refuse_late(const routing::placement_choice& choice)
{
    // A request that has run, or has begun to be answered, must not be reported as not run.
    if (may_have_run_ || exchange_->is_started() || !context_.admissions.is_active(service_)) {
        return false;
    }
    const auto decision =
        context_.admissions.decide(service_, admission_request_of(view(), choice), steady_now());
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
    // Refusals and errors come without waiting and say nothing about the queue.
    if (attempt_->head &&
        (attempt_->answer.not_run || attempt_->head->status >= first_server_error)) {
        return;
    }
    const milliseconds now = steady_now();
    context_.admissions.record_start(service_, attempt_->expected_start_ms, now - attempt_->sent,
                                     route_->target_latency, now);
}

void forwarding::record_refusal(const std::string& server)
{
    if (!context_.admissions.is_active(service_)) {
        return;
    }
    std::erase(refused_servers_, server);
    refused_servers_.push_back(server);
    const milliseconds now = steady_now();
    const auto load = context_.placement.loads().estimate(server, now);
    context_.admissions.server_full(
        service_,
        {.server = server,
         .ms_per_slot = load.duration_ms / load.capacity,
         .permitted_after = context_.statements.time_until_permitted(server),
         .target_latency = route_->target_latency},
        now);
}

bool forwarding::wait_after(attempt_end end)
{
    const bool is_full = end == attempt_end::server_refused || end == attempt_end::no_server ||
                         end == attempt_end::servers_limited;
    if (!is_full || refused_servers_.empty() || may_have_run_ || context_.stopping) {
        return false;
    }
    refused_request refused{.held = steady_now() - exchange_->received(),
                            .target_latency = route_->target_latency,
                            .time_left = time_left(),
                            .servers = {}};
    for (const auto* server : context_.servers.available(service_)) {
        if (context_.placement.loads().available(server->id, steady_now()) !=
            routing::availability::ejected) {
            refused.servers.push_back(server->id);
        }
    }
    const auto decision = context_.admissions.decide_after_refusal(service_, refused, steady_now());
    const auto* wait = std::get_if<wait_for_slot>(&decision);
    // Without a retry in the budget, waiting does not serve the request.
    if (wait == nullptr || !retries().can_retry() || !wait_for_capacity(wait->longest)) {
        refuse_for_capacity();
    }
    return true;
}

bool forwarding::wait_for_capacity(milliseconds longest)
{
    const std::size_t bytes = exchange_->head().target.size() + exchange_->body().size();
    wait_ = context_.waiting.enter(
        service_, waiting_request_of(view(), bytes, longest, steady_now()),
        [self = shared_from_this()](bool is_admitted) { self->wait_ended(is_admitted); });
    if (wait_ == 0) {
        return false;
    }
    json fields = log_fields();
    fields["sends"] = sends_;
    fields["longest_ms"] = longest.count();
    log(events::request_waits, fields);
    context_.counters.record_wait(service_);
    return true;
}

void forwarding::wait_ended(bool is_admitted)
{
    wait_ = 0;
    was_admitted_ = true;
    if (finished_) {
        return;
    }
    if (context_.stopping) {
        const bool others_serve = !context_.link.live_peers().empty();
        refuse(unavailable, "stopping",
               retry_after_stop(*context_.stopping, others_serve, steady_now()));
        return;
    }
    if (!is_admitted || (sends_ > 0 && !retries().try_retry())) {
        refuse_for_capacity();
        return;
    }
    // A server that refused the request has not run it, so the request may be sent there again.
    std::erase_if(tried_servers_, [this](const std::string& server) {
        return std::find(refused_servers_.begin(), refused_servers_.end(), server) !=
               refused_servers_.end();
    });
    dispatch();
}

void forwarding::refuse_for_capacity()
{
    const reject_now rejection = context_.admissions.no_capacity(service_, steady_now());
    json fields = log_fields();
    fields["reason"] = rejection.reason;
    fields["sends"] = sends_;
    fields["time_left_ms"] = time_left().count();
    log(events::request_not_admitted, fields);
    refuse(unavailable, rejection.reason, rejection.retry_after);
}

} // namespace dotterelport::gateway
