#include "dotterelport/agent/answer_reader.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace dotterelport::agent {
namespace {

constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

/// Error text of an engine kept for the message of a failure.
constexpr std::size_t max_error_bytes = 2048;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

/// Headers that belong to one connection, and the length, which the next server sets itself.
bool is_connection_header(const std::string& lower_name)
{
    constexpr std::array<std::string_view, 7> names{
        "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade",
        "te",         "trailer"};
    return std::find(names.begin(), names.end(), lower_name) != names.end();
}

} // namespace

chat_answer::chat_answer(chunk_function on_chunk)
    : on_chunk_(std::move(on_chunk)), events_([this](std::string_view event) { take_event(event); })
{}

void chat_answer::take_head(int status, const net::header_list& /*headers*/)
{
    status_ = status;
}

void chat_answer::take_data(std::string_view data)
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
        const bool refused = status_ < first_server_error;
        return backend_result{refused ? verdict::ran : verdict::may_have_run,
                              failure_reason::backend_error,
                              "status " + std::to_string(status_) + ": " + error_,
                              refused ? std::optional(token_usage{}) : std::nullopt};
    }
    if (!error_.empty()) {
        return backend_result{verdict::may_have_run, failure_reason::backend_error, error_, usage_};
    }
    if (!done_) {
        return std::nullopt;
    }
    return backend_result{verdict::ran, std::nullopt, "", usage_};
}

void chat_answer::take_event(std::string_view event)
{
    if (event == "[DONE]") {
        done_ = true;
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
            const json value = usage->value(name, json());
            return value.is_number_integer() ? std::max<tokens>(value.get<tokens>(), 0) : 0;
        };
        usage_ = token_usage{count("prompt_tokens"), count("completion_tokens")};
    }
    on_chunk_(chunk);
}

void call_answer::take_head(int status, const net::header_list& headers)
{
    status_ = status;
    for (const auto& [name, value] : headers) {
        const std::string lower = to_lower(name);
        if (!is_connection_header(lower)) {
            headers_[lower] = value;
        }
    }
}

void call_answer::take_data(std::string_view data)
{
    too_large_ = too_large_ || body_.size() + data.size() > max_call_answer_bytes;
    if (!too_large_) {
        body_.append(data);
    }
}

std::optional<backend_result> call_answer::complete()
{
    if (too_large_) {
        return backend_result{verdict::ran, request::failure_reason::backend_error,
                              "the answer is too large", std::nullopt};
    }
    on_chunk_({{"status", status_}, {"headers", headers_}, {"body", body_}});
    return backend_result{};
}

} // namespace dotterelport::agent
