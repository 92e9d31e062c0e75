#ifndef DOTTERELPORT_GATEWAY_FORWARDING_HPP
#define DOTTERELPORT_GATEWAY_FORWARDING_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/gateway/admission.hpp"
#include "dotterelport/gateway/attempt_policy.hpp"
#include "dotterelport/gateway/budget_broker.hpp"
#include "dotterelport/gateway/crash_watch.hpp"
#include "dotterelport/gateway/event_stream.hpp"
#include "dotterelport/gateway/peer_exchange.hpp"
#include "dotterelport/gateway/protocol.hpp"
#include "dotterelport/gateway/second_send.hpp"
#include "dotterelport/gateway/server_directory.hpp"
#include "dotterelport/gateway/server_statements.hpp"
#include "dotterelport/gateway/service_catalogue.hpp"
#include "dotterelport/gateway/stop_policy.hpp"
#include "dotterelport/net/backend_client.hpp"
#include "dotterelport/net/buffer_budget.hpp"
#include "dotterelport/net/stream_server.hpp"
#include "dotterelport/request/retry_budget.hpp"
#include "dotterelport/routing/placement.hpp"
#include "metrics.hpp"
#include "request_decisions.hpp"
#include "waiting_room.hpp"

namespace dotterelport::gateway {

/// Memory for answers that wait for their end or for their callers. A buffer that grows may have
/// twice the size of its content, and the smallest VMs have 88 MB for the process.
inline constexpr net::buffer_limits answer_limits{.per_answer = std::size_t{8} << 20U,
                                                  .total = std::size_t{20} << 20U};

/// State shared by all requests of a gateway.
struct forwarding_context {
    net::event_loop& loop;
    const protocol& wire;
    std::string failure_domain;
    /// Region of each failure domain.
    const std::map<std::string, std::string>& regions;
    net::backend_client& backends;
    server_directory& servers;
    routing::placement& placement;
    peer_exchange& peers;
    const peer_link& link;
    budget_broker& budgets;
    crash_watch& crashes;
    server_statements& statements;
    second_send_policy& second_sends;
    admission& admissions;
    waiting_room& waiting;
    metrics& counters;
    /// Retry budget of each service.
    std::map<std::string, request::retry_budget>& retries;
    /// Options of the retry budget that is created when a service is first used.
    request::retry_budget::options& retry_options;
    std::mt19937_64& random;
    std::uint64_t& last_attempt;
    /// Set when the process receives a stop order.
    const std::optional<stop_order>& stopping;
    net::buffer_budget buffers{answer_limits};

    [[nodiscard]] decision_context decisions() const
    {
        return {.failure_domain = failure_domain,
                .regions = regions,
                .servers = servers,
                .statements = statements,
                .placement = placement,
                .admissions = admissions,
                .crashes = crashes,
                .link = link,
                .stopping = stopping};
    }
};

/// Forwards one request: finds its route, checks its key, reserves its budget, chooses a server,
/// sends the request to it, passes on the answer and settles the reservation.
class forwarding : public std::enable_shared_from_this<forwarding> {
public:
    /// @param done called once when the request is finished
    forwarding(forwarding_context& context, std::shared_ptr<net::stream_exchange> exchange,
               std::shared_ptr<const service_catalogue> catalogue, std::function<void()> done);

    void start();

    /// @brief Answers the request before the process exits. An answer that has begun can only be
    /// broken off.
    void end_for_stop();

    /// @brief Returns whether a part of the answer was sent.
    [[nodiscard]] bool has_output() const { return exchange_->is_started(); }

private:
    /// The attempt that is in progress at a backend server.
    struct attempt {
        std::uint64_t id = 0;
        std::string server;
        /// Start of the server's run.
        std::uint64_t server_started_ms = 0;
        /// The request to the server, until it is passed to the client.
        net::backend_call call;
        net::exchange_id exchange = 0;
        milliseconds sent{0};
        std::optional<net::http1_answer_head> head;
        /// How the end of the answer's body is determined.
        net::body_framing framing;
        backend_answer answer;
        /// Body of an answer that is buffered until it is complete.
        std::string body;
        /// Memory of the body, or of the incomplete event of a stream.
        std::unique_ptr<net::buffer_share> held;
        /// Memory of events that the caller has not read yet.
        std::unique_ptr<net::buffer_share> unsent;
        bool is_streamed = false;
        /// A part of the answer's body has arrived; of a stream, an event that is not only a
        /// comment.
        bool has_data = false;
        /// What the second attempt has received of a stream, until the request continues with it.
        event_stream events;
        std::uint64_t events_before = 0;
        double expected_start_ms = 0;
    };

