#ifndef DOTTERELPORT_REQUEST_PROMPT_HPP
#define DOTTERELPORT_REQUEST_PROMPT_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::request {

/// Words in one block of a cached prefix.
inline constexpr std::size_t prefix_block_words = 16;

/// @brief Text of all messages of a chat-completions body, joined by newlines. Content parts
/// other than text are skipped.
std::string prompt_text(const json& chat_body);

/// @brief Counts the tokens of a prompt: its words, separated by white space.
tokens count_prompt_tokens(std::string_view prompt);

/// @brief Hashes of the complete blocks at the start of a prompt. Each hash covers all words up to
/// the end of its block, so equal hashes mean equal prefixes.
/// @param max_blocks number of blocks after which the rest of the prompt is ignored
std::vector<std::string> prefix_hashes(std::string_view prompt, std::size_t max_blocks);

} // namespace dotterelport::request

#endif
