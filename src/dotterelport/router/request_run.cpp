#include "request_run.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/request/prompt.hpp"
#include "events.hpp"
#include "intake.hpp"

namespace dotterelport::router {
namespace {

/// Longest wait for a live agent with spare capacity, and for the owner of a budget to detect that
/// an agent is gone.
constexpr milliseconds wait_timeout{5'000};
constexpr milliseconds poll_interval{200};

constexpr milliseconds first_retry_delay{10};

/// Maximum number of prompt blocks that are looked up in the views of the prefix caches.
constexpr std::size_t max_prefix_blocks = 64;

json log_fields(const checked_request& request)
{
    return {{"workspace", request.key.workspace},
            {"key", request.key.key},
            {"service", request.service}};
}

} // namespace

request::admission make_admission(const checked_request& request, const reserve_result& reservation,
                                  std::uint64_t generation)
{
    request::admission admission;
    admission.key = request.key;
    admission.agent = reservation.agent;
    admission.holder = reservation.holder;
    admission.holder_address = reservation.holder_address;
    admission.budget = request.budget;
    admission.upper_tokens = request.upper_tokens;
    admission.generation = generation;
    admission.time_left = request.deadline - steady_now();
    admission.priority = request.priority;
    admission.service = request.service;
    admission.kind = request.kind;
    admission.idempotent = request.idempotent;
    admission.digest = request.digest;
    admission.offset = request.offset;
    admission.payload = request.payload;
    return admission;
}

agent_criteria make_agent_criteria(const checked_request& request)
{
    agent_criteria result;
    result.service = request.service;
    result.choice.priority = request.priority;
    if (request.kind == request::request_kind::chat) {
        const std::string prompt = request::prompt_text(request.payload);
        result.choice.prompt_tokens = request::count_prompt_tokens(prompt);
        result.choice.prefix =
            routing::parse_prefix_hashes(request::prefix_hashes(prompt, max_prefix_blocks));
    }
    return result;
}

void end_lease(std::unique_ptr<agent_lease>& lease, const attempt_result& result)
{
    using request::failure_reason;
    if (!lease) {
        return;
    }
    if (const auto* end = std::get_if<request::end_frame>(&result)) {
        lease->finished(std::max(1.0, static_cast<double>(end->completion_tokens)));
    } else {
        const auto reason = std::get<request::error_frame>(result).reason;
        if (reason == failure_reason::backend_unreachable ||
            reason == failure_reason::backend_crashed || reason == failure_reason::backend_error) {
            lease->failed();
        }
    }
    lease = nullptr;
}

milliseconds retry_delay(int attempt, std::mt19937_64& random)
{
    const auto max_delay = first_retry_delay * (1 << std::min(attempt, max_attempts));
    std::uniform_int_distribution<milliseconds::rep> jitter(max_delay.count() / 2,
                                                            max_delay.count());
    return milliseconds(jitter(random));
}

request_run::request_run(dispatch_context& context, checked_request request, answer reply,
                         std::function<void(const caller_error*)> on_finished)
    : context_(context), request_(std::move(request)), answer_(std::move(reply)),
      on_finished_(std::move(on_finished)), agent_criteria_(make_agent_criteria(request_)),
      wait_deadline_(steady_now() + wait_timeout)
{}

void request_run::start()
{
    context_.record_first_attempt(request_.service);
    choose_agent();
}

bool request_run::is_quarantined()
{
    if (!context_.crashes.is_quarantined(request_.digest)) {
        return false;
    }
    const bool had_attempt =
        may_have_run_ || context_.crashes.had_attempt(request_.digest, request_.key);
    fail({error_code::quarantined, "this content has crashed backend servers and is refused",
          had_attempt ? verdict::may_have_run : verdict::not_run});
    return true;
}

void request_run::choose_agent()
{
    if (is_quarantined()) {
        return;
    }
    if (steady_now() >= request_.deadline) {
        fail({error_code::deadline, "the deadline has passed",
              may_have_run_ ? verdict::may_have_run : verdict::not_run});
        return;
    }
    auto agent = context_.agents.choose(agent_criteria_);
    if (const auto recent = context_.recent.find(request_.key);
        recent && !agent_criteria_.tried.contains(*recent)) {
        const auto record = context_.agents.find(*recent);
        agent = record ? record : agent;
    }
    if (!agent) {
        wait_for_agent();
        return;
    }
    reserve(*agent);
}

void request_run::wait_for_agent()
{
    if (steady_now() < wait_deadline_) {
        agent_criteria_.tried.clear();
        run_after(poll_interval, &request_run::choose_agent);
        return;
    }
    const auto outcome = may_have_run_ ? verdict::may_have_run : verdict::not_run;
    if (last_failure_) {
        fail({last_failure_->code(), last_failure_->what(), outcome});
        return;
    }
    fail({error_code::backend_error,
          "no backend server of service " + request_.service + " is live", outcome});
}

void request_run::reserve(const membership::node_record& agent)
{
    const reserve_request request{.key = request_.key,
                                  .budget = request_.budget,
                                  .upper_tokens = request_.upper_tokens,
                                  .agent = agent.id,
                                  .attempt = attempt_number_ + 1,
                                  .digest = request_.digest,
                                  .has_caller_key = request_.has_caller_key};
    const release_request reservation{
        .key = request.key, .agent = request.agent, .attempt = request.attempt};
    context_.reserve(
        request, [self = shared_from_this(), agent, reservation](const reserve_result& result) {
            if (!self->finished_) {
                self->reservation_ = reservation;
                self->handle_reservation(agent, result);
            } else if (result.status == reserve_status::reserved && !self->may_have_run_) {
                self->context_.release(reservation);
            }
        });
}

void request_run::handle_reservation(const membership::node_record& agent,
                                     const reserve_result& result)
{
    const auto outcome = may_have_run_ ? verdict::may_have_run : verdict::not_run;
    switch (result.status) {
    case reserve_status::reserved:
        reserved_ = true;
        admit(agent, result);
        return;
    case reserve_status::key_in_use:
        reserved_ = false;
        join_existing_attempt(result);
        return;
    case reserve_status::exhausted:
        fail({error_code::budget_exhausted,
              "budget " + request_.budget + " has no room for " +
                  std::to_string(request_.upper_tokens) + " tokens",
              outcome});
        return;
    case reserve_status::unavailable:
        break;
    }
    fail({error_code::budget_unavailable,
          "it cannot be told now whether budget " + request_.budget + " has room", outcome});
}

void request_run::join_existing_attempt(const reserve_result& result)
{
    may_have_run_ = true;
    if (const auto agent = context_.find_agent(result.agent)) {
        admit(*agent, result);
        return;
    }
    // The owner of the budget releases the key once it has detected that the agent is gone.
    if (steady_now() < wait_deadline_) {
        run_after(poll_interval, &request_run::choose_agent);
        return;
    }
    fail({error_code::backend_error, "the agent that ran this request cannot be reached",
          verdict::may_have_run});
}

void request_run::admit(const membership::node_record& agent, const reserve_result& result)
{
    const auto configuration = context_.configuration();
    auto reservation = result;
    reservation.agent = agent.id;
    auto admission = make_admission(request_, reservation, configuration->generation());
    ++attempts_;
    admission.attempt = ++attempt_number_;
    if (request_.has_caller_key) {
        context_.recent.record(request_.key, agent.id);
    }
    lease_ = context_.agents.begin(agent, agent_criteria_.choice);
    attempt_handler handler;
    handler.on_chunk = [self = shared_from_this()](const json& data) {
        self->lease_->answered();
        add_chunk(self->answer_, data);
    };
    handler.held_bytes = [self = shared_from_this()](std::size_t received) {
        return held_bytes(self->answer_, received);
    };
    handler.on_done = [self = shared_from_this(), agent](const attempt_result& ended) {
        self->handle_result(agent, ended);
    };
    attempt_ = std::make_shared<agent_attempt>(
        agent_attempt::context{context_.loop, context_.http, context_.rpc, context_.is_gone},
        std::move(admission), agent.peer_address, std::move(handler));
    attempt_->start();
}

void request_run::handle_result(const membership::node_record& agent, const attempt_result& result)
{
    if (finished_) {
        return;
    }
    end_lease(lease_, result);
    attempt_ = nullptr;
    if (const auto* end = std::get_if<request::end_frame>(&result)) {
        context_.report_contact(agent.id.node, true);
        end_answer(answer_, *end);
        finish(nullptr);
        return;
    }
    handle_failure(agent, std::get<request::error_frame>(result));
}

void request_run::handle_failure(const membership::node_record& agent,
                                 const request::error_frame& failure)
{
    using request::failure_reason;
    json fields = log_fields(request_);
    fields.update({{"agent", to_string(agent.id)},
                   {"reason", to_string(failure.reason)},
                   {"verdict", to_string(failure.verdict)},
                   {"message", failure.message}});
    log(events::attempt_failed, fields);
    attempt_number_ = std::max(attempt_number_, failure.attempt);
    may_have_run_ = may_have_run_ || failure.verdict != verdict::not_run;
    context_.report_contact(agent.id.node, failure.reason != failure_reason::backend_unreachable);
    release_if_not_run(failure.verdict);
    if (failure.reason == failure_reason::leaving) {
        context_.agents.mark_leaving(agent.id);
        context_.report_leaving(agent.id.node);
    }
    if (failure.reason == failure_reason::stale_configuration) {
        context_.refresh_configuration();
    }
    if (failure.reason != failure_reason::backend_crashed) {
        retry_or_fail(agent, failure);
        return;
    }
    context_.crashes.report({request_.digest, request_.key, failure.attempt, to_string(agent.id)},
                            [self = shared_from_this(), agent, failure] {
                                if (!self->finished_) {
                                    self->retry_or_fail(agent, failure);
                                }
                            });
}

void request_run::release_if_not_run(verdict outcome)
{
    if (outcome == verdict::not_run && reserved_ && !may_have_run_) {
        context_.release(reservation_);
        context_.recent.forget(request_.key);
        reserved_ = false;
    }
}

void request_run::retry_or_fail(const membership::node_record& agent,
                                const request::error_frame& failure)
{
    const attempt_state state{request_.idempotent, has_answer_started(answer_), attempts_};
    last_failure_ = to_caller_error(failure);
    const auto& rule = rule_of(failure.reason);
    const bool allowed = may_attempt_again(failure, state) &&
                         (rule.free_retry || context_.consume_retry(request_.service));
    if (!allowed) {
        const bool earlier_ran = failure.verdict == verdict::not_run && may_have_run_;
        fail(earlier_ran
                 ? caller_error(last_failure_->code(), last_failure_->what(), verdict::may_have_run)
                 : *last_failure_);
        return;
    }
    if (!rule.same_agent) {
        agent_criteria_.tried.insert(agent.id);
        context_.recent.forget(request_.key);
    }
    try {
        authorise_again(*context_.configuration(), request_);
    } catch (const caller_error& refusal) {
        fail(refusal);
        return;
    }
    reset_answer(answer_);
    run_after(retry_delay(attempts_, context_.random), &request_run::choose_agent);
}

void request_run::run_after(milliseconds delay, void (request_run::*step)())
{
    timer_ = context_.loop.schedule(delay, [self = shared_from_this(), step] {
        if (!self->finished_) {
            (self.get()->*step)();
        }
    });
}

void request_run::handle_caller_disconnect()
{
    if (finished_) {
        return;
    }
    if (attempt_) {
        if (request_.has_caller_key) {
            attempt_->abandon();
        } else {
            attempt_->cancel();
        }
    }
    finish(nullptr);
}

void request_run::fail(const caller_error& failure)
{
    json fields = log_fields(request_);
    fields.update({{"code", to_string(failure.code())},
                   {"verdict", to_string(failure.verdict())},
                   {"message", failure.what()}});
    log(events::request_refused, fields);
    fail_answer(answer_, failure);
    finish(&failure);
}

void request_run::finish(const caller_error* failure)
{
    if (std::exchange(finished_, true)) {
        return;
    }
    context_.loop.cancel(std::exchange(timer_, 0));
    lease_ = nullptr;
    attempt_ = nullptr;
    if (const auto on_finished = std::exchange(on_finished_, nullptr)) {
        on_finished(failure);
    }
}

} // namespace dotterelport::router