    [[nodiscard]] bool authorize();
    /// @brief The request as far as decisions about it depend on it.
    [[nodiscard]] request_view view() const;
    /// @brief Ends the request, which no server can run now.
    void end_without_server(request_step step);
    void choose_service();
    void reserve();
    void reserved(reservation_outcome outcome);
    void dispatch();
    void send(const backend_server& server, const routing::placement_choice& choice);
    /// @brief Sends the request to a server.
    /// @param started the new attempt
    void start_attempt(std::optional<attempt>& started, const backend_server& server,
                       const routing::placement_choice& choice);

    /// @brief Considers a second send if the answer does not begin within the usual time.
    void arm_second_send();
    void consider_second_send();
    /// @brief Handles the second attempt, which is in progress, as if it was the only one.
    template<typename Function> auto as_only_attempt(Function function);
    /// @brief Returns whether an attempt receives an answer that the caller may get.
    [[nodiscard]] static bool is_usable(const attempt& value);
    /// @brief Continues with the second attempt only, which answers first.
    void prefer_second();
    /// @brief Handles a part of the second attempt's answer, which decides which attempt continues
    /// only with the first event.
    void received_second_events(std::string_view data);
    /// @brief Gives up the second attempt.
    void end_second(attempt_end end);
    /// @brief Continues with the second attempt after the first has failed.
    /// @return false if there is no second attempt
    /// @param end how the first attempt ended
    bool fail_over(attempt_end end);
    [[nodiscard]] net::backend_handler make_second_handler(std::uint64_t attempt_id);

    /// @brief Ends a request that has not run if it cannot start before its time limit.
    /// @return whether the request has ended
    bool refuse_late(const routing::placement_choice& choice);
    /// @brief Reports to admission control how long the attempt took to start, or has taken so far.
    void record_start();
    /// @brief Records that a full server refused the request.
    void record_refusal(const std::string& server);
    /// @brief Keeps a request that full servers refused until one may have a free slot, or ends it.
    /// @return false if the request has not been refused by a full server
    bool wait_after(attempt_end end);
    /// @brief Keeps a stream that has begun until a server has room to continue it, for the longest
    /// pause that its callers accept.
    /// @return false if it is to be broken off
    bool wait_to_continue(attempt_end end);
    /// @brief Continues a stream that has waited, or lets it wait on, or breaks it off.
    void continue_stream();
    /// @brief Time until a server that may continue the stream is expected to accept requests;
    /// nothing if there is no such server.
    [[nodiscard]] std::optional<milliseconds> time_until_continued() const;
    /// @brief Lets the refused request be sent again to the servers that refused it: they have not
    /// run it.
    void allow_refused_servers();
    /// @return false if too many requests wait
    bool wait_for_capacity(milliseconds longest);
    /// @return false if too many requests wait
    bool enter_queue(milliseconds until);
    void record_wait(milliseconds longest) const;
    void wait_ended(bool is_admitted);
    void refuse_for_capacity();
    [[nodiscard]] net::backend_handler make_handler(std::uint64_t attempt_id);

    bool received_head(const net::http1_answer_head& head);
    void received_data(std::string_view data);
    /// @brief Passes on what became complete of a stream.
    /// @param events_before number of events before the last part of the answer
    void received_events(std::string_view events, std::uint64_t events_before);
    /// @brief Records the time to the first part of the answer and ends the other attempt.
    void received_first_data();
    void received_all();
    void received_failure(net::backend_failure failure);
    /// @brief Reports an attempt whose server ended the connection before the first event.
    void report_lost_attempt();
    void write_events(std::string_view events);
    void buffer_body(std::string_view data);
    void clear_attempt();
    /// @brief Returns whether an answer can be passed on as a stream of events: as the first answer
    /// or as the continuation of the one that the caller has begun to receive.
    [[nodiscard]] bool is_stream(const net::http1_answer_head& head) const;
    /// @brief Pauses the server while the caller reads more slowly than the server sends.
    void limit_unsent();
    /// @brief Returns whether the answer, whose framing is complete, lacks a part of its events. An
    /// answer at which a stream was resumed also lacks those up to the place of the break.
    [[nodiscard]] bool ends_early() const;
    void complete_answer();
    /// @brief Ends the attempt and decides what to do next.
    void attempt_failed(verdict outcome, attempt_end end);
    /// @brief Reports to placement and metrics how the attempt ended.
    void close_attempt(attempt_end end) { close_attempt(*attempt_, end); }
    void close_attempt(const attempt& ended, attempt_end end);
    /// @brief Limits the requests to a server whose connection failed, if servers of its service
    /// accept few requests after a start: it may have started again.
    void limit_if_restarted(const std::string& server, attempt_end end);

