#include "answer.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "intake.hpp"

namespace dotterelport::router {
namespace {

constexpr std::size_t id_digits = 24;

net::header_list joined(net::header_list left, const net::header_list& right)
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

net::header_list with_verdict(const answer_context& context, verdict value)
{
    return joined(context.headers, {{std::string(verdict_header), std::string(to_string(value))}});
}

json usage_of(const request::end_frame& end)
{
    return {{"prompt_tokens", end.prompt_tokens},
            {"completion_tokens", end.completion_tokens},
            {"total_tokens", end.prompt_tokens + end.completion_tokens}};
}

json with_identity(const answer_context& context, json chunk, std::string_view object)
{
    chunk["id"] = context.id;
    chunk["object"] = object;
    chunk["created"] = context.created_s;
    chunk["model"] = context.model;
    return chunk;
}

void start_events(const answer_context& context)
{
    if (!context.response->is_started()) {
        context.response->start(200, joined(context.headers, {{"content-type", "text/event-stream"},
                                                              {"cache-control", "no-cache"}}));
    }
}

void write_event(const answer_context& context, const json& data)
{
    start_events(context);
    context.response->write(net::format_sse(data.dump()));
}

bool is_whole_in_each_chunk(std::string_view name)
{
    return name == "role" || name == "index" || name == "id" || name == "type";
}

/// Text of later chunks is appended; other fields are replaced.
void merge_fields(json& target, const json& delta)
{
    for (const auto& [name, value] : delta.items()) {
        if (value.is_null()) {
            continue;
        }
        json& present = target[name];
        if (present.is_string() && value.is_string() && !is_whole_in_each_chunk(name)) {
            present.get_ref<std::string&>() += value.get_ref<const std::string&>();
        } else if (present.is_object() && value.is_object()) {
            merge_fields(present, value);
        } else {
            present = value;
        }
    }
}

/// Tool calls arrive in pieces; "index" is the position of the call in the array.
void merge_tool_calls(json& message, const json& pieces)
{
    auto& calls = message["tool_calls"];
    for (const auto& piece : pieces) {
        const auto index = piece.value("index", std::size_t{0});
        if (index > calls.size()) {
            continue;
        }
        if (index == calls.size()) {
            calls.push_back(json::object());
        }
        merge_fields(calls[index], piece);
    }
}

void merge_delta(json& message, json delta)
{
    if (const auto found = delta.find("tool_calls"); found != delta.end()) {
        if (found->is_array()) {
            merge_tool_calls(message, *found);
        }
        delta.erase(found);
    }
    merge_fields(message, delta);
}

void add_choice(chat_completion_answer& target, const json& choice)
{
    if (const auto delta = choice.find("delta"); delta != choice.end() && delta->is_object()) {
        merge_delta(target.message, *delta);
    }
    if (const auto reason = choice.find("finish_reason");
        reason != choice.end() && !reason->is_null()) {
        target.finish_reason = *reason;
    }
}

json completion_body(const chat_completion_answer& target, const request::end_frame& end)
{
    json message = target.message;
    message["role"] = "assistant";
    if (!message.contains("content")) {
        message["content"] = nullptr;
    }
    if (message.contains("tool_calls")) {
        for (auto& call : message["tool_calls"]) {
            call.erase("index");
        }
    }
    const json choice = {{"index", 0},
                         {"message", message},
                         {"finish_reason", target.finish_reason},
                         {"logprobs", nullptr}};
    return with_identity(target.context,
                         {{"choices", json::array({choice})}, {"usage", usage_of(end)}},
                         "chat.completion");
}

/// Chunks that contain only the token usage are not forwarded: the end frame contains the same
/// numbers, and the caller may not have requested them.
bool is_usage_only(const json& data)
{
    const auto choices = data.find("choices");
    return choices == data.end() || !choices->is_array() || choices->empty();
}

/// Headers of a service's answer that are not forwarded, because they apply to the connection to
/// the service or are set by this server.
bool is_dropped_header(std::string_view name)
{
    constexpr std::array<std::string_view, 6> names{
        "connection", "content-length", "date", "keep-alive", "server", "transfer-encoding"};
    return std::find(names.begin(), names.end(), name) != names.end();
}

net::header_list service_headers(const answer_context& context, const json& data)
{
    net::header_list headers = with_verdict(context, verdict::ran);
    const auto found = data.find("headers");
    if (found == data.end() || !found->is_object()) {
        return headers;
    }
    for (const auto& [name, value] : found->items()) {
        if (value.is_string() && !is_dropped_header(name)) {
            headers.emplace_back(name, value.get<std::string>());
        }
    }
    return headers;
}

struct chunk_visitor {
    const json& data;

