#include "chat_request.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include "caller_error.hpp"

namespace dotterelport::router {
namespace {

/// Deeper documents are refused because JSON serialisation recurses once per level.
constexpr int max_json_depth = 64;

/// Upper bound of the tokens that a chat template adds to a message to mark its role and its end.
constexpr tokens template_tokens_per_message = 8;

constexpr tokens max_requested_output = std::numeric_limits<std::int32_t>::max();
constexpr double max_temperature = 2.0;
constexpr std::size_t max_stop_sequences = 4;

constexpr std::array<std::string_view, 6> roles{"system",    "developer", "user",
                                                "assistant", "tool",      "function"};

[[noreturn]] void refuse(const std::string& field, const std::string& expected)
{
    throw caller_error(error_code::invalid_request, field + " must be " + expected);
}

void check_content_part(const json& part, const std::string& path)
{
    if (!part.is_object() || !part.contains("type") || !part["type"].is_string()) {
        refuse(path, "an object with a string field \"type\"");
    }
    if (part["type"] != "text") {
        refuse(path + ".type", "\"text\"; other kinds of content are not served");
    }
    if (!part.contains("text") || !part["text"].is_string()) {
        refuse(path + ".text", "a string");
    }
}

void check_content(const json& message, const std::string& path)
{
    const auto found = message.find("content");
    if (found == message.end() || found->is_null()) {
        const bool calls = message.contains("tool_calls") || message.contains("function_call");
        if (message["role"] != "assistant" || !calls) {
            refuse(path + ".content", "a string or an array of text parts");
        }
        return;
    }
    if (found->is_string()) {
        return;
    }
    if (!found->is_array() || found->empty()) {
        refuse(path + ".content", "a string or a non-empty array of text parts");
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        check_content_part((*found)[i], path + ".content[" + std::to_string(i) + "]");
    }
}

void check_messages(const json& body)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
        refuse("messages", "a non-empty array");
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        const json& message = (*found)[i];
        const std::string path = "messages[" + std::to_string(i) + "]";
        if (!message.is_object()) {
            refuse(path, "an object");
        }
        const auto role = message.find("role");
        if (role == message.end() || !role->is_string() ||
            std::find(roles.begin(), roles.end(), role->get_ref<const std::string&>()) ==
                roles.end()) {
            refuse(path + ".role", "one of system, developer, user, assistant, tool, function");
        }
        check_content(message, path);
    }
}

void check_number(const json& body, const char* field, double lowest, double highest)
{
    const auto found = body.find(field);
    if (found == body.end()) {
        return;
    }
    if (!found->is_number() || found->get<double>() < lowest || found->get<double>() > highest) {
        refuse(field, "a number from " + std::to_string(static_cast<int>(lowest)) + " to " +
                          std::to_string(static_cast<int>(highest)));
    }
}

void check_stop(const json& body)
{
    const auto found = body.find("stop");
    if (found == body.end() || found->is_string()) {
        return;
    }
    const bool strings = found->is_array() && found->size() <= max_stop_sequences &&
                         std::all_of(found->begin(), found->end(),
                                     [](const json& item) { return item.is_string(); });
    if (!strings) {
        refuse("stop", "a string or an array of at most 4 strings");
    }
}

bool read_bool(const json& body, const char* field, const std::string& path)
{
    const auto found = body.find(field);
    if (found == body.end()) {
        return false;
    }
    if (!found->is_boolean()) {
        refuse(path, "a boolean");
    }
    return found->get<bool>();
}

std::optional<tokens> read_limit(const json& body, const char* field)
{
    const auto found = body.find(field);
    if (found == body.end()) {
        return std::nullopt;
    }
    if (!found->is_number_integer() || *found < 1 || *found > max_requested_output) {
        refuse(field, "an integer of at least 1");
    }
    return found->get<tokens>();
}

std::optional<tokens> read_max_output(const json& body)
{
    const auto current = read_limit(body, "max_completion_tokens");
    const auto older = read_limit(body, "max_tokens");
    if (current && older && *current != *older) {
        refuse("max_tokens", "equal to max_completion_tokens when both are given");
    }
    return current ? current : older;
}

bool read_include_usage(const json& body, bool stream)
{
    const auto found = body.find("stream_options");
    if (found == body.end()) {
        return false;
    }
    if (!stream) {
        throw caller_error(error_code::invalid_request,
                           "stream_options is allowed only when stream is true");
    }
    if (!found->is_object()) {
        refuse("stream_options", "an object");
    }
    return read_bool(*found, "include_usage", "stream_options.include_usage");
}

void erase_null_fields(json& object)
{
    for (auto item = object.begin(); item != object.end();) {
        item = item->is_null() ? object.erase(item) : std::next(item);
    }
}

tokens text_bytes(const json& value)
{
    if (value.is_string()) {
        return static_cast<tokens>(value.get_ref<const std::string&>().size());
    }
    tokens sum = 0;
    if (value.is_array()) {
        for (const auto& part : value) {
            sum += part.contains("text") ? text_bytes(part["text"]) : 0;
        }
    }
    return sum;
}

tokens message_bytes(const json& message)
{
    tokens sum = template_tokens_per_message;
    for (const auto& [name, value] : message.items()) {
        if (name == "content") {
            sum += text_bytes(value);
        } else if (name != "role") {
            sum += static_cast<tokens>(value.dump().size());
        }
    }
    return sum;
}

} // namespace

json parse_caller_json(std::string_view text)
{
    const auto limit_depth = [](int depth, json::parse_event_t /*event*/, json& /*value*/) {
        if (depth > max_json_depth) {
            throw caller_error(error_code::invalid_request,
                               "the body must not be nested deeper than " +
                                   std::to_string(max_json_depth) + " levels");
        }
        return true;
    };
    try {
        return json::parse(text, limit_depth);
    } catch (const json::exception& failure) {
        throw caller_error(error_code::invalid_request,
                           std::string("the body is not valid JSON: ") + failure.what());
    }
}

chat_request parse_chat_request(std::string_view body)
{
    json content = parse_caller_json(body);
    if (!content.is_object()) {
        refuse("the body", "a JSON object");
    }
    erase_null_fields(content);
    const auto model = content.find("model");
    if (model == content.end() || !model->is_string() ||
        model->get_ref<const std::string&>().empty()) {
        refuse("model", "a non-empty string");
    }
    check_messages(content);
    check_number(content, "temperature", 0, max_temperature);
    check_number(content, "top_p", 0, 1);
    check_stop(content);
    if (const auto count = content.find("n"); count != content.end() && *count != 1) {
        refuse("n", "1");
    }
    chat_request result;
    result.model = model->get<std::string>();
    result.stream = read_bool(content, "stream", "stream");
    result.include_usage = read_include_usage(content, result.stream);
    result.max_output = read_max_output(content);
    content.erase("stream");
    content.erase("stream_options");
    result.content = std::move(content);
    return result;
}

tokens prompt_token_bound(const json& chat_content)
{
    tokens sum = 0;
    for (const auto& message : chat_content.at("messages")) {
        sum += message_bytes(message);
    }
    for (const char* field : {"tools", "functions", "response_format"}) {
        if (const auto found = chat_content.find(field); found != chat_content.end()) {
            sum += static_cast<tokens>(found->dump().size());
        }
    }
    return sum;
}

} // namespace dotterelport::router
