#ifndef DOTTERELPORT_BUDGET_SIZING_HPP
#define DOTTERELPORT_BUDGET_SIZING_HPP

#include <cstddef>
#include <variant>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::budget {

/// Input of a sizing policy for a budget and one of its holders.
struct sizing_input {
    tokens prepaid = 0;
    /// Tokens of the budget that can still be granted, plus the open tokens of this holder's grant.
    tokens remaining = 0;
    /// Billed or unproved under this holder's grant.
    tokens accounted = 0;
    /// Reserved at this holder for running and waiting requests.
    tokens reserved = 0;
    /// Upper bound of the largest request that this holder has seen.
    tokens largest_request = 0;
    /// Tokens spent at this holder per second.
    double tokens_per_second = 0;
    /// Time for which platform calls have been failing or slow; 0 otherwise.
    milliseconds platform_trouble{0};
    /// Failure domains with a holder, this one's included.
    std::size_t failure_domains = 1;
};

/// Baseline policy: splits the budget into equal parts, which never move between holders.
struct equal_split {
    std::size_t holders = 1;
};

/// Sizes a grant by the demand over a horizon, limited to a share of the remaining tokens.
struct demand_share {
    /// Time for which a grant should suffice while the platform is available.
    milliseconds horizon{2'000};
    /// Time added to the horizon for each unit of sizing_input::platform_trouble.
    double trouble_factor = 2.0;
    /// Number of requests of the largest size for which a grant should have tokens in reserve.
    double reserve_requests = 4.0;
    /// Maximum fraction of the remaining tokens that all holders together may have.
    double largest_share = 0.9;
    /// Fraction of the prepaid amount; the share is reduced further when fewer tokens remain.
    double near_end_fraction = 0.1;
    /// Smallest factor by which the share is reduced near the end of the budget.
    double least_factor = 0.25;
    /// Fraction of the prepaid amount that a holder may have even if its share of the remaining
    /// tokens is smaller, so that a nearly spent budget does not need a ledger round for each
    /// request. Limited to half of the remaining tokens.
    double least_prepaid_fraction = 0;
    /// Request size that is assumed until a larger request of the budget was seen.
    tokens assumed_request = 0;
    /// Opens grants for all declared budgets in advance, so that the first request of a budget can
    /// be served while the platform is down.
    bool open_early = false;
    /// Time without use after which a grant is returned.
    milliseconds idle_limit{600'000};
    /// Time over which the demand is averaged. With 0, a new measurement has a large fixed weight:
    /// the average follows a change of the demand at once, but soon drops a demand that consists of
    /// few large requests.
    milliseconds demand_memory{0};
    /// A grant grows when its tokens for new requests are below grow_below times the target, and
    /// shrinks when they are above shrink_above times the target. Between these limits it stays
    /// unchanged, to save writes.
    double grow_below = 0.5;
    double shrink_above = 2.0;
};

using sizing_policy = std::variant<equal_split, demand_share>;

/// @brief Parameters for small budgets, where an unused grant makes other holders refuse requests.
demand_share thin_budgets();

/// @brief Parameters for many small requests on large budgets, where long platform outages and
/// partitions are bridged by larger grants.
demand_share small_requests();

/// @brief Open tokens that a holder's grant should have: the reserved tokens and tokens for new
/// requests. The result may be lower than the reserved tokens, but a holder never returns those.
tokens target_open(const sizing_policy& policy, const sizing_input& input);

/// @brief Time without use after which a grant is returned.
milliseconds idle_limit(const sizing_policy& policy);

/// @brief Weight of a new measurement of the demand.
/// @param elapsed length of the measurement
/// @param age time since the budget was first used
double demand_weight(const sizing_policy& policy, milliseconds elapsed, milliseconds age);

/// @brief Returns whether a grant's tokens for new requests are close enough to their target to
/// leave the grant unchanged.
bool is_near_target(const sizing_policy& policy, tokens available, tokens target);

/// @brief Returns whether grants are opened before a budget is first used.
bool opens_early(const sizing_policy& policy);

/// @brief Returns whether holders lend tokens to each other and recall grants under this policy.
bool allows_lending(const sizing_policy& policy);

} // namespace dotterelport::budget

#endif
