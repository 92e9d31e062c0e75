#ifndef DOTTERELPORT_AGENT_ANSWER_READER_HPP
#define DOTTERELPORT_AGENT_ANSWER_READER_HPP

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dotterelport/base/json.hpp"
#include "dotterelport/net/http.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::agent {

/// Tokens that a backend server reported.
struct token_usage {
    tokens prompt_tokens = 0;
    tokens completion_tokens = 0;
};

/// How a run at the backend server ended.
struct backend_result {
    verdict value = verdict::ran;
    /// Unset if the whole answer arrived.
    std::optional<request::failure_reason> reason;
    std::string message;
    /// Unset if the backend server reported none.
    std::optional<token_usage> usage;
};

using chunk_function = std::function<void(const json& data)>;

/// Longest answer of an application that is passed on, as much as a replay buffer keeps.
inline constexpr std::size_t max_call_answer_bytes = std::size_t{4} << 20U;

/// Reads a stream of chat.completion.chunk objects.
class chat_answer {
public:
    explicit chat_answer(chunk_function on_chunk);
    ~chat_answer() = default;
    // The parser refers to this object.
    chat_answer(const chat_answer&) = delete;
    chat_answer& operator=(const chat_answer&) = delete;

    void take_head(int status, const net::header_list& headers);
    void take_data(std::string_view data);

    /// @brief Ends the answer.
    /// @return nothing if the answer is not complete
    std::optional<backend_result> complete();

private:
    void take_event(std::string_view event);

    chunk_function on_chunk_;
    net::sse_parser events_;
    int status_ = 0;
    bool done_ = false;
    std::string error_;
    std::optional<token_usage> usage_;
};

/// Collects the answer of an application.
class call_answer {
public:
    explicit call_answer(chunk_function on_chunk) : on_chunk_(std::move(on_chunk)) {}

    void take_head(int status, const net::header_list& headers);
    void take_data(std::string_view data);
    std::optional<backend_result> complete();

private:
    chunk_function on_chunk_;
    int status_ = 0;
    json headers_ = json::object();
    std::string body_;
    bool too_large_ = false;
};

using answer_reader = std::variant<chat_answer, call_answer>;

} // namespace dotterelport::agent

#endif
