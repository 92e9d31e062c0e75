#include "dotterelport/agent/backend_request.hpp"

#include <algorithm>
#include <cctype>

#include "dotterelport/base/error.hpp"

namespace dotterelport::agent {
namespace {

/// Added to a request's deadline for the timeouts of the HTTP client, so that a run without an
/// answer is ended by its deadline and not by the client.
constexpr milliseconds client_timeout_margin{1'000};

void require(bool condition, const std::string& path, const std::string& expected)
{
    if (!condition) {
        throw format_error("admission", path, expected);
    }
}

/// Returns whether a text is valid as a header value.
bool is_header_text(const std::string& text)
{
    constexpr unsigned char last_control = 0x1f;
    constexpr unsigned char del = 0x7f;
    return std::none_of(text.begin(), text.end(), [](unsigned char character) {
        return (character <= last_control && character != '\t') || character == del;
    });
}

/// Returns whether a text is valid as a method or header name.
bool is_token_text(const std::string& text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char character) {
        return std::isalnum(character) != 0 ||
               marks.find(static_cast<char>(character)) != marks.npos;
    });
}

bool is_path_text(const std::string& text)
{
    return !text.empty() && text.front() == '/' && is_header_text(text) &&
           text.find_first_of(" \t") == std::string::npos;
}

void fill_chat(net::client_request& request, const request::admission& message)
{
    require(message.payload.is_object(), "/payload", "expected an object");
    json body = message.payload;
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body["priority"] = to_string(message.priority);
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"content-type", "application/json"},
                       {"x-request-key", backend_key(message.key)}};
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string payload_text(const request::admission& message, const std::string& name)
{
    const auto found = message.payload.find(name);
    require(found != message.payload.end() && found->is_string(), "/payload/" + name,
            "expected a string");
    return found->get<std::string>();
}

void fill_call(net::client_request& request, const request::admission& message)
{
    require(message.payload.is_object(), "/payload", "expected an object");
    request.method = payload_text(message, "method");
    request.path = payload_text(message, "path");
    request.body = payload_text(message, "body");
    require(is_token_text(request.method), "/payload/method", "expected a method");
    require(is_path_text(request.path), "/payload/path", "expected a path");
    const json headers = message.payload.value("headers", json::object());
    require(headers.is_object(), "/payload/headers", "expected an object");
    for (const auto& [name, value] : headers.items()) {
        require(is_token_text(name) && value.is_string() && is_header_text(value),
                "/payload/headers", "expected names with text");
        request.headers.emplace_back(name, value.get<std::string>());
    }
    request.headers.emplace_back("idempotency-key", backend_key(message.key));
}

} // namespace

std::string backend_key(const request_key& key)
{
    return key.workspace + "/" + key.key;
}

net::client_request make_backend_request(const request::admission& message,
                                         const net::endpoint& backend_server)
{
    require(is_header_text(backend_key(message.key)), "/key", "expected printable text");
    net::client_request request;
    request.to = backend_server;
    if (message.kind == request::request_kind::chat) {
        fill_chat(request, message);
    } else {
        fill_call(request, message);
    }
    // Each run has its own connection. If the backend server had already closed a kept-alive
    // connection, the run would end as "may have run" although nothing was sent.
    request.headers.emplace_back("connection", "close");
    request.answer_timeout = message.time_left + client_timeout_margin;
    request.idle_timeout = message.time_left + client_timeout_margin;
    return request;
}

} // namespace dotterelport::agent
