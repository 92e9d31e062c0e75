#ifndef DOTTERELPORT_ROUTER_CHAT_REQUEST_HPP
#define DOTTERELPORT_ROUTER_CHAT_REQUEST_HPP

#include <optional>
#include <string>
#include <string_view>

#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::router {

/// A chat-completions body that has been checked.
struct chat_request {
    std::string model;
    bool stream = false;
    bool include_usage = false;
    /// max_completion_tokens or max_tokens, if the caller set one.
    std::optional<tokens> max_output;
    /// Body without the fields that only choose the form of the answer and without null fields.
    json content;
};

/// @brief Parses JSON from a caller.
/// @throws caller_error if the text is not JSON, not UTF-8 or nested too deeply
json parse_caller_json(std::string_view text);

/// @brief Parses and checks a chat-completions body.
/// @throws caller_error naming the first field that is wrong
chat_request parse_chat_request(std::string_view body);

/// @brief Upper bound of the prompt tokens of a request, found without its model's tokenizer.
///
/// Every token of a byte-level tokenizer stands for at least one byte of text, and a token of an
/// engine that counts words for at least one character. The bound is therefore the number of bytes
/// of everything that the engine renders into the prompt (contents, names, tool calls, tool
/// definitions) plus an allowance for the markers that a chat template adds to each message. The
/// part that was not used is given back when the request settles.
tokens prompt_token_bound(const json& chat_content);

} // namespace dotterelport::router

#endif
