#include "booking_run.hpp"

#include <utility>

#include "dotterelport/base/hash.hpp"
#include "events.hpp"

namespace dotterelport::router {
namespace {

constexpr milliseconds wait_timeout{5'000};
constexpr milliseconds poll_interval{200};

} // namespace

booking_run::booking_run(dispatch_context& context, checked_request request, answer reply,
                         std::function<void(const caller_error*)> on_finished)
    : context_(context), request_(std::move(request)), answer_(std::move(reply)),
      on_finished_(std::move(on_finished)), object_(booking_object(request_.key)),
      agent_criteria_(make_agent_criteria(request_)), wait_deadline_(steady_now() + wait_timeout)
{}

void booking_run::start()
{
    // Two runs with the same key in this router would move each other's reservation.
    if (!context_.open_bookings.insert(request_.key).second) {
        if (has_deadline_passed()) {
            finished_ = true;
            const caller_error failure(error_code::deadline, "the same booking is still running",
                                       verdict::may_have_run);
            fail_answer(answer_, failure);
            on_finished_(&failure);
            return;
        }
        run_after(poll_interval, [this] { start(); });
        return;
    }
    context_.record_first_attempt(request_.service);
    if (!request_.has_caller_key) {
        decide();
        return;
    }
    read_record();
}

void booking_run::read_record()
{
    context_.platform.read(object_,
                           [self = shared_from_this()](const object_store::read_result& result) {
                               self->receive_record(result);
                           });
}

void booking_run::receive_record(const object_store::read_result& result)
{
    switch (result.status) {
    case object_store::read_status::unavailable:
        release_reservation();
        platform_unavailable();
        return;
    case object_store::read_status::absent:
        record_.reset();
        version_ = 0;
        break;
    case object_store::read_status::found:
        try {
            record_ = parse_booking_record(result.value.value);
        } catch (const error& failure) {
            fail({error_code::backend_error, failure.what(), verdict::may_have_run});
            return;
        }
        version_ = result.value.object_version;
        break;
    }
    decide();
}

void booking_run::decide()
{
    if (has_deadline_passed()) {
        const bool proved_not_run = !record_ || record_->state == booking_state::refused;
        fail({error_code::deadline, "the deadline has passed",
              proved_not_run ? verdict::not_run : verdict::may_have_run});
        return;
    }
    const bool gone = record_ && context_.is_gone(record_->agent);
    const auto step = next_step(record_, {request_.digest, token_, gone});
    if (step != booking_step::send) {
        release_reservation();
    }
    switch (step) {
    case booking_step::create:
    case booking_step::replace:
        prepare_attempt();
        return;
    case booking_step::send:
        send(false);
        return;
    case booking_step::return_answer:
        deliver(record_->answer);
        return;
    case booking_step::ask_agent:
        log(events::booking_resumed, {{"object", object_}, {"agent", to_string(record_->agent)}});
        ask_agent("lookup");
        return;
    case booking_step::ask_service:
        ask_service();
        return;
    case booking_step::reject:
        break;
    }
    fail({error_code::key_reused, "the key belongs to a request with other content"});
}

void booking_run::prepare_attempt()
{
    if (context_.crashes.is_quarantined(request_.digest)) {
        const bool had_attempt = context_.crashes.had_attempt(request_.digest, request_.key);
        fail({error_code::quarantined, "this content has crashed backend servers and is refused",
              had_attempt ? verdict::may_have_run : verdict::not_run});
        return;
    }
    const auto agent = context_.agents.choose(agent_criteria_);
    if (!agent && steady_now() < wait_deadline_) {
        agent_criteria_.tried.clear();
        run_after(poll_interval, [this] { prepare_attempt(); });
        return;
    }
    if (!agent) {
        fail(last_failure_.value_or(
            caller_error(error_code::backend_error,
                         "no backend server of service " + request_.service + " is live")));
        return;
    }
    const reserve_request request{.key = request_.key,
                                  .budget = request_.budget,
                                  .upper_tokens = request_.upper_tokens,
                                  .agent = agent->id,
                                  .attempt = record_ ? record_->attempt + 1 : 1,
                                  .digest = request_.digest,
                                  .has_caller_key = request_.has_caller_key};
    reservation_ = {.key = request.key, .agent = request.agent, .attempt = request.attempt};
    context_.reserve(request,
                     [self = shared_from_this(), agent = *agent](const reserve_result& result) {
                         self->handle_reservation(agent, result);
                     });
}

void booking_run::handle_reservation(const membership::node_record& agent,
                                     const reserve_result& result)
{
    switch (result.status) {
    case reserve_status::reserved:
        reserved_ = true;
        write_intent(agent, result);
        return;
    case reserve_status::key_in_use:
        wait_for_reservation();
        return;
    case reserve_status::exhausted:
        fail({error_code::budget_exhausted, "budget " + request_.budget + " has no room for " +
                                                std::to_string(request_.upper_tokens) + " tokens"});
        return;
    case reserve_status::unavailable:
        break;
    }
    fail({error_code::budget_unavailable,
          "it cannot be told now whether budget " + request_.budget + " has room"});
}

void booking_run::wait_for_reservation()
{
    if (steady_now() >= wait_deadline_) {
        fail({error_code::budget_unavailable, "another router holds a reservation for this key",
              verdict::may_have_run});
        return;
    }
    // A router that reserves tokens for a new attempt writes its intent immediately. If the record
    // still contains a refused attempt after half of the timeout, the reservation belongs to that
    // attempt and is stale.
    const bool is_stale = record_ && record_->state == booking_state::refused &&
                          steady_now() + wait_timeout / 2 >= wait_deadline_;
    if (is_stale && !std::exchange(released_stale_reservation_, true)) {
        context_.release(
            {.key = request_.key, .agent = record_->agent, .attempt = record_->attempt});
    }
    run_after(poll_interval, [this] { read_record(); });
}

void booking_run::write_intent(const membership::node_record& agent,
                               const reserve_result& reservation)
{
    booking_record intent;
    intent.agent = agent.id;
    intent.attempt = record_ ? record_->attempt + 1 : 1;
    intent.digest = request_.digest;
    intent.token = hash128_hex(std::to_string(context_.random()) + object_);
    intent.holder = reservation.holder;
    intent.holder_address = reservation.holder_address;
    token_ = intent.token;
    context_.platform.write(
        object_, to_json(intent).dump(), version_,
        [self = shared_from_this(), intent](const object_store::write_result& result) {
            self->handle_write_result(intent, result);
        });
}

void booking_run::handle_write_result(const booking_record& intent,
                                      const object_store::write_result& result)
{
    switch (result.status) {
    case object_store::write_status::applied:
        record_ = intent;
        version_ = result.object_version;
        decide();
        return;
    case object_store::write_status::conflict:
        contested_ = true;
        read_record();
        return;
    case object_store::write_status::unknown:
        // The write may have been applied although its answer was lost; the token in the record
        // shows whether the intent is this run's own.
        read_record();
        return;
    case object_store::write_status::unavailable:
    case object_store::write_status::too_large:
        break;
    }
    release_reservation();
    fail({error_code::platform_unavailable, "bookings need the platform, which does not answer"});
}

void booking_run::send(bool join_only)
{
    const auto agent = context_.find_agent(record_->agent);
    if (!agent && join_only) {
        ask_service();
        return;
    }
    if (!agent) {
        attempt_not_run({record_->attempt, verdict::not_run,
                         request::failure_reason::backend_unreachable, "the agent has gone"});
        return;
    }
    reserve_result reservation;
    reservation.holder = record_->holder;
    reservation.holder_address = record_->holder_address;
    reservation.agent = record_->agent;
    auto admission = make_admission(request_, reservation, context_.configuration()->generation());
    admission.attempt = record_->attempt;
    admission.join_only = join_only;
    ++attempts_;
    lease_ = context_.agents.begin(*agent, agent_criteria_.choice);
    attempt_handler handler;
    handler.on_chunk = [self = shared_from_this()](const json& data) { self->answer_data_ = data; };
    handler.held_bytes = [](std::size_t received) { return received; };
    handler.on_done = [self = shared_from_this()](const attempt_result& result) {
        self->handle_result(result);
    };
    attempt_ = std::make_shared<agent_attempt>(
        agent_attempt::context{context_.loop, context_.http, context_.rpc, context_.is_gone},
        std::move(admission), agent->peer_address, std::move(handler));
    attempt_->start();
}

void booking_run::handle_result(const attempt_result& result)
{
    end_lease(lease_, result);
    attempt_ = nullptr;
    if (std::holds_alternative<request::end_frame>(result)) {
        reserved_ = false;
        store_answer(answer_data_);
        return;
    }
    handle_failure(std::get<request::error_frame>(result));
}

void booking_run::handle_failure(const request::error_frame& failure)
{
    using request::failure_reason;
    log(events::attempt_failed, {{"workspace", request_.key.workspace},
                                 {"key", request_.key.key},
                                 {"agent", to_string(record_->agent)},
                                 {"reason", to_string(failure.reason)},
                                 {"verdict", to_string(failure.verdict)},
                                 {"message", failure.message}});
    context_.report_contact(record_->agent.node,
                            failure.reason != failure_reason::backend_unreachable);
    if (failure.reason == failure_reason::leaving) {
        context_.agents.mark_leaving(record_->agent);
        context_.report_leaving(record_->agent.node);
    }
    if (failure.reason == failure_reason::stale_configuration) {
        context_.refresh_configuration();
    }
    switch (failure.verdict) {
    case verdict::not_run:
        attempt_not_run(failure);
        return;
    case verdict::ran:
        reserved_ = false;
        fail(to_caller_error(failure));
        return;
    case verdict::may_have_run:
        break;
    }
    reserved_ = false;
    if (failure.reason != failure_reason::backend_crashed) {
        attempt_uncertain(failure);
        return;
    }
    context_.crashes.report(
        {request_.digest, request_.key, failure.attempt, to_string(record_->agent)},
        [self = shared_from_this(), failure] { self->attempt_uncertain(failure); });
}

void booking_run::attempt_not_run(const request::error_frame& failure)
{
    release_reservation();
    record_->state = booking_state::refused;
    last_failure_ = to_caller_error(failure);
    const auto& rule = rule_of(failure.reason);
    if (!may_attempt_again(failure, {false, false, attempts_}) ||
        (!rule.free_retry && !context_.consume_retry(request_.service))) {
        // If this write fails, a retry asks the agent, which reports the same refusal.
        context_.platform.write(object_, to_json(*record_).dump(), version_,
                                [](const object_store::write_result&) {});
        fail(*last_failure_);
        return;
    }
    if (!rule.same_agent) {
        agent_criteria_.tried.insert(record_->agent);
    }
    run_after(retry_delay(attempts_, context_.random), [this] { decide(); });
}

void booking_run::attempt_uncertain(const request::error_frame& failure)
{
    last_failure_ = to_caller_error(failure);
    ask_service();
}

void booking_run::store_answer(const json& data)
{
    record_->state = booking_state::finished;
    record_->answer = data;
    auto deliver_after_write = [self =
                                    shared_from_this()](const object_store::write_result& result) {
        if (result.status == object_store::write_status::too_large) {
            auto without_answer = *self->record_;
            without_answer.answer = nullptr;
            self->context_.platform.write(self->object_, to_json(without_answer).dump(),
                                          self->version_, [](const object_store::write_result&) {});
        }
        // If the write failed, a retry asks the agent, which also has the answer.
        self->deliver(self->record_->answer);
    };
    context_.platform.write(object_, to_json(*record_).dump(), version_,
                            std::move(deliver_after_write));
}

void booking_run::deliver(const json& data)
{
    if (data.is_null()) {
        fail({error_code::replay_gone, "the booking ran; its answer is no longer kept",
              verdict::ran});
        return;
    }
    add_chunk(answer_, data);
    end_answer(answer_, {});
    finish(nullptr);
}

void booking_run::release_reservation()
{
    if (std::exchange(reserved_, false)) {
        context_.release(reservation_);
    }
}

bool booking_run::has_deadline_passed() const
{
    return steady_now() >= request_.deadline;
}

void booking_run::run_after(milliseconds delay, std::function<void()> step)
{
    context_.loop.schedule(delay, [self = shared_from_this(), step = std::move(step)] { step(); });
}

void booking_run::fail(const caller_error& failure)
{
    log(events::request_refused, {{"workspace", request_.key.workspace},
                                  {"key", request_.key.key},
                                  {"code", to_string(failure.code())},
                                  {"verdict", to_string(failure.verdict())},
                                  {"message", failure.what()}});
    fail_answer(answer_, failure);
    finish(&failure);
}

void booking_run::finish(const caller_error* failure)
{
    if (std::exchange(finished_, true)) {
        return;
    }
    context_.open_bookings.erase(request_.key);
    lease_ = nullptr;
    attempt_ = nullptr;
    if (const auto on_finished = std::exchange(on_finished_, nullptr)) {
        on_finished(failure);
    }
}

} // namespace dotterelport::router
