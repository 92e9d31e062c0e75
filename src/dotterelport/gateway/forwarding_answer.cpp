// How a request's answer is read from its server and passed on to its caller.

#include <algorithm>
#include <array>
#include <utility>

#include "dotterelport/gateway/events.hpp"
#include "forwarding.hpp"

namespace dotterelport::gateway {
namespace {

/// A request that may be repeated is cancelled at a server that sends no complete event, or no
/// answer, within this multiple of the target latency.
constexpr int stall_factor = 2;

/// Multiple of the longest acceptable pause after which a stream that has begun counts as stalled.
/// Much longer than the pauses of a loaded server: resuming elsewhere costs a new prefill.
constexpr int stall_pauses = 4;

/// Shortest pause between two checks for a stalled server.
constexpr milliseconds min_stall_check{50};

/// Pause until a stalled server without a substitute is checked again.
constexpr milliseconds substitute_check{250};

/// The server of a stream is paused while more bytes than this wait for the caller.
constexpr std::size_t max_unsent_bytes = 256U << 10U;

/// @brief Returns whether a status implies that the request has not run.
bool implies_not_run(int status)
{
    constexpr std::array<int, 4> statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

constexpr int first_server_error = 500;

bool is_success(int status)
{
    constexpr int first = 200;
    constexpr int end = 300;
    return status >= first && status < end;
}

attempt_end to_attempt_end(net::backend_failure failure)
{
    switch (failure) {
    case net::backend_failure::not_connected:
        return attempt_end::not_connected;
    case net::backend_failure::reset:
        return attempt_end::reset;
    case net::backend_failure::truncated:
        return attempt_end::truncated;
    case net::backend_failure::malformed:
        return attempt_end::malformed;
    }
    return attempt_end::reset;
}

net::header_list end_to_end_headers(const net::header_list& headers)
{
    net::header_list result;
    result.reserve(headers.size());
    for (const auto& header : headers) {
        if (!net::is_hop_by_hop(header.first, headers)) {
            result.push_back(header);
        }
    }
    return result;
}

} // namespace

bool forwarding::received_head(const net::http1_answer_head& head)
{
    const auto answer = context_.wire.decode_answer(head);
    // On a connection that was used before, an answer without an id may be a late copy of an
    // earlier one.
    if (answer.id ? *answer.id != request_.id : context_.backends.is_reused(attempt_->exchange)) {
        return false;
    }
    attempt_->head = head;
    attempt_->framing = net::answer_framing(head, exchange_->head().method)
                            .value_or(net::body_framing{net::close_framing{}});
    attempt_->answer = answer;
    attempt_->is_streamed = is_stream(head);
    // The statements of a server that has replaced the registered one are not about that one.
    if (!answer.replaced) {
        context_.statements.received(attempt_->server, attempt_->server_started_ms,
                                     answer.statement);
        const auto* definition = catalogue_->find_service(service_);
        const auto cold = answer.statement.cold_time_left.value_or(milliseconds{0});
        if (definition != nullptr && definition->cold_rate > 0 && cold > milliseconds{0}) {
            context_.statements.limit_cold(attempt_->server, definition->cold_rate, cold, "stated");
        }
    }
    if (answer.load) {
        context_.placement.record_report(attempt_->server, *answer.load, steady_now());
        if (context_.admissions.record_report(service_, *answer.load)) {
            log(events::admission_active, {{"service", service_}, {"server", attempt_->server}});
        }
    }
    return true;
}

bool forwarding::is_stream(const net::http1_answer_head& head) const
{
    const auto content_type = net::find_header(head.headers, "content-type");
    return route_->kind == route_kind::streaming && is_success(head.status) &&
           head.status == started_status_.value_or(head.status) && attempt_->answer.authentic &&
           !attempt_->answer.not_run && (!content_type || net::is_event_stream(*content_type));
}

void forwarding::received_data(std::string_view data)
{
    if (!attempt_->is_streamed) {
        received_first_data();
        buffer_body(data);
        return;
    }
    const std::uint64_t events_before = events_.events();
    received_events(events_.append(data), events_before);
}

void forwarding::received_first_data()
{
    context_.placement.answered(attempt_->server, attempt_->id, steady_now());
    if (std::exchange(attempt_->has_data, true)) {
        return;
    }
    context_.second_sends.record_start(service_, request_.prompt_tokens,
                                       steady_now() - attempt_->sent);
    record_start();
    if (is_usable(*attempt_)) {
        end_second(attempt_end::superseded);
    }
}

void forwarding::received_events(std::string_view events, std::uint64_t events_before)
{
    if (events_.events() > events_before) {
        received_first_data();
        last_progress_ = steady_now();
        continue_until_.reset();
        context_.placement.produced(attempt_->server, attempt_->id, delivered_tokens());
    }
    // Servers send comments before they begin to answer.
    if (events_.events() > 0) {
        write_events(events);
    }
    if (events_.is_overlong() || !attempt_->held->resize(events_.incomplete_bytes())) {
        context_.backends.cancel(attempt_->exchange);
        attempt_failed(verdict::may_have_run, attempt_end::malformed);
        return;
    }
    limit_unsent();
}

void forwarding::buffer_body(std::string_view data)
{
    if (!attempt_->held->append(attempt_->body, data)) {
        context_.backends.cancel(attempt_->exchange);
        attempt_failed(verdict::may_have_run, attempt_end::too_large);
    }
}

void forwarding::clear_attempt()
{
    attempt_.reset();
}

void forwarding::limit_unsent()
{
    const std::size_t unsent = exchange_->unsent();
    const bool fits = attempt_->unsent->resize(unsent);
    if (server_paused_ || unsent == 0 || (unsent <= max_unsent_bytes && fits)) {
        return;
    }
    server_paused_ = true;
    context_.backends.set_paused(attempt_->exchange, true);
    exchange_->on_drained([self = shared_from_this()] {
        if (!std::exchange(self->server_paused_, false) || !self->attempt_) {
            return;
        }
        self->attempt_->unsent->resize(0);
        // The pause was the caller's.
        self->last_progress_ = steady_now();
        self->context_.backends.set_paused(self->attempt_->exchange, false);
    });
}

void forwarding::write_events(std::string_view events)
{
    if (events.empty()) {
        return;
    }
    if (!exchange_->is_started()) {
        first_output_ = steady_now();
        started_status_ = attempt_->head->status;
        exchange_->start(attempt_->head->status, end_to_end_headers(attempt_->head->headers));
    } else {
        const milliseconds pause = steady_now() - last_output_;
        if (pause > longest_pause_) {
            longest_pause_ = pause;
            longest_pause_began_ = last_output_;
        }
    }
    last_output_ = steady_now();
    exchange_->write(events);
}

void forwarding::received_all()
{
    const int status = attempt_->head->status;
    if (attempt_->answer.not_run) {
        attempt_failed(verdict::not_run, attempt_->answer.replaced ? attempt_end::server_replaced
                                                                   : attempt_end::server_refused);
        return;
    }
    if (is_success(status) && !attempt_->answer.authentic) {
        attempt_failed(verdict::may_have_run, attempt_end::unsigned_answer);
        return;
    }
    if (started_status_ && !attempt_->is_streamed) {
        // An error cannot become a part of the stream that the caller receives, nor end it.
        attempt_failed(verdict::may_have_run, attempt_end::server_error);
        return;
    }
    if (status >= first_server_error && second_) {
        attempt_failed(verdict::may_have_run, attempt_end::server_error);
        return;
    }
    if (status >= first_server_error && route_->may_repeat() && !exchange_->is_started() &&
        sends_ < route_->max_attempts && time_left() > milliseconds{0} &&
        time_until_permitted(context_.decisions(), view()) == milliseconds{0} &&
        retries().try_retry()) {
        close_attempt(attempt_end::server_error);
        may_have_run_ = true;
        clear_attempt();
        dispatch();
        return;
    }
    if (implies_not_run(status)) {
        // The server did not state that it has not run the request, so the answer to the caller
        // must not imply it.
        attempt_failed(verdict::may_have_run, attempt_end::unclear);
        return;
    }
    if (ends_early()) {
        report_lost_attempt();
        attempt_failed(verdict::may_have_run, attempt_end::truncated);
        return;
    }
    complete_answer();
}

bool forwarding::ends_early() const
{
    const auto content_type = net::find_header(attempt_->head->headers, "content-type");
    if (content_type ? !net::is_event_stream(*content_type) : !attempt_->is_streamed) {
        return false;
    }
    if (!attempt_->is_streamed) {
        return net::lacks_events(attempt_->body, attempt_->framing);
    }
    // The end of a connection does not tell an answer without further events from one that broke
    // off before the next event.
    const bool adds_no_event = events_.events() == attempt_->events_before;
    return events_.ends_inside_event() || events_.ends_before_resumption() ||
           (adds_no_event && std::holds_alternative<net::close_framing>(attempt_->framing));
}

void forwarding::add_answer_fields(json& fields) const
{
    if (!attempt_ || !attempt_->head) {
        return;
    }
    fields["framing"] = net::to_string(attempt_->framing);
    if (attempt_->is_streamed) {
        fields["incomplete_event_bytes"] = events_.incomplete_bytes();
    }
}

void forwarding::complete_answer()
{
    may_have_run_ = true;
    json fields = log_fields();
    add_answer_fields(fields);
    if (attempt_->is_streamed) {
        write_events(events_.take_incomplete());
    }
    const int status = attempt_->head->status;
    const milliseconds now = steady_now();
    context_.counters.record_answer(service_, status,
                                    first_output_.value_or(now) - exchange_->received(),
                                    now - exchange_->received());
    fields["status"] = status;
    fields["events"] = events_.events();
    fields["sends"] = sends_;
    fields["first_output_ms"] = (first_output_.value_or(now) - exchange_->received()).count();
    if (longest_pause_ > milliseconds{0}) {
        fields["longest_pause_ms"] = longest_pause_.count();
        fields["longest_pause_after_ms"] = (longest_pause_began_ - exchange_->received()).count();
    }
    log(events::request_answered, fields);
    if (is_success(status)) {
        context_.crashes.answered(suspects_);
    }
    if (exchange_->is_started()) {
        exchange_->finish();
    } else {
        exchange_->respond(status, end_to_end_headers(attempt_->head->headers), attempt_->body);
    }
    close_attempt(status >= first_server_error ? attempt_end::server_error : attempt_end::answered);
    finish();
}

void forwarding::received_failure(net::backend_failure failure)
{
    if (failure == net::backend_failure::not_connected) {
        --sends_;
        ++failed_connects_;
        attempt_failed(may_have_run_ ? verdict::may_have_run : verdict::not_run,
                       attempt_end::not_connected);
        return;
    }
    if (failure != net::backend_failure::malformed) {
        report_lost_attempt();
    }
    attempt_failed(verdict::may_have_run, to_attempt_end(failure));
}

void forwarding::report_lost_attempt()
{
    const auto* server = context_.servers.find(attempt_->server);
    if (server != nullptr && events_.events() == attempt_->events_before) {
        context_.crashes.attempt_lost(server->id, server->address, suspects_);
    }
}

void forwarding::arm_stall_timer()
{
    context_.loop.cancel(std::exchange(stall_timer_, 0));
    if (!route_->may_repeat() || sends_ >= route_->max_attempts ||
        route_->target_latency <= milliseconds{0}) {
        return;
    }
    last_progress_ = steady_now();
    check_stall();
}

milliseconds forwarding::stall_limit() const
{
    const milliseconds first_event = route_->target_latency * stall_factor;
    return events_.events() > attempt_->events_before
               ? std::max(first_event, catalogue_->pause_limit() * stall_pauses)
               : first_event;
}

void forwarding::check_stall()
{
    const milliseconds remaining = last_progress_ + stall_limit() - steady_now();
    if (remaining <= milliseconds{0} && !server_paused_) {
        stalled();
        return;
    }
    schedule_stall_check(std::max(remaining, min_stall_check));
}

void forwarding::schedule_stall_check(milliseconds delay)
{
    stall_timer_ = context_.loop.schedule(delay, [self = shared_from_this(), id = attempt_->id] {
        self->stall_timer_ = 0;
        if (!self->finished_ && self->attempt_ && self->attempt_->id == id) {
            self->check_stall();
        }
    });
}

void forwarding::stalled()
{
    // A second send may have used up the sends.
    if (!may_repeat() || (!second_ && sends_ >= route_->max_attempts)) {
        return;
    }
    // Without a substitute, the server is the only one that may still complete the answer.
    if (!second_ &&
        (time_until_permitted(context_.decisions(), view()) != milliseconds{0} ||
         !retries().can_retry() || !choose_server(context_.decisions(), view(), steady_now()))) {
        schedule_stall_check(substitute_check);
        return;
    }
    context_.backends.cancel(attempt_->exchange);
    attempt_failed(verdict::may_have_run, attempt_end::stalled);
}

tokens forwarding::delivered_tokens() const
{
    return std::min(request_.max_output_tokens,
                    static_cast<tokens>(events_.events()) * tokens_per_event_);
}

} // namespace dotterelport::gateway
