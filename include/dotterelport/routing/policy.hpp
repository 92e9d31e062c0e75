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
    /// Service or model that all servers to choose from provide.
    std::string service;
    dotterelport::priority priority = dotterelport::priority::normal;
    /// Hashes of the prompt's blocks; empty for calls.
    std::vector<prefix_hash> prefix;
    tokens prompt_tokens = 0;
    /// Servers that failed this request before.
    std::vector<std::string> excluded;
};

/// Input of a policy.
struct choice_context {
    const load_view& loads;
    const prefix_view& prefixes;
    std::span<const std::string> servers;
    const choice_request& request;
    milliseconds now;
};

/// Picks a server at random.
struct random_policy {};

/// Picks the servers of each service in turn.
struct round_robin_policy {
    std::map<std::string, std::size_t> next;
};

/// Picks the server with the least load relative to its capacity, as last reported.
struct least_reported_load_policy {};

/// Draws two servers at random and picks the one with the lower reported load.
struct two_choices_policy {};

/// Picks the server with the lowest expected time to answer among a few candidates: those that have
/// the longest prefix cached, those that rendezvous hashing prefers for the prefix, and some at
/// random. The expected time is based on the reported load, the uncached part of the prompt, and
/// the server's observed speed. The reported load is corrected by this router's own requests, and
/// shifted towards the mean as the report ages. Considering only a few random candidates prevents
/// all routers from picking the server that last reported a low load.
struct affinity_policy {
    /// Candidates drawn at random.
    std::size_t random_candidates = 6;
    /// Servers preferred for a prefix that no known cache holds. They are chosen by rendezvous
    /// hashing, so that all routers agree on them.
    std::size_t preferred_candidates = 2;
    /// Leading blocks of a prompt that determine its preferred servers: about the length of a
    /// shared instruction.
    std::size_t preference_blocks = 8;
    double prefill_ms_per_token = 0.1;
    /// Weight of the uncached prompt tokens of this router's unanswered requests at a server.
    /// Above 1, because they also represent the requests of other routers.
    double prefill_weight = 3;
    /// A server counts as slow if its time per token or call exceeds the median by this factor;
    /// smaller differences are noise.
    double slow_ratio = 1.5;
    /// Share of the median request duration by which a full batch delays another request.
    double batch_weight = 0.3;
};

using policy = std::variant<random_policy, round_robin_policy, least_reported_load_policy,
                            two_choices_policy, affinity_policy>;

/// @brief Name of a policy for settings and results.
std::string_view to_string(const policy& routing_policy);

/// @brief Creates the policy of a name with its default parameters.
/// @return nothing if the name is unknown
std::optional<policy> parse_policy(std::string_view name);

/// @brief Applies a policy to the eligible servers.
/// @return index into the servers, or nothing if there are none
std::optional<std::size_t> choose(policy& routing_policy, const choice_context& context,
                                  random_generator& random);

/// @brief Selects the servers that a policy may choose from, all with the same availability.
/// Requests below interactive class get the probing servers if there are any. Otherwise usable
/// servers go before probing, silent and ejected ones. Servers that failed the request before are
/// selected only if there are no others.
std::vector<std::size_t> eligible_servers(const choice_context& context);

} // namespace dotterelport::routing

#endif
