#include "dotterelport/agent/request_runner.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/agent/backend_request.hpp"
#include "dotterelport/agent/events.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::agent {
namespace {

using request::failure_reason;

/// Interval at which more frames are written to slow readers.
constexpr milliseconds reader_interval{25};

/// Longer deadlines of requests are shortened to this.
constexpr milliseconds max_deadline{3'600'000};

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

template<typename... Functions> struct overloaded : Functions... {
    using Functions::operator()...;
};
template<typename... Functions> overloaded(Functions...) -> overloaded<Functions...>;

request::error_frame make_gone_frame(const request::join_decision& decision)
{
    return {decision.attempt, decision.verdict, failure_reason::replay_gone,
            "the answer is not kept any more"};
}

} // namespace

request_runner::request_runner(net::event_loop& loop, backend& server, options settings,
                               std::function<request::admission_conditions()> conditions)
    : loop_(loop), backend_(server), settings_(std::move(settings)),
      conditions_(std::move(conditions)), replay_(settings_.replay),
      reader_timer_(loop, reader_interval, [this] { readers_.advance_all(); })
{}

void request_runner::serve(net::http_server& server)
{
    server.route("POST", "/v1/requests",
                 [this](const net::http_request& request,
                        const std::shared_ptr<net::http_response>& response) {
                     handle_request(request, response);
                 });
}

void request_runner::handle_request(const net::http_request& request,
                                    const std::shared_ptr<net::http_response>& response)
{
    try {
        auto message = request::parse_admission(json::parse(request.body, nullptr, false));
        if (message.service != settings_.service) {
            throw format_error("admission", "/service", "expected " + settings_.service);
        }
        message.time_left = std::min(message.time_left, max_deadline);
        net::client_request backend_request;
        if (!message.join_only) {
            backend_request = make_backend_request(message, backend_.address());
        }
        admit(message, backend_request, response);
    } catch (const format_error& failure) {
        log(events::malformed_admission, {{"message", failure.what()}});
        send_json(*response, status_bad_request,
                  json{{"error", {{"message", failure.what()}, {"code", "invalid_request"}}}}.dump(
                      -1, ' ', false, json::error_handler_t::replace));
    }
}

void request_runner::admit(const request::admission& message,
                           const net::client_request& backend_request,
                           const std::shared_ptr<net::http_response>& response)
{
    if (on_generation_) {
        on_generation_(message.generation);
    }
    const auto decision = table_.admit(message, current_conditions());
    response->start(status_ok, {{"content-type", "application/x-ndjson"}});
    std::visit(
        overloaded{[&](const request::start_decision&) {
                       ++counts_.started;
                       start(message, backend_request);
                       write_frame(*response, request::admitted_frame{message.attempt, false});
                       readers_.add(message.key, message.offset, response,
                                    make_gone_frame({message.attempt}));
                   },
                   [&](const request::join_decision& join) {
                       ++counts_.joined;
                       write_frame(*response, request::admitted_frame{join.attempt, true});
                       readers_.add(message.key, message.offset, response, make_gone_frame(join));
                   },
                   [&](const request::refuse_decision& refusal) {
                       ++counts_.refused;
                       log(events::request_refused, {{"workspace", message.key.workspace},
                                                     {"key", message.key.key},
                                                     {"reason", to_string(refusal.reason)}});
                       write_frame(*response,
                                   request::error_frame{message.attempt, refusal.verdict,
                                                        refusal.reason, refusal.message});
                       response->finish();
                   }},
        decision);
}

request::admission_conditions request_runner::current_conditions() const
{
    auto conditions = conditions_();
    if (conditions.overload_reason.empty()) {
        if (runs_.size() >= settings_.max_running_requests) {
            conditions.overload_reason = "too many requests at the backend server";
        } else if (outcomes_.size() + runs_.size() >= settings_.max_unsettled_outcomes) {
            conditions.overload_reason = "too many outcomes are not durable yet";
        } else if (replay_.is_full()) {
            conditions.overload_reason = "the replay buffers are full";
        }
    }
    return conditions;
}

