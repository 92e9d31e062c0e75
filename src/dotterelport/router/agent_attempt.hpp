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

/// Callbacks for the progress of an attempt. None of them is called after on_done.
struct attempt_handler {
    std::function<void(const json& data)> on_chunk = {};
    std::function<void(const attempt_result&)> on_done = {};
    /// Returns how many bytes the receiver of the chunks keeps, of as many as were received.
    std::function<std::size_t(std::size_t received)> held_bytes = {};
};

/// Filters the frames of an answer: only frames that continue this attempt, in order, pass.
class frame_filter {
public:
    /// What to do with a frame.
    enum class action {
        pass,
        /// The frame repeats one that has passed, or belongs to another attempt.
        drop,
        /// Frames before this one are missing: the stream must be joined again.
        gap,
    };

    explicit frame_filter(std::uint64_t offset) : next_sequence_(offset) {}

    /// @brief Prepares for the frames of a new connection; keeps the next sequence number.
    void restart() { attempt_.reset(); }

    [[nodiscard]] action check(const request::frame& received);

    /// @brief Sequence number of the next expected chunk.
    [[nodiscard]] std::uint64_t next_sequence() const { return next_sequence_; }

private:
    std::optional<std::uint32_t> attempt_;
    std::uint64_t next_sequence_;
};

/// One attempt of a request at one agent. Sends the admission and forwards the chunks in order.
/// When the connection breaks, it joins the attempt again at the next missing chunk.
class agent_attempt : public std::enable_shared_from_this<agent_attempt> {
public:
    struct context {
        net::event_loop& loop;
        net::http_client& http;
        net::rpc_client& rpc;
        /// Returns whether an agent incarnation can never answer again.
        std::function<bool(const incarnation&)> is_gone;
    };

    agent_attempt(context environment, request::admission admission, net::endpoint address,
                  attempt_handler handler);
    ~agent_attempt();
    agent_attempt(const agent_attempt&) = delete;
    agent_attempt& operator=(const agent_attempt&) = delete;

    /// @brief Sends the admission. No callback of the handler is called before this returns.
    void start();

    /// @brief Stops reading; the request continues at the agent.
    void abandon();

    /// @brief Requests the agent to cancel the request and stops reading.
    void cancel();

private:
    void send();
    /// @brief Reads a part of the answer, and ends the attempt if the answer uses too much memory.
    void receive_data(std::string_view data);
    void receive_line(std::string_view line);
    void receive_frame(const request::frame& received);
    void handle_failure(net::failure_stage stage, const std::string& message);
    void handle_completion();
    void handle_error(const request::error_frame& attempt_error);
    void connection_lost(const std::string& message);
    void resolve_uncertain(request::error_frame attempt_error);
    void finish(const attempt_result& result);
    void finish_error(verdict outcome, request::failure_reason reason, const std::string& message);
    void close();

    context context_;
    request::admission admission_;
    net::endpoint address_;
    attempt_handler handler_;
    frame_filter filter_;
    std::unique_ptr<net::line_splitter> line_splitter_;
    net::buffer_share held_;
    net::exchange_id exchange_ = 0;
    net::timer_id timer_ = 0;
    /// The agent has confirmed that it received the request.
    bool admitted_ = false;
    /// An admission was sent without a confirmation; the agent may have received it.
    bool uncertain_ = false;
    bool done_ = false;
    int consecutive_failures_ = 0;
    std::size_t received_bytes_ = 0;
    int dropped_frames_ = 0;
    milliseconds deadline_at_;
};

} // namespace dotterelport::router

#endif
