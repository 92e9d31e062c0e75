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

/// What requests need from the rest of the router. Functions stand for the parts that talk to other
/// nodes, so that tests can replace them.
struct dispatch_context {
    net::event_loop& loop;
    net::http_client& http;
    net::rpc_client& rpc;
    object_store::client& platform;
    agent_pool& agents;
    crash_guard& crashes;
    recent_agents& recent;
    std::mt19937_64& random;
    /// Configuration in force, or null.
    std::function<config::snapshot_ptr()> configuration;
    /// Incarnation of this router.
    std::function<incarnation()> self;
    /// Asks for a newer configuration than the one in force.
    std::function<void()> refresh_configuration;
    std::function<void(const reserve_request&, std::function<void(const reserve_result&)>)> reserve;
    std::function<void(const request_key&, const std::string& budget)> release;
    /// Tells whether an agent incarnation can never run anything again.
    std::function<bool(const incarnation&)> is_gone;
    /// Record of an agent incarnation, also of one that is leaving; nothing if it is not known.
    std::function<std::optional<membership::node_record>(const incarnation&)> find_agent;
    std::function<void(const std::string& node, bool answered)> report_contact;
    std::function<void(const std::string& node)> report_leaving;
    /// Counts a first attempt for the retry budget of a service.
    std::function<void(const std::string& service)> note_first_attempt;
    /// Takes a retry from the budget of a service; false if there is none left.
    std::function<bool(const std::string& service)> take_retry;
    /// Bookings that run in this router.
    std::set<request_key> open_bookings = {};
};

/// @brief Fields of an admission that do not change between the attempts of a request.
request::admission make_admission(const job& request, const reserve_result& reservation,
                                  std::uint64_t generation);

/// @brief What the choice of a backend server depends on.
agent_request make_agent_request(const job& request);

/// @brief Notes the end of an attempt in the view of the agent's load.
void end_lease(std::unique_ptr<agent_lease>& lease, const attempt_result& result);

/// @brief Wait before a further attempt, with jitter.
milliseconds retry_wait(int attempt, std::mt19937_64& random);

/// One idempotent request of a caller, from the choice of a backend server to the end of the
/// answer. Keeps itself alive while it waits for something.
class request_run : public std::enable_shared_from_this<request_run> {
public:
    /// @param on_finished called once, with the error if the caller received one
    request_run(dispatch_context& context, job request, answer reply,
                std::function<void(const caller_error*)> on_finished);

    void start();

    /// @brief The caller has gone away. A request that nobody can ask for again is cancelled.
    void caller_gone();

private:
    void choose();
    void wait_for_agent();
    void reserve(const membership::node_record& agent);
    void take_reservation(const membership::node_record& agent, const reserve_result& result);
    void join_known(const reserve_result& result);
    void admit(const membership::node_record& agent, const reserve_result& result);
    void take_result(const membership::node_record& agent, const attempt_result& result);
    void take_failure(const membership::node_record& agent, const request::error_frame& failure);
    void retry_or_fail(const membership::node_record& agent, const request::error_frame& failure);
    void after(milliseconds delay, void (request_run::*step)());
    void give_back_if_not_run(verdict outcome);
    void fail(const caller_error& failure);
    void finish(const caller_error* failure);

    [[nodiscard]] bool is_quarantined();

    dispatch_context& context_;
    job job_;
    answer answer_;
    std::function<void(const caller_error*)> on_finished_;
    std::shared_ptr<agent_attempt> attempt_;
    std::unique_ptr<agent_lease> lease_;
    agent_request wanted_;
    int attempts_ = 0;
    /// Number of the last attempt, this request's own or one that it joined.
    std::uint32_t attempt_number_ = 0;
    /// This request made the reservation that is open now.
    bool reserved_ = false;
    /// An attempt was sent and not proved "not run".
    bool may_have_run_ = false;
    bool finished_ = false;
    std::optional<caller_error> last_failure_;
    /// Until when to wait for an agent, or for a reservation at an agent that has gone.
    milliseconds patience_until_{0};
    net::timer_id timer_ = 0;
};

} // namespace dotterelport::router

#endif
