// Which requests are rejected, or wait for a free slot, while capacity is short.

#include <algorithm>
#include <utility>

#include "dotterelport/gateway/events.hpp"
#include "forwarding.hpp"

namespace dotterelport::gateway {
namespace {

constexpr int unavailable = 503;
constexpr int first_server_error = 500;

/// Shortest wait of a stream for a server that continues it, the interval of the checks.
constexpr milliseconds min_continue_wait{20};

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

bool forwarding::wait_to_continue(attempt_end end)
{
    const bool was_refused = end == attempt_end::server_refused;
    const bool is_full = was_refused || end == attempt_end::engines_full ||
                         ((end == attempt_end::no_server || end == attempt_end::servers_limited) &&
                          !refused_servers_.empty());
    if (!is_full || !may_repeat() || (was_refused && !retries().can_retry())) {
        return false;
    }
    allow_refused_servers();
    // The time before the failure was noticed does not count: after a stall, nothing would be left,
    // and a stream that continues late serves its caller better than one that is cut.
    if (!continue_until_) {
        continue_until_ = steady_now() + route_->longest_pause;
    }
    const milliseconds until = std::min(*continue_until_, deadline_);
    const auto earliest = time_until_continued();
    if (!earliest || std::max(min_continue_wait, *earliest) > until - steady_now()) {
        return false;
    }
    has_retry_ = !was_refused;
    if (!enter_queue(until)) {
        return false;
    }
    record_wait(until - steady_now());
    return true;
}

std::optional<milliseconds> forwarding::time_until_continued() const
{
    std::optional<milliseconds> shortest;
    for (const auto* server : allowed_servers(context_.decisions(), view())) {
        if (std::find(tried_servers_.begin(), tried_servers_.end(), server->id) ==
            tried_servers_.end()) {
            const milliseconds time =
                std::max(context_.admissions.full_for(service_, server->id, steady_now()),
                         context_.statements.time_until_permitted(server->id));
            shortest = std::min(shortest.value_or(time), time);
        }
    }
    return shortest;
}

void forwarding::continue_stream()
{
    const milliseconds now = steady_now();
    const auto choice = choose_server(context_.decisions(), view(), now);
    if (choice && !context_.admissions.is_full(service_, choice->server, now)) {
        if (std::exchange(has_retry_, false) || retries().try_retry()) {
            events_.resume();
            dispatch();
            return;
        }
    } else {
        const milliseconds until = std::min(continue_until_.value_or(now), deadline_);
        if (now < until && enter_queue(until)) {
            return;
        }
    }
    json fields = log_fields();
    fields["reason"] = "no_capacity";
    fields["sends"] = sends_;
    cut(fields);
}

void forwarding::allow_refused_servers()
{
    std::erase_if(tried_servers_, [this](const std::string& server) {
        return std::find(refused_servers_.begin(), refused_servers_.end(), server) !=
               refused_servers_.end();
    });
}

bool forwarding::wait_for_capacity(milliseconds longest)
{
    if (!enter_queue(steady_now() + longest)) {
        return false;
    }
    record_wait(longest);
    return true;
}

void forwarding::record_wait(milliseconds longest) const
{
    json fields = log_fields();
    fields["sends"] = sends_;
    fields["longest_ms"] = longest.count();
    log(events::request_waits, fields);
    context_.counters.record_wait(service_);
}

bool forwarding::enter_queue(milliseconds until)
{
    const std::size_t bytes = exchange_->head().target.size() + exchange_->body().size();
    const milliseconds now = steady_now();
    waiting_request request = waiting_request_of(view(), bytes, until - now, now);
    request.has_begun = exchange_->is_started();
    wait_ =
        context_.waiting.enter(service_, request, [self = shared_from_this()](bool is_admitted) {
            self->wait_ended(is_admitted);
        });
    return wait_ != 0;
}

void forwarding::wait_ended(bool is_admitted)
{
    wait_ = 0;
    was_admitted_ = true;
    if (finished_) {
        return;
    }
    if (exchange_->is_started()) {
        continue_stream();
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
    allow_refused_servers();
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
