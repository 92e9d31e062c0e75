#include "forwarding.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/gateway/events.hpp"
#include "dotterelport/routing/urgency.hpp"
#include "retry_after.hpp"

namespace dotterelport::gateway {
namespace {

/// Maximum idle time of a kept connection for requests that may not be repeated: the server may be
/// about to close a connection that was idle for longer.
constexpr milliseconds max_idle_if_not_repeatable{1'500};

/// Maximum idle time of a kept connection for requests that may be repeated.
constexpr milliseconds max_idle_if_repeatable{8'000};

/// Retry-After while a configuration or grant is missing: time in which a grant is restored once
/// the store is available again.
constexpr milliseconds store_retry_after{1'000};

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int payment_required = 402;
constexpr int not_found = 404;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

/// @brief Parts that other requests share, all but the last, and the content.
std::vector<request::suspect> suspects_of(const caller_request& request,
                                          const net::http1_request_head& head,
                                          std::string_view body)
{
    std::vector<request::suspect> result;
    for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
        result.push_back({.kind = request::suspect_kind::part, .id = request.parts[i].id});
    }
    const std::uint64_t target = hash64(head.target, hash64(request.key.value_or("")));
    result.push_back({.kind = request::suspect_kind::content, .id = hash64(body, target)});
    return result;
}

} // namespace

forwarding::forwarding(forwarding_context& context, std::shared_ptr<net::stream_exchange> exchange,
                       std::shared_ptr<const service_catalogue> catalogue,
                       std::function<void()> done)
    : context_(context), exchange_(std::move(exchange)), catalogue_(std::move(catalogue)),
      done_(std::move(done))
{}

json forwarding::log_fields() const
{
    json fields = {{"request", request_.id},
                   {"after_ms", (steady_now() - exchange_->received()).count()}};
    if (route_ != nullptr) {
        fields["route"] = route_->name;
        fields["service"] = service_;
    }
    if (workspace_ != nullptr) {
        fields["workspace"] = workspace_->name;
    }
    if (attempt_) {
        fields["server"] = attempt_->server;
    }
    return fields;
}

void forwarding::start()
{
    request_ = context_.wire.decode_request(exchange_->head());
    const auto self = shared_from_this();
    exchange_->on_disconnect([self] { self->caller_gone(); });
    if (catalogue_ == nullptr) {
        refuse(unavailable, "no_configuration", store_retry_after);
        return;
    }
    const auto& head = exchange_->head();
    const std::string_view target = head.target;
    route_ = catalogue_->find_route(net::find_header(head.headers, "host").value_or(""),
                                    target.substr(0, target.find('?')));
    if (route_ == nullptr) {
        refuse(not_found, "unknown_route");
        return;
    }
    if (!authorize()) {
        refuse(unauthorized, "unknown_key");
        return;
    }
    if (request_.id.empty()) {
        refuse(bad_request, "no_request_id");
        return;
    }
    if (request_.is_size_unreadable) {
        refuse(bad_request, "bad_request_size");
        return;
    }
    if (const auto reason =
            refusal_while_stopping(context_.decisions(), *route_, time_limit(), steady_now())) {
        refuse(*reason);
        return;
    }
    choose_service();
    if (const auto reason = refusal_by_service(catalogue_->find_service(service_))) {
        refuse(*reason);
        return;
    }
    arm_timers();
    suspects_ = suspects_of(request_, head, exchange_->body());
    if (const auto step = step_before_budget(context_.decisions(), view())) {
        end_without_server(*step);
        return;
    }
    reserve();
}

request_view forwarding::view() const
{
    return {.catalogue = *catalogue_,
            .target = *route_,
            .owner = workspace_,
            .service = service_,
            .parts = request_.parts,
            .prompt_tokens = request_.prompt_tokens,
            .max_output_tokens = request_.max_output_tokens,
            .suspects = suspects_,
            .held = steady_now() - exchange_->received(),
            .time_limit = time_limit(),
            .time_left = time_left(),
            .is_new = sends_ == 0 && !may_have_run_ && !was_admitted_,
            .tried = tried_servers_,
            .refused = refused_servers_};
}

bool forwarding::authorize()
{
    if (request_.key) {
        workspace_ = catalogue_->find_workspace(*request_.key);
    }
    return may_use(*catalogue_, *route_, workspace_);
}

void forwarding::choose_service()
{
    double total_weight = 0;
    for (const auto& item : route_->services) {
        total_weight += item.weight;
    }
    double point = std::uniform_real_distribution<double>(0, total_weight)(context_.random);
    for (const auto& item : route_->services) {
        service_ = item.service;
        point -= item.weight;
        if (point < 0) {
            break;
        }
    }
    if (const auto* definition = catalogue_->find_service(service_)) {
        tokens_per_event_ = definition->tokens_per_event;
        cache_capacity_ = definition->cache_capacity;
    }
    retries().record_first_attempt();
    context_.second_sends.record_first_send(service_);
}

request::retry_budget& forwarding::retries() const
{
    return context_.retries.try_emplace(service_, context_.retry_options).first->second;
}

void forwarding::arm_timers()
{
    deadline_ = deadline_of(context_.decisions(), *route_, exchange_->received(), time_limit());
    const auto self = shared_from_this();
    deadline_timer_ = context_.loop.schedule(time_left(), [self] { self->deadline_expired(); });
}

milliseconds forwarding::time_left() const
{
    return std::max(milliseconds{0}, deadline_ - steady_now());
}

void forwarding::reserve()
{
    if (!needs_reservation(workspace_, request_.max_tokens())) {
        dispatch();
        return;
    }
    reserving_ = true;
    reservation_ = context_.budgets.reserve(
        workspace_->name, request_.max_tokens(),
        [self = shared_from_this()](reservation_outcome outcome) { self->reserved(outcome); });
    if (has_reservation_) {
        dispatch();
    }
}

void forwarding::reserved(reservation_outcome outcome)
{
    reserving_ = false;
    if (finished_) {
        return;
    }
    switch (outcome) {
    case reservation_outcome::reserved:
        has_reservation_ = true;
        // If the handler runs inside reserve(), the number of the reservation is not known yet;
        // reserve() then dispatches the request.
        if (reservation_ != 0) {
            dispatch();
        }
        return;
    case reservation_outcome::exhausted:
        refuse(payment_required, "budget_exhausted");
        return;
    case reservation_outcome::no_grant:
        refuse(unavailable, "no_grant",
               context_.budgets.retry_after(workspace_->name, request_.max_tokens()));
        return;
    }
}

void forwarding::dispatch()
{
    // On an overloaded VM the loop may be late: the caller may have left, or the time limit may
    // have passed, without any callback so far.
    if (exchange_->is_abandoned()) {
        caller_gone();
        return;
    }
    if (time_left() <= milliseconds{0}) {
        deadline_expired();
        return;
    }
    const request_plan plan = plan_request(context_.decisions(), view(), steady_now());
    switch (plan.step) {
    case request_step::wait:
        if (!wait_for_capacity(plan.longest_wait)) {
            refuse_for_capacity();
        }
        return;
    case request_step::no_capacity:
        refuse_for_capacity();
        return;
    case request_step::send:
        if (!refuse_late(*plan.choice)) {
            send(*context_.servers.find(plan.choice->server), *plan.choice);
        }
        return;
    default:
        end_without_server(plan.step);
        return;
    }
}

void forwarding::end_without_server(request_step step)
{
    if (step == request_step::engines_full) {
        json fields = log_fields();
        fields["prompt_tokens"] = request_.prompt_tokens;
        fields["memory_tokens"] = cache_capacity_;
        log(events::engines_full, fields);
    }
    attempt_failed(may_have_run_ ? verdict::may_have_run : verdict::not_run, end_of(step));
}

void forwarding::send(const backend_server& server, const routing::placement_choice& choice)
{
    start_attempt(attempt_, server, choice);
    attempt_->exchange =
        context_.backends.start(std::move(attempt_->call), make_handler(attempt_->id));
    arm_stall_timer();
    arm_second_send();
}

void forwarding::start_attempt(std::optional<attempt>& started, const backend_server& server,
                               const routing::placement_choice& choice)
{
    const milliseconds now = steady_now();
    started = attempt{};
    started->id = ++context_.last_attempt;
    started->server = server.id;
    started->server_started_ms = server.started_ms;
    started->sent = now;
    started->expected_start_ms = choice.expected_start_ms;
    started->events_before = events_.events();
    started->held = std::make_unique<net::buffer_share>(context_.buffers);
    started->unsent = std::make_unique<net::buffer_share>(context_.buffers);
    tried_servers_.push_back(server.id);
    ++sends_;

    const auto last_event = events_.last_id() ? events_.last_id() : request_.last_event;
    auto& call = started->call;
    call.to = server.address;
    call.method = exchange_->head().method;
    call.bytes = context_.wire.encode_request(
        exchange_->head(), exchange_->body(),
        {.server = server.id,
         .deadline = time_left(),
         .workspace = workspace_ == nullptr ? std::string() : workspace_->name,
         .last_event = last_event,
         .urgency = routing::engine_urgency(request_.prompt_tokens)});
    call.max_idle = route_->may_repeat() ? max_idle_if_repeatable : max_idle_if_not_repeatable;
    context_.placement.sent(server.id, started->id,
                            placement_request_of(context_.decisions(), view()), cache_capacity_,
                            now);
    context_.peers.add_prompt(server.id, request_.parts);
    context_.crashes.sent(suspects_);
    context_.statements.sent(server.id);
    json fields = log_fields();
    fields["server"] = server.id;
    fields["send"] = sends_;
    fields["cost_ms"] = choice.cost_ms;
    fields["cached_tokens"] = choice.cached_tokens;
    fields["prompt_tokens"] = request_.prompt_tokens;
    fields["time_left_ms"] = time_left().count();
    fields["configuration"] = catalogue_->version();
    log(events::request_sent, fields);
}

net::backend_handler forwarding::make_handler(std::uint64_t attempt_id)
{
    const auto self = shared_from_this();
    const auto is_current = [self, attempt_id] {
        return !self->finished_ && self->attempt_ && self->attempt_->id == attempt_id;
    };
    net::backend_handler handler;
    handler.on_head = [self, is_current](const net::http1_answer_head& head) {
        return !is_current() || self->received_head(head);
    };
    handler.on_data = [self, is_current](std::string_view data) {
        if (is_current()) {
            self->received_data(data);
        }
    };
    handler.on_complete = [self, is_current] {
        if (is_current()) {
            self->received_all();
        }
    };
    handler.on_failure = [self, is_current](net::backend_failure failure) {
        if (is_current()) {
            self->received_failure(failure);
        }
    };
    return handler;
}

void forwarding::limit_if_restarted(const std::string& server, attempt_end end)
{
    const auto* definition = catalogue_->find_service(service_);
    const bool has_failed = end == attempt_end::not_connected || end == attempt_end::reset ||
                            end == attempt_end::truncated;
    if (has_failed && definition != nullptr && definition->cold_rate > 0) {
        context_.statements.limit_cold(server, definition->cold_rate, definition->cold_time,
                                       "connection_failed");
    }
}

void forwarding::close_attempt(const attempt& ended, attempt_end end)
{
    const milliseconds now = steady_now();
    auto& placement = context_.placement;
    context_.counters.record_attempt(service_, std::string(to_string(end)));
    if (!ended.has_data && (end == attempt_end::timeout || end == attempt_end::stalled)) {
        record_start();
    }
    if (end == attempt_end::server_refused) {
        record_refusal(ended.server);
    }
    limit_if_restarted(ended.server, end);
    // A later attempt that is superseded says nothing about the time at its server.
    const bool is_overtaken =
        end == attempt_end::superseded && attempt_ && ended.sent < attempt_->sent;
    const bool is_slow = is_overtaken || end == attempt_end::timeout || end == attempt_end::stalled;
    if (is_slow && !ended.has_data) {
        context_.second_sends.record_start(service_, request_.prompt_tokens, now - ended.sent);
    }
    switch (end) {
    case attempt_end::answered:
        context_.waiting.slot_freed(service_, ended.server);
        placement.finished(
            ended.server, ended.id,
            static_cast<double>(ended.is_streamed ? events_.events() - ended.events_before : 1),
            now);
        break;
    case attempt_end::server_replaced:
        // The registration of the replaced server has not expired yet.
        context_.servers.mark_replaced(ended.server);
        placement.cancelled(ended.server, ended.id, now);
        break;
    case attempt_end::not_connected:
        placement.unreachable(ended.server, ended.id, now);
        break;
    case attempt_end::caller_gone:
    case attempt_end::superseded:
    case attempt_end::server_refused:
        placement.cancelled(ended.server, ended.id, now);
        break;
    default:
        placement.failed(ended.server, ended.id, now);
        break;
    }
}

void forwarding::attempt_failed(verdict outcome, attempt_end end)
{
    if (outcome == verdict::may_have_run) {
        may_have_run_ = true;
    }
    if (fail_over(end)) {
        return;
    }
    const verdict request_verdict = may_have_run_ ? verdict::may_have_run : outcome;
    // If the request may be repeated, only this attempt's verdict counts: a server that refused the
    // request has not run it, whatever earlier servers did.
    const attempt_decision decision =
        decide_after_attempt({.outcome = may_repeat() ? outcome : request_verdict,
                              .may_repeat = may_repeat(),
                              .has_output = exchange_->is_started(),
                              .sends = sends_,
                              .max_sends = route_->max_attempts,
                              .failed_connects = failed_connects_,
                              .time_left = time_left(),
                              .end = end},
                             retries());
    json fields = log_fields();
    fields["reason"] = to_string(end);
    fields["verdict"] = dotterelport::to_string(outcome);
    fields["sends"] = sends_;
    fields["decision"] = to_string(decision);
    fields["status"] = attempt_ && attempt_->head ? attempt_->head->status : 0;
    add_answer_fields(fields);
    log(events::attempt_ended, fields);
    if (attempt_) {
        close_attempt(end);
        clear_attempt();
    }
    if ((std::holds_alternative<refuse_not_run>(decision) && wait_after(end)) ||
        (std::holds_alternative<break_off>(decision) && wait_to_continue(end))) {
        return;
    }
    execute(decision, end, fields);
}

void forwarding::execute(const attempt_decision& decision, attempt_end end, const json& fields)
{
    if (std::holds_alternative<send_again>(decision)) {
        events_.resume();
        dispatch();
    } else if (std::holds_alternative<break_off>(decision)) {
        cut(fields);
    } else if (std::holds_alternative<refuse_not_run>(decision) && !may_have_run_) {
        refuse(unavailable, to_string(end), retry_after_end(context_.decisions(), view(), end));
    } else {
        // The last server has not run the request, but an earlier server may have.
        const auto* failure = std::get_if<report_failure>(&decision);
        refuse(failure == nullptr ? bad_gateway : failure->status, to_string(end));
    }
}

void forwarding::cut(const json& fields)
{
    log(events::request_cut, fields);
    exchange_->abort();
    finish();
}

void forwarding::deadline_expired()
{
    context_.loop.cancel(std::exchange(deadline_timer_, 0));
    if (finished_) {
        return;
    }
    if (!attempt_) {
        if (exchange_->is_started()) {
            json fields = log_fields();
            fields["reason"] = to_string(attempt_end::timeout);
            cut(fields);
        } else if (may_have_run_) {
            refuse(gateway_timeout, "timeout");
        } else {
            refuse(unavailable, reserving_ ? "no_grant" : "timeout", store_retry_after);
        }
        return;
    }
    const bool was_sent = context_.backends.was_sent(attempt_->exchange);
    context_.backends.cancel(attempt_->exchange);
    attempt_failed(was_sent ? verdict::may_have_run : verdict::not_run, attempt_end::timeout);
}

void forwarding::end_for_stop()
{
    deadline_ = steady_now();
    deadline_expired();
}

void forwarding::caller_gone()
{
    if (finished_) {
        return;
    }
    log(events::request_abandoned, log_fields());
    context_.counters.record_abandoned(service_);
    if (attempt_) {
        may_have_run_ = may_have_run_ || context_.backends.was_sent(attempt_->exchange);
        context_.backends.cancel(attempt_->exchange);
        close_attempt(attempt_end::caller_gone);
        clear_attempt();
    }
    finish();
}

void forwarding::refuse(int status, std::string_view reason, milliseconds retry_after)
{
    json fields = log_fields();
    fields["status"] = status;
    fields["reason"] = reason;
    net::header_list headers{{"Content-Type", "application/json"}};
    if (retry_after > milliseconds{0}) {
        headers.emplace_back("Retry-After", format_seconds(retry_after));
        fields["retry_after_ms"] = retry_after.count();
    }
    log(events::request_refused, fields);
    context_.counters.record_refusal(service_, status, std::string(reason));
    exchange_->respond(status, headers, json{{"error", reason}}.dump());
    finish();
}

void forwarding::settle()
{
    if (!has_reservation_) {
        if (reserving_) {
            context_.budgets.abandon(reservation_);
        }
        return;
    }
    has_reservation_ = false;
    if (may_have_run_) {
        context_.budgets.settle(reservation_, verdict::ran, request_.prompt_tokens,
                                delivered_tokens());
    } else {
        context_.budgets.settle(reservation_, verdict::not_run, 0, 0);
    }
}

void forwarding::finish()
{
    if (std::exchange(finished_, true)) {
        return;
    }
    context_.loop.cancel(deadline_timer_);
    context_.loop.cancel(stall_timer_);
    context_.loop.cancel(second_timer_);
    end_second(attempt_end::superseded);
    context_.waiting.leave(service_, wait_);
    settle();
    clear_attempt();
    exchange_->on_disconnect(nullptr);
    exchange_->on_drained(nullptr);
    done_();
}

} // namespace dotterelport::gateway
