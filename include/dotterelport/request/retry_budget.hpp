#ifndef DOTTERELPORT_REQUEST_RETRY_BUDGET_HPP
#define DOTTERELPORT_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>
#include <random>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::request {

/// Limits the retries of a service to a share of its first attempts, so that retries cannot
/// multiply the load of backend servers that are failing.
class retry_budget {
public:
    struct options {
        /// Retries allowed for each first attempt.
        double share = 0.1;
        /// Retries that can be saved up, and that are there at the start.
        double max_saved = 10.0;
        milliseconds base_delay{20};
        milliseconds max_delay{1'000};
    };

    retry_budget() : retry_budget(options{}) {}
    explicit retry_budget(const options& settings) : settings_(settings), saved_(settings.max_saved)
    {}

    void note_first_attempt();

    /// @brief Takes one retry if the budget has it.
    [[nodiscard]] bool try_retry();

    /// @brief Delay before a retry: exponential, between half and the whole of the step.
    /// @param retry 1 for the first retry
    [[nodiscard]] milliseconds delay(std::uint32_t retry, std::mt19937_64& generator) const;

private:
    options settings_;
    double saved_;
};

} // namespace dotterelport::request

#endif
