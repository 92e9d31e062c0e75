#ifndef DOTTERELPORT_STANDIN_ENGINE_ANSWER_HPP
#define DOTTERELPORT_STANDIN_ENGINE_ANSWER_HPP

#include <cstdint>
#include <string>

#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::standin {

/// Builds the answer to one chat-completions request.
class engine_answer {
public:
    engine_answer(std::string key, std::string model, std::uint64_t content_hash);

    /// @brief Text of the token at an index.
    [[nodiscard]] std::string token_text(tokens index) const;

    /// @brief Chunk with the text of one token.
    [[nodiscard]] json token_chunk(tokens index) const;

    /// @brief Chunk with the finish reason.
    [[nodiscard]] json finish_chunk(const std::string& finish_reason) const;

    /// @brief Last chunk, which contains the token usage.
    [[nodiscard]] json usage_chunk(tokens prompt_tokens, tokens completion_tokens) const;

    /// @brief Answer to a request without streaming.
    [[nodiscard]] json completion(tokens prompt_tokens, tokens completion_tokens,
                                  const std::string& finish_reason) const;

private:
    [[nodiscard]] json chunk(json choices) const;

    std::string key_;
    std::string model_;
    std::uint64_t content_hash_;
};

} // namespace dotterelport::standin

#endif
