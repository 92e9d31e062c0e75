#ifndef DOTTERELPORT_ROUTING_POLICY_HPP
#define DOTTERELPORT_ROUTING_POLICY_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/priority.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/routing/load_view.hpp"
#include "dotterelport/routing/prefix_view.hpp"

namespace dotterelport::routing {

using random_generator = std::mt19937_64;

/// A request that needs a backend server.
struct choice_request {
    /// Service, or model, that the servers to choose from have in common.
    std::string service;
    dotterelport::priority priority = dotterelport::priority::normal;
    /// Hashes of the prompt's blocks; empty for calls.
    std::vector<prefix_hash> prefix;
    tokens prompt_tokens = 0;
    /// Servers that failed this request before.
    std::vector<std::string> excluded;
};

/// Everything a policy decides on.
struct choice_context {
    const load_view& loads;
    const prefix_view& prefixes;
    std::span<const std::string> servers;
    const choice_request& request;
    milliseconds now;
};

/// Picks any server.
struct random_policy {};

/// Picks the servers of each service in turn.
struct round_robin_policy {
    std::map<std::string, std::size_t> next;
};

/// Picks the server whose last report shows the least load for its capacity.
struct least_reported_load_policy {};

/// Picks two servers at random and of these the one with the lower reported load.
struct two_choices_policy {};

/// Picks the server with the least expected time to answer among a few candidates: those that hold
/// the longest prefix, the prefix's home servers, and some at random. The expected time counts the
/// reported load, corrected by this router's own requests and drawn towards the mean as the report
/// ages, the part of the prompt that is not cached, and the server's observed speed. Looking at few
/// random candidates keeps routers from all picking the server that reported a low load last.
struct affinity_policy {
    /// Candidates drawn at random.
    std::size_t random_candidates = 6;
    /// Servers preferred for a prefix that no cache is known to hold, chosen by rendezvous hash so
    /// that all routers agree on them.
    std::size_t home_candidates = 2;
    /// Blocks of a prompt that decide its home servers: about the length of a shared instruction.
    std::size_t home_blocks = 8;
    double prefill_ms_per_token = 0.1;
    /// Weight of the tokens that this router's unanswered requests at a server still have to
    /// prefill. Above 1, as they also stand for the requests of other routers.
    double prefill_weight = 3;
    /// Pace above this multiple of the median marks a slow server; smaller differences are noise.
    double slow_ratio = 1.5;
    /// Part of a request's mean duration by which a full batch delays a further request.
    double batch_weight = 0.3;
};

using policy = std::variant<random_policy, round_robin_policy, least_reported_load_policy,
                            two_choices_policy, affinity_policy>;

/// @brief Name of a policy for settings and results.
std::string_view to_string(const policy& value);

/// @brief Makes a policy with its default parameters.
std::optional<policy> parse_policy(std::string_view name);

/// @brief Chooses a server with a policy. Servers that are not usable are left out unless there is
/// no other.
/// @return index into the servers, or nothing if there are none
std::optional<std::size_t> choose(policy& value, const choice_context& context,
                                  random_generator& random);

/// @brief Selects the servers that a policy may choose from: usable ones that did not fail the
/// request, and probing ones for requests that can wait; else silent ones, else ejected ones.
std::vector<std::size_t> eligible_servers(const choice_context& context);

} // namespace dotterelport::routing

#endif
