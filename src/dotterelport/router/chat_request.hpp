#ifndef DOTTERELPORT_ROUTER_CHAT_REQUEST_HPP
#define DOTTERELPORT_ROUTER_CHAT_REQUEST_HPP

#include <optional>
#include <string>
#include <string_view>

#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::router {

/// A validated chat-completions body.
struct chat_request {
    std::string model;
    bool stream = false;
    bool include_usage = false;
    /// Value of max_completion_tokens or max_tokens, if the caller set one.
    std::optional<tokens> max_output;
    /// Body without null fields and without the fields that only select the form of the answer.
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
/// Every token of a byte-level tokenizer represents at least one byte of text, and every token of
/// an engine that counts words represents at least one character. The bound is therefore the number
/// of bytes of everything that the engine renders into the prompt (contents, names, tool calls,
/// tool definitions) plus an allowance for the markers that a chat template adds to each message.
/// The unused tokens are released when the request settles.
tokens prompt_token_bound(const json& chat_content);

} // namespace dotterelport::router

#endif
