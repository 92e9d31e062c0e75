#ifndef DOTTERELPORT_BUDGET_SIZING_HPP
#define DOTTERELPORT_BUDGET_SIZING_HPP

#include <cstddef>
#include <variant>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::budget {

/// What a sizing policy knows about a budget and one of its holders.
struct sizing_input {
    tokens prepaid = 0;
    /// Tokens of the budget that can be granted, with what this holder already has open.
    tokens remaining = 0;
    /// Billed or unproved under this holder's grant.
    tokens accounted = 0;
    /// Reserved at this holder for running and waiting requests.
    tokens reserved = 0;
    /// Largest request seen lately.
    tokens largest_request = 0;
    /// Tokens spent at this holder per second.
    double tokens_per_second = 0;
    milliseconds platform_trouble{0};
    /// Failure domains with a holder, this one's included.
    std::size_t failure_domains = 1;
};

/// Baseline: the budget is split once into equal parts, which never move.
struct equal_split {
    std::size_t holders = 1;
};

/// The grant follows the demand over a horizon, bounded by a share of what remains.
struct demand_share {
    /// Time that a grant should last while the platform is well.
    milliseconds horizon{2'000};
    /// Horizon added for each unit of time that the platform has been in trouble.
    double trouble_factor = 2.0;
    /// Requests of the largest size that a grant should hold in reserve.
    double reserve_requests = 4.0;
    /// Part of what remains that all holders together may have at most.
    double largest_share = 0.9;
    /// Fraction of the prepaid amount below which the share shrinks further.
    double near_end = 0.1;
    /// Least factor on the share near the end.
    double least_factor = 0.25;
    /// Part of the prepaid amount that a holder may have whatever the share of what remains is, so
    /// that a budget near its end is not asked for at each request; at most half of what remains.
    double least_part = 0;
    /// Size that requests of a budget are taken to have before any was seen.
    tokens assumed_request = 0;
    /// Opens grants for all declared budgets, so that the first request of one can be served while
    /// the platform is down.
    bool open_early = false;
    /// Time without use after which a grant is returned.
    milliseconds idle_limit{600'000};
    /// Time over which the demand is averaged; 0 for a short fixed memory, which follows a change
    /// of the demand at once and forgets a demand that comes in few large requests.
    milliseconds demand_memory{0};
    /// A grant grows when its room for new requests is below this multiple of the target, and
    /// shrinks when it is above the other one. Between them it stays, to save writes.
    double grow_below = 0.5;
    double shrink_above = 2.0;
};

using sizing_policy = std::variant<equal_split, demand_share>;

/// @brief Parameters for thin budgets, where a grant that lies idle makes others refuse.
demand_share thin_budgets();

/// @brief Parameters for many small requests on large budgets, where long platform outages and
/// partitions are bridged by larger grants.
demand_share small_requests();

/// @brief Open part that a holder should have: what is reserved, and room for new requests. The
/// result may be less than what is reserved; a holder never gives that up.
tokens target_open(const sizing_policy& policy, const sizing_input& input);

/// @brief Time without use after which a grant is returned.
milliseconds idle_limit(const sizing_policy& policy);

/// @brief Weight of a new measurement of the demand.
/// @param elapsed length of the measurement
/// @param age time since the budget was first used
double demand_weight(const sizing_policy& policy, milliseconds elapsed, milliseconds age);

/// @brief Tells whether a grant's room for new requests is close enough to its target to stay.
bool is_near_target(const sizing_policy& policy, tokens room, tokens target);

/// @brief Tells whether grants are opened before a budget is first used.
bool opens_early(const sizing_policy& policy);

/// @brief Tells whether holders lend to each other and recall grants under this policy.
bool moves_tokens(const sizing_policy& policy);

} // namespace dotterelport::budget

#endif
