#include "dotterelport/request/prompt.hpp"

#include <cstdint>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::request {
namespace {

constexpr std::string_view white_space = " \t\r\n\v\f";

/// @brief Calls a function with each word until it returns false.
template<typename Function> void for_each_word(std::string_view text, Function function)
{
    auto start = text.find_first_not_of(white_space);
    while (start != std::string_view::npos) {
        const auto end = text.find_first_of(white_space, start);
        if (!function(text.substr(start, end - start))) {
            return;
        }
        start = end == std::string_view::npos ? end : text.find_first_not_of(white_space, end);
    }
}

std::string to_hex(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int width = 16;
    std::string text(width, '0');
    for (int i = width - 1; i >= 0; --i) {
        text[static_cast<std::size_t>(i)] = digits[value & 0xfU];
        value >>= 4U;
    }
    return text;
}

void append_text(std::string& text, const json& value)
{
    if (value.is_string()) {
        text.append(value.get_ref<const std::string&>()).push_back('\n');
    }
}

} // namespace

std::string prompt_text(const json& chat_body)
{
    std::string text;
    const auto messages = chat_body.find("messages");
    if (messages == chat_body.end() || !messages->is_array()) {
        return text;
    }
    for (const json& message : *messages) {
        const json content = message.is_object() ? message.value("content", json()) : json();
        append_text(text, content);
        if (content.is_array()) {
            for (const json& content_part : content) {
                append_text(text,
                            content_part.is_object() ? content_part.value("text", json()) : json());
            }
        }
    }
    return text;
}

tokens count_prompt_tokens(std::string_view prompt)
{
    tokens count = 0;
    for_each_word(prompt, [&](std::string_view /*word*/) {
        ++count;
        return true;
    });
    return count;
}

std::vector<std::string> prefix_hashes(std::string_view prompt, std::size_t max_blocks)
{
    std::vector<std::string> hashes;
    std::uint64_t hash = 0;
    std::size_t word_count = 0;
    for_each_word(prompt, [&](std::string_view word) {
        hash = hash64(word, hash);
        if (++word_count % prefix_block_words == 0) {
            hashes.push_back(to_hex(hash));
        }
        return hashes.size() < max_blocks;
    });
    return hashes;
}

} // namespace dotterelport::request
