#ifndef DOTTERELPORT_GATEWAY_SECOND_SEND_HPP
#define DOTTERELPORT_GATEWAY_SECOND_SEND_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::gateway {

struct second_send_settings {
    /// Second sends per first send of a service that operators allow; 0 switches them off.
    double share = 0;
    /// Second sends that may be saved up: the slowest requests come in groups.
    double max_saved = 10;
    /// Recent times that are kept for each service and size of request.
    std::size_t max_samples = 128;
    /// Fewer times than this do not show which requests are slow.
    std::size_t min_samples = 20;
    /// Share of the requests that start before a second send is considered.
    double percentile = 0.95;
    milliseconds min_delay{20};
    /// The second server must be expected to start within this share of the time that the first one
    /// is expected to take still.
    double worthwhile_share = 0.5;
    /// The fleet is short of capacity if another server is not expected to start within this share
    /// of the target latency, or half of the requests take longer than the target latency.
    double idle_share = 0.5;
};

/// Whether a request that waits at a server is sent to a second one.
enum class second_send_decision {
    send,
    /// Second sends are switched off, or too few times are known.
    inactive,
    /// The operators' limit on second sends is used up.
    limit_reached,
    /// The fleet is short of capacity: a second send would delay other requests.
    short_of_capacity,
    /// The second server is not expected to start much earlier than the first.
    no_gain,
};

/// @brief Name of a decision for logs and metrics.
std::string_view to_string(second_send_decision value);

/// A request that waits for the first part of its answer.
struct slow_request {
    std::string_view service;
    tokens prompt_tokens = 0;
    /// Time since it was sent to the first server.
    milliseconds waited{0};
    /// Expected time to the first part of the answer at the second server.
    milliseconds expected_at_second{0};
    milliseconds target_latency{0};
};

/// Decides on second sends of requests that may be repeated, by this gateway's record of how long
/// requests of the same service and about the same size took to start. Does no I/O.
///
/// The delay is a high percentile, so that few requests are sent twice, and the second send must be
/// expected to start much earlier than the first: a request that all servers are slow for gains
/// nothing from another one. See Dean and Barroso, "The Tail at Scale" (hedged requests).
class second_send_policy {
public:
    explicit second_send_policy(const second_send_settings& settings = {}) : settings_(settings) {}

    void set_share(double share) { settings_.share = share; }

    /// @brief Records the first send of a request.
    void record_first_send(std::string_view service);

    /// @brief Records the time from a send to the first part of its answer, or until it ended
    /// without one.
    void record_start(std::string_view service, tokens prompt_tokens, milliseconds time);

    /// @brief Time after which a second send is considered; nothing if too few times are known.
    [[nodiscard]] std::optional<milliseconds> delay(std::string_view service,
                                                    tokens prompt_tokens) const;

    [[nodiscard]] second_send_decision decide(const slow_request& request) const;

    /// @brief Records a second send.
    void record_second_send(std::string_view service);

    [[nodiscard]] json dump() const;

private:
    struct service_state {
        /// Second sends that are allowed at present.
        double allowed = 0;
        /// Recent times by the size of the request.
        std::map<int, std::deque<milliseconds>> times;
    };

    [[nodiscard]] const std::deque<milliseconds>* times_of(std::string_view service,
                                                           tokens prompt_tokens) const;

    second_send_settings settings_;
    std::map<std::string, service_state, std::less<>> services_;
};

} // namespace dotterelport::gateway

#endif
