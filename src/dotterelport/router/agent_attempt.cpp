#include "agent_attempt.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "events.hpp"

namespace dotterelport::router {
namespace {

constexpr const char* admission_path = "/v1/requests";

/// An agent answers an admission immediately, before its backend server responds.
constexpr milliseconds admission_timeout{3'000};

/// A stream without data for this time is joined again, to detect a dead agent.
constexpr milliseconds stream_idle_timeout{10'000};

constexpr milliseconds resolve_timeout{1'000};

/// Delays before a broken connection is replaced: 20 ms, doubled after each failure up to 1,280 ms.
/// The attempt gives up after seven failed replacements in a row (2.5 s of delays).
constexpr milliseconds first_rejoin_delay{20};
constexpr int max_consecutive_failures = 7;
/// Number of frames that belong to no attempt or repeat others, after which the agent is not
/// expected to send any that continue the attempt.
constexpr int max_dropped_frames = 1'000;

/// The agent measures the deadline from the receipt of the admission, which is later than its
/// sending. The router waits this much longer, so that the agent's verdict can arrive.
constexpr milliseconds deadline_grace{500};

json key_parameters(const request::admission& admission)
{
    return {{"workspace", admission.key.workspace},
            {"key", admission.key.key},
            {"agent", to_string(admission.agent)}};
}

std::uint32_t attempt_of(const request::frame& received)
{
    return std::visit([](const auto& item) { return item.attempt; }, received);
}

} // namespace

frame_filter::action frame_filter::check(const request::frame& received)
{
    if (const auto* admitted = std::get_if<request::admitted_frame>(&received)) {
        if (attempt_ && *attempt_ != admitted->attempt) {
            return action::drop;
        }
        attempt_ = admitted->attempt;
        return action::pass;
    }
    if (std::holds_alternative<request::error_frame>(received) && !attempt_) {
        return action::pass;
    }
    if (!attempt_ || attempt_of(received) != *attempt_) {
        return action::drop;
    }
    if (const auto* chunk = std::get_if<request::chunk_frame>(&received)) {
        if (chunk->sequence != next_sequence_) {
            return chunk->sequence < next_sequence_ ? action::drop : action::gap;
        }
        ++next_sequence_;
    }
    return action::pass;
}

agent_attempt::agent_attempt(context environment, request::admission admission,
                             net::endpoint address, attempt_handler handler)
    : context_(std::move(environment)), admission_(std::move(admission)),
      address_(std::move(address)), handler_(std::move(handler)), filter_(admission_.offset),
      held_(context_.http.buffers()), deadline_at_(steady_now() + admission_.time_left)
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
    admission_.time_left = std::max(remaining, milliseconds{1});
    admission_.offset = filter_.next_sequence();
    admission_.join_only = admission_.join_only || admitted_;
    filter_.restart();
    line_splitter_ =
        std::make_unique<net::line_splitter>([this](std::string_view line) { receive_line(line); });
    net::client_request message;
    message.to = address_;
    message.method = "POST";
    message.path = admission_path;
    message.headers = {{"content-type", "application/json"}};
    message.body = to_json(admission_).dump();
    message.answer_timeout = std::min(admission_timeout, remaining + deadline_grace);
    message.idle_timeout = std::min(stream_idle_timeout, remaining + deadline_grace);
    const std::weak_ptr<agent_attempt> weak = weak_from_this();
    net::answer_handler handler;
    handler.on_data = [weak](std::string_view data) {
        if (const auto self = weak.lock(); self && !self->done_) {
            self->receive_data(data);
        }
    };
    handler.on_complete = [weak] {
        if (const auto self = weak.lock()) {
            self->handle_completion();
        }
    };
    handler.on_failure = [weak](net::failure_stage stage, const std::string& text) {
        if (const auto self = weak.lock()) {
            self->handle_failure(stage, text);
        }
    };
    exchange_ = context_.http.start(message, std::move(handler));
}

void agent_attempt::receive_data(std::string_view data)
{
    line_splitter_->feed(data);
    if (done_ || exchange_ == 0) {
        return;
    }
    if (steady_now() > deadline_at_ + deadline_grace || dropped_frames_ > max_dropped_frames) {
        const bool is_late = dropped_frames_ <= max_dropped_frames;
        context_.rpc.call(address_, "cancel", key_parameters(admission_), resolve_timeout,
                          [](const net::rpc_result&) {});
        finish_error(verdict::may_have_run,
                     is_late ? request::failure_reason::deadline
                             : request::failure_reason::backend_error,
                     is_late ? "the deadline has passed" : "the agent sends other frames");
        return;
    }
    received_bytes_ += data.size();
    const std::size_t held = line_splitter_->incomplete_bytes() +
                             (handler_.held_bytes ? handler_.held_bytes(received_bytes_) : 0);
    if (line_splitter_->is_overlong() || !held_.resize(held)) {
        context_.rpc.call(address_, "cancel", key_parameters(admission_), resolve_timeout,
                          [](const net::rpc_result&) {});
        finish_error(verdict::may_have_run, request::failure_reason::backend_error,
                     std::string(net::too_large_message));
    }
}

void agent_attempt::receive_line(std::string_view line)
{
    if (done_ || exchange_ == 0 || line.empty()) {
        return;
    }
    try {
        receive_frame(request::parse_frame(line));
    } catch (const error& failure) {
        connection_lost(failure.what());
    }
}

void agent_attempt::receive_frame(const request::frame& received)
{
    switch (filter_.check(received)) {
    case frame_filter::action::drop:
        if (++dropped_frames_ > max_dropped_frames) {
            return;
        }
        log(events::frame_dropped, {{"workspace", admission_.key.workspace},
                                    {"key", admission_.key.key},
                                    {"agent", to_string(admission_.agent)},
                                    {"attempt", attempt_of(received)}});
        return;
    case frame_filter::action::gap:
        connection_lost("frames are missing");
        return;
    case frame_filter::action::pass:
        break;
    }
    if (std::holds_alternative<request::admitted_frame>(received)) {
        admitted_ = true;
        consecutive_failures_ = 0;
    } else if (const auto* chunk = std::get_if<request::chunk_frame>(&received)) {
        handler_.on_chunk(chunk->data);
    } else if (const auto* end = std::get_if<request::end_frame>(&received)) {
        finish(*end);
    } else {
        handle_error(std::get<request::error_frame>(received));
    }
}

void agent_attempt::handle_error(const request::error_frame& attempt_error)
{
    using request::failure_reason;
    const bool was_sent_before = uncertain_ || admitted_;
    const bool permanent = attempt_error.reason == failure_reason::refused_key;
    if (!was_sent_before || attempt_error.verdict != verdict::not_run || permanent) {
        finish(attempt_error);
        return;
    }
    if (attempt_error.reason == failure_reason::wrong_incarnation) {
        finish_error(verdict::may_have_run, failure_reason::backend_unreachable,
                     "the agent was restarted");
        return;
    }
    resolve_uncertain(attempt_error);
}

void agent_attempt::handle_failure(net::failure_stage stage, const std::string& message)
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

void agent_attempt::handle_completion()
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
    ++consecutive_failures_;
    if (context_.is_gone(admission_.agent) || consecutive_failures_ > max_consecutive_failures) {
        resolve_uncertain({admission_.attempt, verdict::may_have_run,
                           request::failure_reason::backend_unreachable, message});
        return;
    }
    log(events::attempt_rejoined, {{"workspace", admission_.key.workspace},
                                   {"key", admission_.key.key},
                                   {"agent", to_string(admission_.agent)},
                                   {"next", filter_.next_sequence()},
                                   {"cause", message}});
    const auto delay = first_rejoin_delay * (1 << (consecutive_failures_ - 1));
    timer_ = context_.loop.schedule(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->done_) {
            self->send();
        }
    });
}

void agent_attempt::resolve_uncertain(request::error_frame attempt_error)
{
    // An earlier admission may still be in transit, so only a permanent refusal proves "not run".
    if (exchange_ != 0) {
        context_.http.cancel(std::exchange(exchange_, 0));
    }
    attempt_error.verdict = verdict::may_have_run;
    if (admitted_) {
        finish(attempt_error);
        return;
    }
    context_.rpc.call(
        address_, "refuse", key_parameters(admission_), resolve_timeout,
        [weak = weak_from_this(), attempt_error](const net::rpc_result& result) mutable {
            const auto self = weak.lock();
            if (!self || self->done_) {
                return;
            }
            if (result.ok() && result.value.value("state", "") == "refused") {
                attempt_error.verdict = verdict::not_run;
            }
            self->finish(attempt_error);
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
    // The handler is called from the event loop, so that it may start or destroy attempts.
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
        context_.rpc.call(address_, "cancel", key_parameters(admission_), resolve_timeout,
                          [](const net::rpc_result&) {});
    }
    abandon();
}

} // namespace dotterelport::router
