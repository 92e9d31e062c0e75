#ifndef DOTTERELPORT_ROUTER_REQUEST_RUN_HPP
#define DOTTERELPORT_ROUTER_REQUEST_RUN_HPP

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "agent_attempt.hpp"
#include "agent_pool.hpp"
#include "answer.hpp"
#include "crash_guard.hpp"
#include "dotterelport/config/snapshot.hpp"
#include "dotterelport/router/budget_service.hpp"
#include "failure_policy.hpp"
#include "recent_agents.hpp"

namespace dotterelport::router {

/// What requests need from the rest of the router. Operations that communicate with other nodes are
/// functions, so that tests can replace them.
struct dispatch_context {
    net::event_loop& loop;
    net::http_client& http;
    net::rpc_client& rpc;
    object_store::client& platform;
    agent_pool& agents;
    crash_guard& crashes;
    recent_agents& recent;
    std::mt19937_64& random;
    /// Configuration in force, or a null pointer.
    std::function<config::snapshot_ptr()> configuration;
    /// Incarnation of this router.
    std::function<incarnation()> self;
    /// Requests a newer configuration than the one in force.
    std::function<void()> refresh_configuration;
    std::function<void(const reserve_request&, std::function<void(const reserve_result&)>)> reserve;
    std::function<void(const release_request&)> release;
    /// Returns whether an agent incarnation can never run anything again.
    std::function<bool(const incarnation&)> is_gone;
    /// Record of an agent incarnation, also of one that is leaving; nullopt if it is unknown.
    std::function<std::optional<membership::node_record>(const incarnation&)> find_agent;
    std::function<void(const std::string& node, bool answered)> report_contact;
    std::function<void(const std::string& node)> report_leaving;
    /// Counts a first attempt for the retry budget of a service.
    std::function<void(const std::string& service)> record_first_attempt;
    /// Consumes one retry of the retry budget of a service; returns false if it is exhausted.
    std::function<bool(const std::string& service)> consume_retry;
    /// Keys of the bookings that run in this router.
    std::set<request_key> open_bookings = {};
};

/// @brief Makes an admission. The attempt number and join_only keep their defaults.
request::admission make_admission(const checked_request& request, const reserve_result& reservation,
                                  std::uint64_t generation);

/// @brief Criteria for the choice of an agent for a request.
agent_criteria make_agent_criteria(const checked_request& request);

/// @brief Reports the end of an attempt to the load view and resets the lease.
void end_lease(std::unique_ptr<agent_lease>& lease, const attempt_result& result);

/// @brief Delay before a further attempt: exponential backoff with jitter.
milliseconds retry_delay(int attempt, std::mt19937_64& random);

/// One idempotent request of a caller, from the choice of an agent to the end of the answer. Keeps
/// itself alive while a timer or a call to another node is pending.
class request_run : public std::enable_shared_from_this<request_run> {
public:
    /// @param on_finished called once, with the error that the caller received or a null pointer
    request_run(dispatch_context& context, checked_request request, answer reply,
                std::function<void(const caller_error*)> on_finished);

    void start();

    /// @brief Handles the disconnect of the caller. A request without a key from the caller is
    /// cancelled, because no retry can join it.
    void handle_caller_disconnect();

private:
    void choose_agent();
    void wait_for_agent();
    void reserve(const membership::node_record& agent);
    void handle_reservation(const membership::node_record& agent, const reserve_result& result);
    void join_existing_attempt(const reserve_result& result);
    void admit(const membership::node_record& agent, const reserve_result& result);
    void handle_result(const membership::node_record& agent, const attempt_result& result);
    void handle_failure(const membership::node_record& agent, const request::error_frame& failure);
    void retry_or_fail(const membership::node_record& agent, const request::error_frame& failure);
    void run_after(milliseconds delay, void (request_run::*step)());
    void release_if_not_run(verdict outcome);
    void fail(const caller_error& failure);
    void finish(const caller_error* failure);

    [[nodiscard]] bool is_quarantined();

    dispatch_context& context_;
    checked_request request_;
    answer answer_;
    std::function<void(const caller_error*)> on_finished_;
    std::shared_ptr<agent_attempt> attempt_;
    std::unique_ptr<agent_lease> lease_;
    agent_criteria agent_criteria_;
    int attempts_ = 0;
    /// Number of the last attempt that this request made or joined.
    std::uint32_t attempt_number_ = 0;
    /// This request made the currently open reservation.
    bool reserved_ = false;
    /// What reserved_ refers to.
    release_request reservation_;
    /// An attempt was sent and is not proved to be "not run".
    bool may_have_run_ = false;
    bool finished_ = false;
    std::optional<caller_error> last_failure_;
    /// End of the wait for an agent, or for the release of a reservation at an agent that is gone.
    milliseconds wait_deadline_{0};
    net::timer_id timer_ = 0;
};

} // namespace dotterelport::router

#endif
