#ifndef DOTTERELPORT_BUDGET_EXPERIMENT_HPP
#define DOTTERELPORT_BUDGET_EXPERIMENT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelport/base/tokens.hpp"
#include "dotterelport/budget/sizing.hpp"

namespace dotterelport::budget {

/// Workload of an experiment that compares sizing policies.
struct experiment_workload {
    std::string name;
    std::size_t failure_domains = 3;
    std::size_t budgets = 10;
    /// Prepaid tokens of the smallest and of the largest budget.
    tokens smallest_budget = 0;
    tokens largest_budget = 0;
    /// Requests in each step of 100 ms, over all failure domains and budgets.
    double requests_per_step = 1;
    tokens smallest_request = 0;
    tokens largest_request = 0;
    /// Fraction of a budget's requests that arrive in its busiest failure domain.
    double busiest_domain_share = 0.6;
    std::size_t steps = 3'000;
    /// Range of steps in which the platform does not answer; outage_to_step is excluded.
    std::size_t outage_from_step = 0;
    std::size_t outage_to_step = 0;
    /// Range of steps in which the first failure domain is cut off from the platform and from the
    /// other domains; partition_to_step is excluded.
    std::size_t partition_from_step = 0;
    std::size_t partition_to_step = 0;
};

/// Result of running a workload under a policy.
struct experiment_result {
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    /// Refused although the budget as a whole had enough tokens.
    std::uint64_t false_refusals = 0;
    std::uint64_t false_refusals_in_faults = 0;
    /// Refused because the budget as a whole had too few tokens.
    std::uint64_t correct_refusals = 0;
    /// Tokens used beyond the prepaid amounts, summed over all budgets.
    tokens overspend = 0;
    std::uint64_t platform_calls = 0;
};

/// @brief Runs a workload under a policy. The same seed gives the same requests.
experiment_result run_experiment(const experiment_workload& workload, const sizing_policy& policy,
                                 std::uint64_t seed);

} // namespace dotterelport::budget

#endif
