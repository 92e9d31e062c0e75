#include "agent_attempt.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "events.hpp"

namespace dotterelport::router {
namespace {

constexpr const char* admission_path = "/v1/requests";

/// An agent answers an admission at once, before its backend server does.
constexpr milliseconds admission_timeout{3'000};

/// A stream that is silent for this long is joined again, which shows whether the agent is alive.
constexpr milliseconds silence_limit{10'000};

constexpr milliseconds resolve_timeout{1'000};

/// Waits before a broken connection is replaced: 20 ms, doubled up to 640 ms. With seven tries an
/// agent that cannot be reached is given up after 1.3 s.
constexpr milliseconds first_join_wait{20};
constexpr int max_failures_in_row = 7;

/// The agent's clock for the deadline starts later than ours, so its own verdict arrives first.
constexpr milliseconds deadline_grace{500};

json key_parameters(const request::admission& admission)
{
    return {{"workspace", admission.key.workspace},
            {"key", admission.key.key},
            {"agent", to_string(admission.agent)}};
}

std::uint32_t attempt_of(const request::frame& value)
{
    return std::visit([](const auto& item) { return item.attempt; }, value);
}

} // namespace

frame_filter::action frame_filter::check(const request::frame& value)
{
    if (const auto* admitted = std::get_if<request::admitted_frame>(&value)) {
        if (attempt_ && *attempt_ != admitted->attempt) {
            return action::drop;
        }
        attempt_ = admitted->attempt;
        return action::pass;
    }
    if (std::holds_alternative<request::error_frame>(value) && !attempt_) {
        return action::pass;
    }
    if (!attempt_ || attempt_of(value) != *attempt_) {
        return action::drop;
    }
    if (const auto* chunk = std::get_if<request::chunk_frame>(&value)) {
        if (chunk->sequence != next_) {
            return chunk->sequence < next_ ? action::drop : action::gap;
        }
        ++next_;
    }
    return action::pass;
}

agent_attempt::agent_attempt(context environment, request::admission admission, net::endpoint to,
                             attempt_handler handler)
    : context_(std::move(environment)), admission_(std::move(admission)), to_(std::move(to)),
      handler_(std::move(handler)), filter_(admission_.offset),
      deadline_at_(steady_now() + admission_.deadline)
{}

agent_attempt::~agent_attempt()
{
    close();
}

void agent_attempt::start()
{
    send();
}

void agent_attempt::send()
{
    const auto remaining = deadline_at_ - steady_now();
    if (remaining + deadline_grace <= milliseconds{0}) {
        finish_error(uncertain_ || admitted_ ? verdict::may_have_run : verdict::not_run,
                     request::failure_reason::deadline, "the deadline has passed");
        return;
    }
    admission_.deadline = std::max(remaining, milliseconds{1});
    admission_.offset = filter_.next();
    admission_.join_only = admission_.join_only || admitted_;
    filter_.restart();
    lines_ =
        std::make_unique<net::line_splitter>([this](std::string_view line) { take_line(line); });
    net::client_request message;
    message.to = to_;
    message.method = "POST";
    message.path = admission_path;
    message.headers = {{"content-type", "application/json"}};
    message.body = to_json(admission_).dump();
    message.answer_timeout = std::min(admission_timeout, remaining + deadline_grace);
    message.idle_timeout = std::min(silence_limit, remaining + deadline_grace);
    const std::weak_ptr<agent_attempt> weak = weak_from_this();
    net::answer_handler handler;
    handler.on_data = [weak](std::string_view data) {
        if (const auto self = weak.lock(); self && !self->done_) {
            self->lines_->feed(data);
        }
    };
    handler.on_complete = [weak] {
        if (const auto self = weak.lock()) {
            self->take_complete();
        }
    };
    handler.on_failure = [weak](net::failure_stage stage, const std::string& text) {
        if (const auto self = weak.lock()) {
            self->take_failure(stage, text);
        }
    };
    exchange_ = context_.http.start(message, std::move(handler));
}

void agent_attempt::take_line(std::string_view line)
{
    if (done_ || exchange_ == 0 || line.empty()) {
        return;
    }
    try {
        take_frame(request::parse_frame(line));
    } catch (const error& failure) {
        connection_lost(failure.what());
    }
}

void agent_attempt::take_frame(const request::frame& value)
{
    switch (filter_.check(value)) {
    case frame_filter::action::drop:
        log(events::frame_dropped, {{"workspace", admission_.key.workspace},
                                    {"key", admission_.key.key},
                                    {"agent", to_string(admission_.agent)},
                                    {"attempt", attempt_of(value)}});
        return;
    case frame_filter::action::gap:
        connection_lost("frames are missing");
        return;
    case frame_filter::action::pass:
        break;
    }
    if (std::holds_alternative<request::admitted_frame>(value)) {
        admitted_ = true;
        failures_in_row_ = 0;
    } else if (const auto* chunk = std::get_if<request::chunk_frame>(&value)) {
        handler_.on_chunk(chunk->data);
    } else if (const auto* end = std::get_if<request::end_frame>(&value)) {
        finish(*end);
    } else {
        take_error(std::get<request::error_frame>(value));
    }
}

void agent_attempt::take_error(const request::error_frame& value)
{
    using request::failure_reason;
    const bool was_sent_before = uncertain_ || admitted_;
    const bool permanent = value.reason == failure_reason::refused_key;
    if (!was_sent_before || value.verdict != verdict::not_run || permanent) {
        finish(value);
        return;
    }
    if (value.reason == failure_reason::wrong_incarnation) {
        finish_error(verdict::may_have_run, failure_reason::backend_unreachable,
                     "the agent was restarted");
        return;
    }
    resolve_uncertain(value);
}

void agent_attempt::take_failure(net::failure_stage stage, const std::string& message)
{
    if (done_) {
        return;
    }
    exchange_ = 0;
    if (stage == net::failure_stage::connect && !uncertain_ && !admitted_) {
        finish_error(verdict::not_run, request::failure_reason::backend_unreachable, message);
        return;
    }
    uncertain_ = uncertain_ || stage != net::failure_stage::connect;
    connection_lost(message);
}

void agent_attempt::take_complete()
{
    if (done_ || exchange_ == 0) {
        return;
    }
    exchange_ = 0;
    uncertain_ = true;
    connection_lost("the answer ended early");
}

void agent_attempt::connection_lost(const std::string& message)
{
    if (exchange_ != 0) {
        context_.http.cancel(std::exchange(exchange_, 0));
        uncertain_ = true;
    }
    ++failures_in_row_;
    if (context_.is_gone(admission_.agent) || failures_in_row_ > max_failures_in_row) {
        resolve_uncertain({admission_.attempt, verdict::may_have_run,
                           request::failure_reason::backend_unreachable, message});
        return;
    }
    log(events::attempt_rejoined, {{"workspace", admission_.key.workspace},
                                   {"key", admission_.key.key},
                                   {"agent", to_string(admission_.agent)},
                                   {"next", filter_.next()},
                                   {"cause", message}});
    const auto wait = first_join_wait * (1 << (failures_in_row_ - 1));
    timer_ = context_.loop.schedule(wait, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->done_) {
            self->send();
        }
    });
}

void agent_attempt::resolve_uncertain(request::error_frame value)
{
    // An earlier message may still be on its way, so only a permanent refusal proves "not run".
    if (exchange_ != 0) {
        context_.http.cancel(std::exchange(exchange_, 0));
    }
    value.verdict = verdict::may_have_run;
    if (admitted_) {
        finish(value);
        return;
    }
    context_.rpc.call(to_, "refuse", key_parameters(admission_), resolve_timeout,
                      [weak = weak_from_this(), value](const net::rpc_result& result) mutable {
                          const auto self = weak.lock();
                          if (!self || self->done_) {
                              return;
                          }
                          if (result.ok() && result.value.value("state", "") == "refused") {
                              value.verdict = verdict::not_run;
                          }
                          self->finish(value);
                      });
}

void agent_attempt::finish_error(verdict outcome, request::failure_reason reason,
                                 const std::string& message)
{
    finish(request::error_frame{admission_.attempt, outcome, reason, message});
}

void agent_attempt::finish(const attempt_result& result)
{
    if (done_) {
        return;
    }
    const auto self = shared_from_this();
    close();
    // The handler runs from the loop, so that it may start or drop attempts freely.
    context_.loop.post([self, result] {
        if (const auto on_done = std::exchange(self->handler_.on_done, nullptr)) {
            on_done(result);
        }
    });
}

void agent_attempt::close()
{
    done_ = true;
    context_.loop.cancel(std::exchange(timer_, 0));
    if (exchange_ != 0) {
        context_.http.cancel(std::exchange(exchange_, 0));
    }
}

void agent_attempt::abandon()
{
    handler_.on_done = nullptr;
    close();
}

void agent_attempt::cancel()
{
    if (!done_) {
        context_.rpc.call(to_, "cancel", key_parameters(admission_), resolve_timeout,
                          [](const net::rpc_result&) {});
    }
    abandon();
}

} // namespace dotterelport::router
