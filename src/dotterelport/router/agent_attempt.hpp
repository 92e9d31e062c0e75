#ifndef DOTTERELPORT_ROUTER_AGENT_ATTEMPT_HPP
#define DOTTERELPORT_ROUTER_AGENT_ATTEMPT_HPP

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/net/rpc.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::router {

/// How an attempt at an agent ended.
using attempt_result = std::variant<request::end_frame, request::error_frame>;

/// Functions that receive an attempt's progress. After on_done nothing more is called.
struct attempt_handler {
    std::function<void(const json& data)> on_chunk = {};
    std::function<void(const attempt_result&)> on_done = {};
};

/// Reads the frames of an answer and lets through only those that continue this attempt.
class frame_filter {
public:
    /// What to do with a frame.
    enum class action {
        pass,
        /// Repeats a frame already passed, or belongs to another attempt.
        drop,
        /// Frames are missing before this one: the stream must be joined again.
        gap,
    };

    explicit frame_filter(std::uint64_t offset) : next_(offset) {}

    /// @brief Begins to read a new connection.
    void restart() { attempt_.reset(); }

    [[nodiscard]] action check(const request::frame& value);

    /// @brief Sequence number of the next chunk.
    [[nodiscard]] std::uint64_t next() const { return next_; }

private:
    std::optional<std::uint32_t> attempt_;
    std::uint64_t next_;
};

/// One attempt of a request at one agent. Sends the admission, passes the chunks on in order, and
/// joins the attempt again where it stopped when the connection breaks.
class agent_attempt : public std::enable_shared_from_this<agent_attempt> {
public:
    struct context {
        net::event_loop& loop;
        net::http_client& http;
        net::rpc_client& rpc;
        /// Tells whether an agent incarnation can never answer again.
        std::function<bool(const incarnation&)> is_gone;
    };

    agent_attempt(context environment, request::admission admission, net::endpoint to,
                  attempt_handler handler);
    ~agent_attempt();
    agent_attempt(const agent_attempt&) = delete;
    agent_attempt& operator=(const agent_attempt&) = delete;

    /// @brief Sends the admission. Functions of the handler are never called in here.
    void start();

    /// @brief Stops reading; the request goes on at the agent.
    void abandon();

    /// @brief Tells the agent to cancel the request and stops reading.
    void cancel();

private:
    void send();
    void take_line(std::string_view line);
    void take_frame(const request::frame& value);
    void take_failure(net::failure_stage stage, const std::string& message);
    void take_complete();
    void take_error(const request::error_frame& value);
    void connection_lost(const std::string& message);
    void resolve_uncertain(request::error_frame value);
    void finish(const attempt_result& result);
    void finish_error(verdict outcome, request::failure_reason reason, const std::string& message);
    void close();

    context context_;
    request::admission admission_;
    net::endpoint to_;
    attempt_handler handler_;
    frame_filter filter_;
    std::unique_ptr<net::line_splitter> lines_;
    net::exchange_id exchange_ = 0;
    net::timer_id timer_ = 0;
    /// The agent has confirmed that it has the request.
    bool admitted_ = false;
    /// A message was sent whose fate is not known.
    bool uncertain_ = false;
    bool done_ = false;
    int failures_in_row_ = 0;
    milliseconds deadline_at_;
};

} // namespace dotterelport::router

#endif
