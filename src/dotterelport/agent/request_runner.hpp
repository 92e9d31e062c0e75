#ifndef DOTTERELPORT_AGENT_REQUEST_RUNNER_HPP
#define DOTTERELPORT_AGENT_REQUEST_RUNNER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "dotterelport/agent/backend.hpp"
#include "dotterelport/agent/frame_reader.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/request/admission_table.hpp"
#include "dotterelport/request/outcome_list.hpp"
#include "dotterelport/request/replay_buffer.hpp"

namespace dotterelport::agent {

/// Counts for metrics; they never decrease.
struct runner_counts {
    std::uint64_t started = 0;
    std::uint64_t joined = 0;
    std::uint64_t refused = 0;
    std::uint64_t ran = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    std::uint64_t crashes = 0;
    std::uint64_t chunks = 0;
    std::uint64_t charged_tokens = 0;
};

/// Admits requests, runs them at the backend server, sends their frames to readers and collects
/// their outcomes. A run continues if its reader disconnects.
class request_runner {
public:
    struct options {
        std::string service;
        /// Limit of requests at the backend server at once, including those queued there.
        std::size_t max_running_requests = 1024;
        request::replay_buffer::limits replay = {};
        std::size_t max_unsettled_outcomes = request::max_unsettled_outcomes;
    };

    /// @param conditions called for the agent's state at each admission; the runner adds its own
    /// limits
    request_runner(net::event_loop& loop, backend& server, options settings,
                   std::function<request::admission_conditions()> conditions);

    /// @brief Adds POST /v1/requests.
    void serve(net::http_server& server);

    /// @brief Ends a run because its caller cancelled it.
    request::key_report cancel(const request_key& key);

    /// @brief Sets a function that is called with the generation of each admission.
    void on_generation(std::function<void(std::uint64_t)> function)
    {
        on_generation_ = std::move(function);
    }

    [[nodiscard]] request::admission_table& table() { return table_; }
    [[nodiscard]] const request::admission_table& table() const { return table_; }
    [[nodiscard]] request::outcome_list& outcomes() { return outcomes_; }
    [[nodiscard]] const request::outcome_list& outcomes() const { return outcomes_; }
    [[nodiscard]] const request::replay_buffer& replay() const { return replay_; }
    [[nodiscard]] const runner_counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t running_count() const { return runs_.size(); }
    [[nodiscard]] std::size_t reader_count() const { return readers_.size(); }

private:
    struct run {
        request::admission message;
        backend::run_id backend_run = 0;
        net::timer_id deadline_timer = 0;
    };

    void handle_request(const net::http_request& request,
                        const std::shared_ptr<net::http_response>& response);
    void admit(const request::admission& message, const net::client_request& backend_request,
               const std::shared_ptr<net::http_response>& response);
    [[nodiscard]] request::admission_conditions current_conditions() const;
    void start(const request::admission& message, const net::client_request& backend_request);
    void append_chunk(const request_key& key, const json& data);
    void end(const request_key& key, const backend_result& result);
    void stop(const request_key& key, request::failure_reason reason, const std::string& message);
    void add_outcome(const run& ended_run, const backend_result& result);

    net::event_loop& loop_;
    backend& backend_;
    options settings_;
    std::function<request::admission_conditions()> conditions_;
    std::function<void(std::uint64_t)> on_generation_;
    request::admission_table table_;
    request::replay_buffer replay_;
    request::outcome_list outcomes_;
    frame_readers readers_{replay_};
    std::unordered_map<request_key, run> runs_;
    runner_counts counts_;
    net::periodic_timer reader_timer_;
};

} // namespace dotterelport::agent

#endif
