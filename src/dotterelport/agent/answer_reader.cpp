#include "dotterelport/agent/answer_reader.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace dotterelport::agent {
namespace {

constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

/// Limit of the engine's error text in the message of a failure.
constexpr std::size_t max_error_bytes = 2048;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

/// Returns whether a header is not passed on. These are the headers of a single connection, and
/// content-length, which the server that forwards the answer sets itself.
bool is_dropped_header(const std::string& lower_name)
{
    constexpr std::array<std::string_view, 7> names{
        "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade",
        "te",         "trailer"};
    return std::find(names.begin(), names.end(), lower_name) != names.end();
}

} // namespace

chat_answer::chat_answer(chunk_function on_chunk)
    : on_chunk_(std::move(on_chunk)),
      events_([this](std::string_view event) { handle_event(event); })
{}

void chat_answer::receive_head(int status, const net::header_list& /*headers*/)
{
    status_ = status;
}

void chat_answer::receive_data(std::string_view data)
{
    if (status_ < first_client_error) {
        events_.feed(data);
    } else {
        error_.append(data.substr(0, max_error_bytes - std::min(error_.size(), max_error_bytes)));
    }
}

std::optional<backend_result> chat_answer::complete()
{
    using request::failure_reason;
    if (status_ >= first_client_error) {
        // An engine checks a request before it runs it, so a 4xx answer uses no tokens.
        const bool is_refused = status_ < first_server_error;
        return backend_result{is_refused ? verdict::ran : verdict::may_have_run,
                              failure_reason::backend_error,
                              "status " + std::to_string(status_) + ": " + error_,
                              is_refused ? std::optional(token_usage{}) : std::nullopt};
    }
    if (!error_.empty()) {
        return backend_result{verdict::may_have_run, failure_reason::backend_error, error_, usage_};
    }
    if (!is_done_) {
        return std::nullopt;
    }
    return backend_result{verdict::ran, std::nullopt, "", usage_};
}

void chat_answer::handle_event(std::string_view event)
{
    if (event == "[DONE]") {
        is_done_ = true;
        return;
    }
    const json chunk = json::parse(event, nullptr, false);
    if (!chunk.is_object()) {
        error_ = "the stream has an event that is not a JSON object";
        return;
    }
    if (const auto failure = chunk.find("error"); failure != chunk.end() && !failure->is_null()) {
        error_ = failure->dump().substr(0, max_error_bytes);
        return;
    }
    if (const auto usage = chunk.find("usage"); usage != chunk.end() && usage->is_object()) {
        const auto count = [&](const char* name) {
            const json number = usage->value(name, json());
            return number.is_number_integer() ? std::max<tokens>(number.get<tokens>(), 0) : 0;
        };
        usage_ = token_usage{count("prompt_tokens"), count("completion_tokens")};
    }
    on_chunk_(chunk);
}

void call_answer::receive_head(int status, const net::header_list& headers)
{
    status_ = status;
    framing_ = net::answer_framing({.status = status, .headers = headers}, method_)
                   .value_or(net::close_framing{});
    for (const auto& [name, value] : headers) {
        const std::string lower = to_lower(name);
        if (!is_dropped_header(lower)) {
            headers_[lower] = value;
        }
    }
}

void call_answer::receive_data(std::string_view data)
{
    is_too_large_ = is_too_large_ || body_.size() + data.size() > max_call_answer_bytes;
    if (!is_too_large_) {
        body_.append(data);
    }
}

std::optional<backend_result> call_answer::complete()
{
    if (is_too_large_) {
        return backend_result{verdict::ran, request::failure_reason::backend_error,
                              "the answer is too large", std::nullopt};
    }
    const std::string content_type = headers_.value("content-type", "");
    if (net::is_event_stream(content_type) && net::lacks_events(body_, framing_)) {
        return std::nullopt;
    }
    on_chunk_({{"status", status_}, {"headers", headers_}, {"body", body_}});
    return backend_result{};
}

} // namespace dotterelport::agent
