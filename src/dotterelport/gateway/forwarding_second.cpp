// Second sends of a request whose answer does not begin within the usual time.

#include <type_traits>
#include <utility>

#include "dotterelport/gateway/events.hpp"
#include "forwarding.hpp"

namespace dotterelport::gateway {
namespace {

constexpr int first_success = 200;
constexpr int end_of_success = 300;

} // namespace

bool forwarding::is_usable(const attempt& value)
{
    return value.head && value.head->status >= first_success &&
           value.head->status < end_of_success && value.answer.authentic && !value.answer.not_run;
}

void forwarding::arm_second_send()
{
    context_.loop.cancel(std::exchange(second_timer_, 0));
    if (!may_repeat() || exchange_->is_started() || sends_ >= route_->max_attempts) {
        return;
    }
    const auto delay = context_.second_sends.delay(service_, request_.prompt_tokens);
    if (!delay || *delay >= time_left()) {
        return;
    }
    second_timer_ = context_.loop.schedule(*delay, [self = shared_from_this(), id = attempt_->id] {
        self->second_timer_ = 0;
        if (!self->finished_ && self->attempt_ && self->attempt_->id == id) {
            self->consider_second_send();
        }
    });
}

void forwarding::consider_second_send()
{
    if (exchange_->is_abandoned()) {
        caller_gone();
        return;
    }
    if (attempt_->has_data || second_ || context_.stopping ||
        context_.crashes.refused_for(suspects_) ||
        time_until_permitted(context_.decisions(), view()) != milliseconds{0}) {
        return;
    }
    const auto choice = choose_server(context_.decisions(), view(), steady_now());
    const backend_server* server = choice ? context_.servers.find(choice->server) : nullptr;
    if (server == nullptr || context_.statements.is_cold(server->id) ||
        context_.statements.is_limited(server->id)) {
        return;
    }
    const milliseconds waited = steady_now() - attempt_->sent;
    const milliseconds expected{static_cast<std::int64_t>(choice->expected_start_ms)};
    const auto decision = context_.second_sends.decide({.service = service_,
                                                        .prompt_tokens = request_.prompt_tokens,
                                                        .waited = waited,
                                                        .expected_at_second = expected,
                                                        .target_latency = route_->target_latency});
    context_.counters.record_second_send(service_, std::string(to_string(decision)));
    if (decision != second_send_decision::send || expected >= time_left() ||
        !retries().try_retry()) {
        return;
    }
    context_.second_sends.record_second_send(service_);
    json fields = log_fields();
    fields["waited_ms"] = waited.count();
    fields["second_server"] = server->id;
    fields["expected_ms"] = expected.count();
    log(events::second_send, fields);
    start_attempt(second_, *server, *choice);
    second_->exchange =
        context_.backends.start(std::move(second_->call), make_second_handler(second_->id));
}

template<typename Function> auto forwarding::as_only_attempt(Function function)
{
    std::swap(attempt_, second_);
    std::swap(events_, attempt_->events);
    const auto swap_back = [this] {
        std::swap(events_, attempt_->events);
        std::swap(attempt_, second_);
    };
    if constexpr (std::is_void_v<decltype(function())>) {
        function();
        swap_back();
    } else {
        const auto result = function();
        swap_back();
        return result;
    }
}

net::backend_handler forwarding::make_second_handler(std::uint64_t attempt_id)
{
    const auto self = shared_from_this();
    // Once the attempt is the only one, it is handled like a first one.
    const auto only = make_handler(attempt_id);
    const auto is_second = [self, attempt_id] {
        return !self->finished_ && self->second_ && self->second_->id == attempt_id;
    };
    net::backend_handler handler;
    handler.on_head = [self, is_second, only](const net::http1_answer_head& head) {
        return is_second() ? self->as_only_attempt([&] { return self->received_head(head); })
                           : only.on_head(head);
    };
    handler.on_data = [self, is_second, only](std::string_view data) {
        if (is_second()) {
            if (!is_usable(*self->second_)) {
                return;
            }
            if (self->second_->is_streamed) {
                self->received_second_events(data);
                return;
            }
            self->prefer_second();
        }
        only.on_data(data);
    };
    handler.on_complete = [self, is_second, only] {
        if (is_second()) {
            if (!is_usable(*self->second_)) {
                const auto& answer = self->second_->answer;
                self->end_second(answer.replaced  ? attempt_end::server_replaced
                                 : answer.not_run ? attempt_end::server_refused
                                                  : attempt_end::server_error);
                return;
            }
            if (self->second_->is_streamed && self->as_only_attempt([&] {
                    const bool is_lost = self->ends_early();
                    if (is_lost) {
                        self->report_lost_attempt();
                    }
                    return is_lost;
                })) {
                self->end_second(attempt_end::truncated);
                return;
            }
            self->prefer_second();
        }
        only.on_complete();
    };
    handler.on_failure = [self, is_second, only](net::backend_failure failure) {
        if (is_second()) {
            if (failure != net::backend_failure::not_connected &&
                failure != net::backend_failure::malformed) {
                self->as_only_attempt([&] { self->report_lost_attempt(); });
            }
            if (failure == net::backend_failure::not_connected) {
                --self->sends_;
                self->end_second(attempt_end::not_connected);
            } else {
                self->end_second(attempt_end::reset);
            }
            return;
        }
        only.on_failure(failure);
    };
    return handler;
}

void forwarding::received_second_events(std::string_view data)
{
    const std::string events = second_->events.append(data);
    if (second_->events.events() > 0) {
        prefer_second();
        received_events(events, 0);
        return;
    }
    if (second_->events.is_overlong() ||
        !second_->held->resize(second_->events.incomplete_bytes())) {
        end_second(attempt_end::malformed);
    }
}

void forwarding::prefer_second()
{
    json fields = log_fields();
    fields["first_server"] = attempt_->server;
    fields["server"] = second_->server;
    log(events::second_send_answered, fields);
    std::swap(attempt_, second_);
    events_ = std::move(attempt_->events);
    end_second(attempt_end::superseded);
    arm_stall_timer();
}

void forwarding::end_second(attempt_end end)
{
    if (!second_) {
        return;
    }
    const auto ended = std::exchange(second_, std::nullopt);
    const bool may_have_run = end == attempt_end::superseded
                                  ? context_.backends.was_sent(ended->exchange)
                                  : end != attempt_end::not_connected &&
                                        end != attempt_end::server_refused &&
                                        end != attempt_end::server_replaced;
    may_have_run_ = may_have_run_ || may_have_run;
    context_.backends.cancel(ended->exchange);
    close_attempt(*ended, end);
}

bool forwarding::fail_over(attempt_end end)
{
    if (end == attempt_end::timeout) {
        end_second(attempt_end::superseded);
    }
    if (!second_) {
        return false;
    }
    json fields = log_fields();
    fields["reason"] = to_string(end);
    fields["decision"] = "second_send";
    log(events::attempt_ended, fields);
    close_attempt(end);
    attempt_ = std::exchange(second_, std::nullopt);
    events_ = std::move(attempt_->events);
    arm_stall_timer();
    return true;
}

} // namespace dotterelport::gateway