    void operator()(chat_stream_answer& target) const
    {
        if (is_usage_only(data)) {
            return;
        }
        json chunk = with_identity(target.context, data, "chat.completion.chunk");
        chunk.erase("usage");
        if (target.context.include_usage) {
            chunk["usage"] = nullptr;
        }
        write_event(target.context, chunk);
    }
    void operator()(chat_completion_answer& target) const
    {
        if (!is_usage_only(data)) {
            add_choice(target, data["choices"][0]);
        }
    }
    void operator()(call_answer& target) const { target.data = data; }
};

struct end_visitor {
    const request::end_frame& end;

    void operator()(chat_stream_answer& target) const
    {
        if (target.context.include_usage) {
            write_event(target.context,
                        with_identity(target.context,
                                      {{"choices", json::array()}, {"usage", usage_of(end)}},
                                      "chat.completion.chunk"));
        }
        start_events(target.context);
        target.context.response->write(net::format_sse("[DONE]"));
        target.context.response->finish();
    }
    void operator()(chat_completion_answer& target) const
    {
        target.context.response->send(200,
                                      joined(with_verdict(target.context, end.verdict),
                                             {{"content-type", "application/json"}}),
                                      completion_body(target, end).dump());
    }
    void operator()(call_answer& target) const
    {
        if (!target.data.is_object() || !target.data.value("status", json()).is_number_integer()) {
            send_error(
                *target.context.response,
                {error_code::backend_error, "the backend server gave no answer", end.verdict},
                target.context.headers);
            return;
        }
        const json body = target.data.value("body", json(""));
        target.context.response->send(target.data["status"].get<int>(),
                                      service_headers(target.context, target.data),
                                      body.is_string() ? body.get<std::string>() : body.dump());
    }
};

struct reset_visitor {
    void operator()(chat_stream_answer& /*target*/) const {}
    void operator()(chat_completion_answer& target) const
    {
        target.message = json::object();
        target.finish_reason = nullptr;
    }
    void operator()(call_answer& target) const { target.data = nullptr; }
};

const answer_context& context_of(const answer& target)
{
    return std::visit([](const auto& form) -> const answer_context& { return form.context; },
                      target);
}

} // namespace

answer make_answer(const checked_request& request, std::shared_ptr<net::http_response> response,
                   std::int64_t now_s)
{
    answer_context context;
    context.response = std::move(response);
    context.headers = {{std::string(request_key_header), request.key.key}};
    // The id is derived from the key alone, so that a retry that joins the request gets the same
    // id.
    context.id = "chatcmpl-" +
                 hash128_hex(request.key.workspace + "/" + request.key.key).substr(0, id_digits);
    context.model = request.model;
    context.created_s = now_s;
    context.include_usage = request.include_usage;
    switch (request.form) {
    case answer_form::chat_stream:
        return chat_stream_answer{std::move(context)};
    case answer_form::chat_completion:
        return chat_completion_answer{std::move(context), json::object(), nullptr};
    case answer_form::call:
        break;
    }
    return call_answer{std::move(context), nullptr};
}

std::size_t held_bytes(const answer& target, std::size_t received)
{
    // A stream keeps what its caller has not read yet, the others keep everything.
    const auto* stream = std::get_if<chat_stream_answer>(&target);
    return stream == nullptr ? received : stream->context.response->buffered();
}

void add_chunk(answer& target, const json& data)
{
    std::visit(chunk_visitor{data}, target);
}

void end_answer(answer& target, const request::end_frame& end)
{
    std::visit(end_visitor{end}, target);
}

void fail_answer(answer& target, const caller_error& failure)
{
    const auto& context = context_of(target);
    if (!context.response->is_started()) {
        send_error(*context.response, failure, context.headers);
        return;
    }
    write_event(context, to_json(failure));
    context.response->finish();
}

void reset_answer(answer& target)
{
    std::visit(reset_visitor{}, target);
}

bool has_answer_started(const answer& target)
{
    return context_of(target).response->is_started();
}

void send_error(net::http_response& response, const caller_error& failure,
                const net::header_list& headers)
{
    response.send(status_of(failure.code()), joined(headers, headers_of(failure)),
                  to_json(failure).dump());
}

} // namespace dotterelport::router