    [[nodiscard]] milliseconds time_limit() const
    {
        return time_limit_of(*route_, request_.deadline);
    }
    void arm_timers();
    void arm_stall_timer();
    /// @brief Ends the attempt if the server has sent no complete event for the stall limit.
    void check_stall();
    void schedule_stall_check(milliseconds delay);
    /// @brief Time without progress after which the attempt counts as stalled.
    [[nodiscard]] milliseconds stall_limit() const;
    void deadline_expired();
    void stalled();
    void caller_gone();

    /// @brief Breaks off an answer that has begun.
    /// @param fields of the log line
    void cut(const json& fields);

    /// @brief Carries out the decision made after an attempt.
    void execute(const attempt_decision& decision, attempt_end end, const json& fields);
    void refuse(const refusal& reason) { refuse(reason.status, reason.reason, reason.retry_after); }
    void refuse(int status, std::string_view reason, milliseconds retry_after = milliseconds{0});
    void settle();
    void finish();

    /// @brief Returns whether the request may be sent to another server after it has run: a stream
    /// that has begun must continue there after the last event passed on.
    [[nodiscard]] bool may_repeat() const { return route_->may_repeat() && events_.can_resume(); }
    [[nodiscard]] request::retry_budget& retries() const;
    [[nodiscard]] milliseconds time_left() const;
    [[nodiscard]] tokens delivered_tokens() const;
    [[nodiscard]] json log_fields() const;
    /// @brief Adds how the answer of the attempt was framed and what it lacks.
    void add_answer_fields(json& fields) const;

    forwarding_context& context_;
    std::shared_ptr<net::stream_exchange> exchange_;
    std::shared_ptr<const service_catalogue> catalogue_;
    std::function<void()> done_;

    caller_request request_;
    const route* route_ = nullptr;
    const workspace* workspace_ = nullptr;
    std::string service_;
    tokens tokens_per_event_ = 1;
    tokens cache_capacity_ = 0;
    /// Time limit set by the caller, the route or a stop order, whichever is earliest.
    milliseconds deadline_{0};

    /// What of the request may crash servers.
    std::vector<request::suspect> suspects_;
    std::optional<attempt> attempt_;
    /// A second send, while it is not known which attempt answers first.
    std::optional<attempt> second_;
    net::timer_id second_timer_ = 0;
    std::vector<std::string> tried_servers_;
    /// Full servers that refused the request, if admission control takes effect.
    std::vector<std::string> refused_servers_;
    /// Number of the wait for capacity; 0 if the request does not wait.
    std::uint64_t wait_ = 0;
    /// The request has waited and may be sent.
    bool was_admitted_ = false;
    /// Time until which a stream whose server failed may wait for another one.
    std::optional<milliseconds> continue_until_;
    /// A retry was taken from the budget for a send that was not made.
    bool has_retry_ = false;
    std::uint32_t sends_ = 0;
    std::uint32_t failed_connects_ = 0;
    bool may_have_run_ = false;
    event_stream events_;
    /// Status with which the answer to the caller began.
    std::optional<int> started_status_;
    std::optional<milliseconds> first_output_;
    milliseconds last_output_{0};
    /// Time of the last progress of the attempt: of its send or its last complete event.
    milliseconds last_progress_{0};
    bool server_paused_ = false;
    /// Longest time between two writes of a stream's events.
    milliseconds longest_pause_{0};
    milliseconds longest_pause_began_{0};
    bool reserving_ = false;
    bool has_reservation_ = false;
    std::uint64_t reservation_ = 0;
    bool finished_ = false;
    net::timer_id deadline_timer_ = 0;
    net::timer_id stall_timer_ = 0;
};

} // namespace dotterelport::gateway

#endif
