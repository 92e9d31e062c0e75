#include "dotterelport/standin/engine_answer.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::standin {
namespace {

constexpr std::array<std::string_view, 16> vocabulary{
    "coal", "lot",  "depot", "crane", "berth", "grade", "seam",   "truck",
    "rail", "ship", "north", "south", "ash",   "tonne", "sample", "review"};

json usage(tokens prompt_tokens, tokens completion_tokens)
{
    return {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", completion_tokens},
            {"total_tokens", prompt_tokens + completion_tokens}};
}

json choice(json delta, json finish_reason)
{
    return json::array(
        {{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finish_reason)}}});
}

} // namespace

engine_answer::engine_answer(std::string key, std::string model, std::uint64_t content_hash)
    : key_(std::move(key)), model_(std::move(model)), content_hash_(content_hash)
{
    // Tokens are separated by white space, so a key must not contain any.
    std::replace_if(
        key_.begin(), key_.end(), [](unsigned char c) { return std::isspace(c) != 0; }, '_');
}

std::string engine_answer::token_text(tokens index) const
{
    const std::string position = std::to_string(index);
    const std::uint64_t hash = hash64(position, content_hash_);
    return key_ + "/" + position + "/" + std::string(vocabulary[hash % vocabulary.size()]) + " ";
}

json engine_answer::token_chunk(tokens index) const
{
    json delta = {{"content", token_text(index)}};
    if (index == 0) {
        delta["role"] = "assistant";
    }
    return chunk(choice(std::move(delta), nullptr));
}

json engine_answer::finish_chunk(const std::string& finish_reason) const
{
    return chunk(choice(json::object(), finish_reason));
}

json engine_answer::usage_chunk(tokens prompt_tokens, tokens completion_tokens) const
{
    json result = chunk(json::array());
    result["usage"] = usage(prompt_tokens, completion_tokens);
    return result;
}

json engine_answer::completion(tokens prompt_tokens, tokens completion_tokens,
                               const std::string& finish_reason) const
{
    std::string text;
    for (tokens i = 0; i < completion_tokens; ++i) {
        text += token_text(i);
    }
    json result = chunk(json::array({{{"index", 0},
                                      {"message", {{"role", "assistant"}, {"content", text}}},
                                      {"finish_reason", finish_reason}}}));
    result["object"] = "chat.completion";
    result["usage"] = usage(prompt_tokens, completion_tokens);
    return result;
}

json engine_answer::chunk(json choices) const
{
    return {{"id", "chatcmpl-" + key_},
            {"object", "chat.completion.chunk"},
            {"created", 0},
            {"model", model_},
            {"choices", std::move(choices)}};
}

} // namespace dotterelport::standin
