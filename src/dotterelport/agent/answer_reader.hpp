#ifndef DOTTERELPORT_AGENT_ANSWER_READER_HPP
#define DOTTERELPORT_AGENT_ANSWER_READER_HPP

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "dotterelport/base/json.hpp"
#include "dotterelport/net/http.hpp"
#include "dotterelport/net/http1.hpp"
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
    verdict run_verdict = verdict::ran;
    /// Failure that ended the run; unset if the answer was passed on completely.
    std::optional<request::failure_reason> reason;
    std::string message;
    /// Unset if the backend server reported no usage.
    std::optional<token_usage> usage;
};

using chunk_function = std::function<void(const json& data)>;

/// Largest answer of an application that is passed on, which is also the limit of a replay stream.
inline constexpr std::size_t max_call_answer_bytes = std::size_t{4} << 20U;

/// Reads the streamed answer of an engine and passes on its chat.completion.chunk objects.
class chat_answer {
public:
    explicit chat_answer(chunk_function on_chunk);
    ~chat_answer() = default;
    // The parser refers to this object.
    chat_answer(const chat_answer&) = delete;
    chat_answer& operator=(const chat_answer&) = delete;

    void receive_head(int status, const net::header_list& headers);
    void receive_data(std::string_view data);

    /// @brief Evaluates the answer after its last byte.
    /// @return nothing if the answer is incomplete
    std::optional<backend_result> complete();

    /// @brief Returns whether an event is longer than any engine sends.
    [[nodiscard]] bool is_too_large() const { return events_.is_overlong(); }
    /// @brief Number of bytes that are kept.
    [[nodiscard]] std::size_t held_bytes() const { return events_.incomplete_bytes(); }

private:
    void handle_event(std::string_view event);

    chunk_function on_chunk_;
    net::sse_parser events_;
    int status_ = 0;
    bool is_done_ = false;
    std::string error_;
    std::optional<token_usage> usage_;
};

/// Collects the answer of an application and passes it on as one chunk.
class call_answer {
public:
    /// @param method method of the request, on which the framing of its answer depends
    explicit call_answer(chunk_function on_chunk, std::string method = "GET")
        : on_chunk_(std::move(on_chunk)), method_(std::move(method))
    {}

    void receive_head(int status, const net::header_list& headers);
    void receive_data(std::string_view data);
    std::optional<backend_result> complete();

    [[nodiscard]] bool is_too_large() const { return is_too_large_; }
    /// @brief Number of bytes that are kept.
    [[nodiscard]] std::size_t held_bytes() const { return body_.size(); }

private:
    chunk_function on_chunk_;
    std::string method_;
    net::body_framing framing_;
    int status_ = 0;
    json headers_ = json::object();
    std::string body_;
    bool is_too_large_ = false;
};

using answer_reader = std::variant<chat_answer, call_answer>;

} // namespace dotterelport::agent

#endif
