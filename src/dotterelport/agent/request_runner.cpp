#include "dotterelport/agent/request_runner.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/agent/backend_request.hpp"
#include "dotterelport/agent/events.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::agent {
namespace {

using request::failure_reason;

/// Slow readers are served again after this time.
constexpr milliseconds reader_interval{25};

/// Longest time that one request may take, whatever its deadline says.
constexpr milliseconds max_deadline{3'600'000};

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

template<typename... Functions> struct overloaded : Functions... {
    using Functions::operator()...;
};
template<typename... Functions> overloaded(Functions...) -> overloaded<Functions...>;

request::error_frame gone_frame(const request::join_decision& decision)
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
    server.route(
        "POST", "/v1/requests",
        [this](const net::http_request& request,
               const std::shared_ptr<net::http_response>& response) { take(request, response); });
}

void request_runner::take(const net::http_request& request,
                          const std::shared_ptr<net::http_response>& response)
{
    try {
        auto message = request::parse_admission(json::parse(request.body, nullptr, false));
        if (message.service != settings_.service) {
            throw format_error("admission", "/service", "expected " + settings_.service);
        }
        message.deadline = std::min(message.deadline, max_deadline);
        net::client_request prepared;
        if (!message.join_only) {
            prepared = make_backend_request(message, backend_.address());
        }
        admit(message, prepared, response);
    } catch (const format_error& failure) {
        log(events::malformed_admission, {{"message", failure.what()}});
        send_json(*response, status_bad_request,
                  json{{"error", {{"message", failure.what()}, {"code", "invalid_request"}}}}.dump(
                      -1, ' ', false, json::error_handler_t::replace));
    }
}

void request_runner::admit(const request::admission& message, const net::client_request& prepared,
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
                       start(message, prepared);
                       write_frame(*response, request::admitted_frame{message.attempt, false});
                       readers_.add(message.key, message.offset, response,
                                    gone_frame({message.attempt}));
                   },
                   [&](const request::join_decision& value) {
                       ++counts_.joined;
                       write_frame(*response, request::admitted_frame{value.attempt, true});
                       readers_.add(message.key, message.offset, response, gone_frame(value));
                   },
                   [&](const request::refuse_decision& value) {
                       ++counts_.refused;
                       log(events::request_refused, {{"workspace", message.key.workspace},
                                                     {"key", message.key.key},
                                                     {"reason", to_string(value.reason)}});
                       write_frame(*response, request::error_frame{message.attempt, value.verdict,
                                                                   value.reason, value.message});
                       response->finish();
                   }},
        decision);
}

request::admission_conditions request_runner::current_conditions() const
{
    auto conditions = conditions_();
    if (conditions.overload.empty()) {
        if (runs_.size() >= settings_.max_running) {
            conditions.overload = "too many requests at the backend server";
        } else if (outcomes_.size() + runs_.size() >= settings_.max_unsettled) {
            conditions.overload = "too many outcomes are not durable yet";
        } else if (replay_.is_full()) {
            conditions.overload = "the replay buffers are full";
        }
    }
    return conditions;
}

void request_runner::start(const request::admission& message, const net::client_request& prepared)
{
    const request_key key = message.key;
    replay_.open(key);
    run item;
    item.message = message;
    // The text of a request is not needed any more and can be large.
    item.message.payload = nullptr;
    item.at_backend =
        backend_.start(message.kind, prepared,
                       {.on_chunk = [this, key](const json& data) { take_chunk(key, data); },
                        .on_end = [this, key](const backend_result& result) { end(key, result); }});
    item.deadline_timer = loop_.schedule(message.deadline, [this, key] {
        stop(key, failure_reason::deadline, "the deadline has passed");
    });
    runs_.emplace(key, std::move(item));
}

void request_runner::take_chunk(const request_key& key, const json& data)
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
    auto node = runs_.extract(key);
    if (node.empty()) {
        return;
    }
    const run& item = node.mapped();
    loop_.cancel(item.deadline_timer);
    table_.finish(key, result.value);
    add_outcome(item, result);
    const std::uint32_t attempt = item.message.attempt;
    const token_usage usage = result.usage.value_or(token_usage{});
    replay_.finish(key,
                   result.reason
                       ? format_frame(request::error_frame{attempt, result.value, *result.reason,
                                                           result.message})
                       : format_frame(request::end_frame{attempt, result.value, usage.prompt_tokens,
                                                         usage.completion_tokens}));
    readers_.advance(key);
    counts_.crashes += result.reason == failure_reason::backend_crashed ? 1 : 0;
    log(events::request_ended,
        {{"workspace", key.workspace},
         {"key", key.key},
         {"attempt", attempt},
         {"verdict", to_string(result.value)},
         {"reason", result.reason ? to_string(*result.reason) : std::string_view("none")}});
}

void request_runner::add_outcome(const run& item, const backend_result& result)
{
    switch (result.value) {
    case verdict::not_run:
        // The router gives the reservation back or moves it to another agent.
        ++counts_.not_run;
        return;
    case verdict::ran:
        ++counts_.ran;
        break;
    case verdict::may_have_run:
        ++counts_.may_have_run;
        break;
    }
    const request::admission& message = item.message;
    if (message.budget.empty()) {
        // A router's own call, such as a lookup, belongs to no budget and has no bill line.
        return;
    }
    const token_usage usage = result.usage.value_or(token_usage{});
    // What is not reported cannot be proved unused and counts in full.
    const bool is_known = result.value == verdict::ran && result.usage.has_value();
    const tokens charged =
        is_known ? std::min(usage.prompt_tokens + usage.completion_tokens, message.upper_tokens)
                 : message.upper_tokens;
    counts_.charged_tokens += static_cast<std::uint64_t>(charged);
    outcomes_.add({.key = message.key,
                   .attempt = message.attempt,
                   .budget = message.budget,
                   .holder = message.holder,
                   .verdict = result.value,
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
        backend_.cancel(found->second.at_backend);
        end(key, {verdict::may_have_run, reason, message, {}});
    }
}

} // namespace dotterelport::agent
