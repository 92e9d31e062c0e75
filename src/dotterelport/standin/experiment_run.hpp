#ifndef DOTTERELPORT_STANDIN_EXPERIMENT_RUN_HPP
#define DOTTERELPORT_STANDIN_EXPERIMENT_RUN_HPP

#include <cstdint>
#include <vector>

#include "dotterelport/routing/policy.hpp"
#include "experiment_plan.hpp"

namespace dotterelport::standin::experiment {

/// Outcomes and latencies of the requests of one class in one or more runs.
struct class_result {
    std::vector<double> first_token_ms;
    std::vector<double> total_ms;
    std::uint64_t counted = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t failed = 0;
    std::uint64_t retries = 0;
    std::uint64_t blocks = 0;
    std::uint64_t cached_blocks = 0;
    std::uint64_t unfinished = 0;
};

struct run_settings {
    deployment target_deployment;
    fault injected_fault = fault::none;
    routing::policy policy;
    std::uint64_t seed = 1;
};

/// @brief Runs one emulation.
/// @return a result for each class of the deployment
std::vector<class_result> run(const run_settings& settings);

} // namespace dotterelport::standin::experiment

#endif
