#ifndef DOTTERELPORT_GATEWAY_REQUEST_DECISIONS_HPP
#define DOTTERELPORT_GATEWAY_REQUEST_DECISIONS_HPP

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/gateway/admission.hpp"
#include "dotterelport/gateway/attempt_policy.hpp"
#include "dotterelport/gateway/crash_watch.hpp"
#include "dotterelport/gateway/peer_link.hpp"
#include "dotterelport/gateway/server_directory.hpp"
#include "dotterelport/gateway/server_statements.hpp"
#include "dotterelport/gateway/service_catalogue.hpp"
#include "dotterelport/gateway/stop_policy.hpp"
#include "dotterelport/routing/placement.hpp"

/// Decisions about a request that change nothing. Forwarding carries them out, and an explanation
/// reports them.
namespace dotterelport::gateway {

inline constexpr int bad_gateway_status = 502;
inline constexpr int unavailable_status = 503;

/// State of a gateway on which the decisions depend.
struct decision_context {
    std::string_view failure_domain;
    /// Region of each failure domain.
    const std::map<std::string, std::string>& regions;
    const server_directory& servers;
    const server_statements& statements;
    const routing::placement& placement;
    const admission& admissions;
    const crash_watch& crashes;
    const peer_link& link;
    const std::optional<stop_order>& stopping;
};

/// A request as far as the decisions depend on it.
struct request_view {
    const service_catalogue& catalogue;
    const route& target;
    /// Null for a request without a key.
    const workspace* owner = nullptr;
    const std::string& service;
    std::span<const routing::prompt_part> parts = {};
    tokens prompt_tokens = 0;
    tokens max_output_tokens = 0;
    std::span<const request::suspect> suspects = {};
    /// Time since it was received.
    milliseconds held{0};
    milliseconds time_limit{0};
    milliseconds time_left{0};
    /// It was not sent, did not wait and has not run.
    bool is_new = true;
    /// Servers to which it was sent before.
    std::span<const std::string> tried = {};
    /// Full servers that refused it.
    std::span<const std::string> refused = {};

    [[nodiscard]] tokens cache_capacity() const;
    [[nodiscard]] int priority() const
    {
        return owner == nullptr ? target.priority : owner->priority.value_or(target.priority);
    }
};

/// Rejection of a request that has not run.
struct refusal {
    int status = unavailable_status;
    std::string_view reason;
    milliseconds retry_after{0};
};

/// What a request does next.
enum class request_step {
    /// It is refused because it would crash servers.
    quarantined,
    /// All servers limit their requests.
    limited,
    wait,
    /// It would have to wait for longer than it may.
    no_capacity,
    /// Placement has found too little memory.
    engines_full,
    no_server,
    /// It has a server; admission control decides whether it is sent.
    send,
};

struct request_plan {
    request_step step = request_step::no_server;
    /// Longest wait.
    milliseconds longest_wait{0};
    std::optional<routing::placement_choice> choice;
};

/// How the servers of a service compare for a request.
struct server_comparison {
    std::vector<routing::placement_candidate> candidates;
    /// One for each candidate; they refer to the candidates.
    std::vector<routing::placement_assessment> assessments;
    /// Candidates that are left out because they are full and another one is not.
    std::vector<std::string> full;
};

/// @brief Time that the caller and the route allow, from the first byte of the request on.
[[nodiscard]] milliseconds time_limit_of(const route& target, std::optional<milliseconds> deadline);

/// @brief Time until which a request must be answered.
/// @param received time of its first byte
[[nodiscard]] milliseconds deadline_of(const decision_context& context, const route& target,
                                       milliseconds received, milliseconds time_limit);
/// @brief Returns whether a request may use a route with the key of a workspace, or without one.
[[nodiscard]] bool may_use(const service_catalogue& catalogue, const route& target,
                           const workspace* owner);
/// @brief Rejection of a request that arrives while the process stops.
[[nodiscard]] std::optional<refusal> refusal_while_stopping(const decision_context& context,
                                                            const route& target,
                                                            milliseconds time_limit,
                                                            milliseconds now);
/// @brief Rejection of a request to a service whose definition cannot be read.
[[nodiscard]] std::optional<refusal> refusal_by_service(const service_definition* definition);
/// @brief Returns whether a request needs a reservation of budget tokens.
[[nodiscard]] bool needs_reservation(const workspace* owner, tokens max_tokens);

/// @brief Returns whether the regions of the route and of the workspace allow a server.
[[nodiscard]] bool is_in_allowed_region(const decision_context& context,
                                        const request_view& request, const backend_server& server);
/// @brief Available servers that the regions of the route and of the workspace allow.
[[nodiscard]] std::vector<const backend_server*> allowed_servers(const decision_context& context,
                                                                 const request_view& request);
/// @brief Time until one of the servers to which the request was not sent before permits it; 0
/// if it may be sent now, and nothing if there is no such server.
[[nodiscard]] std::optional<milliseconds> time_until_permitted(const decision_context& context,
                                                               const request_view& request);

/// @brief Properties of the request for placement.
/// @param excluded servers that must not be chosen
[[nodiscard]] routing::placement_request
placement_request_of(const decision_context& context, const request_view& request,
                     std::span<const std::string> excluded = {});
/// @param comparison if given, receives what the choice is based on
[[nodiscard]] std::optional<routing::placement_choice>
choose_server(const decision_context& context, const request_view& request, milliseconds now,
              server_comparison* comparison = nullptr);

/// @brief Decides whether a request is refused before its budget is reserved.
/// @return nothing if it is not refused
[[nodiscard]] std::optional<request_step> step_before_budget(const decision_context& context,
                                                             const request_view& request);
/// @brief Decides what a request does once its budget is reserved.
/// @param comparison if given, receives what the choice of a server is based on
[[nodiscard]] request_plan plan_request(const decision_context& context,
                                        const request_view& request, milliseconds now,
                                        server_comparison* comparison = nullptr);

/// @brief How the attempt ends that a step gives up.
[[nodiscard]] attempt_end end_of(request_step step);
/// @brief Retry-After of a request that has not run.
[[nodiscard]] milliseconds retry_after_end(const decision_context& context,
                                           const request_view& request, attempt_end end);
/// @brief The request as admission control sees it.
[[nodiscard]] admission_request admission_request_of(const request_view& request,
                                                     const routing::placement_choice& choice);
/// @brief A request that waits for a free slot, without the number of the wait.
/// @param bytes size of its target and body
[[nodiscard]] waiting_request waiting_request_of(const request_view& request, std::size_t bytes,
                                                 milliseconds longest, milliseconds now);

} // namespace dotterelport::gateway

#endif