void request_runner::start(const request::admission& message,
                           const net::client_request& backend_request)
{
    const request_key key = message.key;
    replay_.open(key);
    run new_run;
    new_run.message = message;
    // The payload is not needed any more and can be large.
    new_run.message.payload = nullptr;
    new_run.backend_run =
        backend_.start(message.kind, backend_request,
                       {.on_chunk = [this, key](const json& data) { append_chunk(key, data); },
                        .on_end = [this, key](const backend_result& result) { end(key, result); }});
    new_run.deadline_timer = loop_.schedule(message.time_left, [this, key] {
        stop(key, failure_reason::deadline, "the deadline has passed");
    });
    runs_.emplace(key, std::move(new_run));
}

void request_runner::append_chunk(const request_key& key, const json& data)
{
    const auto found = runs_.find(key);
    if (found == runs_.end()) {
        return;
    }
    ++counts_.chunks;
    replay_.append(key, format_frame(request::chunk_frame{found->second.message.attempt,
                                                          replay_.end_position(key), data}));
    readers_.advance(key);
}

void request_runner::end(const request_key& key, const backend_result& result)
{
    auto extracted = runs_.extract(key);
    if (extracted.empty()) {
        return;
    }
    const run& ended_run = extracted.mapped();
    loop_.cancel(ended_run.deadline_timer);
    table_.finish(key, result.run_verdict);
    add_outcome(ended_run, result);
    const std::uint32_t attempt = ended_run.message.attempt;
    const token_usage usage = result.usage.value_or(token_usage{});
    replay_.finish(
        key, result.reason
                 ? format_frame(request::error_frame{attempt, result.run_verdict, *result.reason,
                                                     result.message})
                 : format_frame(request::end_frame{attempt, result.run_verdict, usage.prompt_tokens,
                                                   usage.completion_tokens}));
    readers_.advance(key);
    counts_.crashes += result.reason == failure_reason::backend_crashed ? 1 : 0;
    log(events::request_ended,
        {{"workspace", key.workspace},
         {"key", key.key},
         {"attempt", attempt},
         {"verdict", to_string(result.run_verdict)},
         {"reason", result.reason ? to_string(*result.reason) : std::string_view("none")}});
}

void request_runner::add_outcome(const run& ended_run, const backend_result& result)
{
    switch (result.run_verdict) {
    case verdict::not_run:
        // The router releases the reservation or moves it to another agent.
        ++counts_.not_run;
        return;
    case verdict::ran:
        ++counts_.ran;
        break;
    case verdict::may_have_run:
        ++counts_.may_have_run;
        break;
    }
    const request::admission& message = ended_run.message;
    if (message.budget.empty()) {
        // A router's own call, such as a lookup, belongs to no budget and has no bill line.
        return;
    }
    const token_usage usage = result.usage.value_or(token_usage{});
    // Unless the request ran and its usage was reported, no tokens can be proved unused, and the
    // upper bound is charged.
    const bool is_usage_final = result.run_verdict == verdict::ran && result.usage.has_value();
    const tokens charged = is_usage_final ? std::min(usage.prompt_tokens + usage.completion_tokens,
                                                     message.upper_tokens)
                                          : message.upper_tokens;
    counts_.charged_tokens += static_cast<std::uint64_t>(charged);
    outcomes_.add({.key = message.key,
                   .attempt = message.attempt,
                   .budget = message.budget,
                   .holder = message.holder,
                   .verdict = result.run_verdict,
                   .charged = charged,
                   .prompt_tokens = usage.prompt_tokens,
                   .completion_tokens = usage.completion_tokens,
                   .service = message.service,
                   .agent = message.agent},
                  message.holder_address);
}

request::key_report request_runner::cancel(const request_key& key)
{
    stop(key, failure_reason::cancelled, "cancelled by the caller");
    return table_.lookup(key);
}

void request_runner::stop(const request_key& key, failure_reason reason, const std::string& message)
{
    const auto found = runs_.find(key);
    if (found != runs_.end()) {
        backend_.cancel(found->second.backend_run);
        end(key, {verdict::may_have_run, reason, message, {}});
    }
}

} // namespace dotterelport::agent
