#ifndef DOTTERELPORT_REQUEST_RETRY_BUDGET_HPP
#define DOTTERELPORT_REQUEST_RETRY_BUDGET_HPP

#include <cstdint>
#include <random>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::request {

/// Limits the retries of a service to a share of its first attempts, so that retries cannot
/// multiply the load on failing backend servers.
class retry_budget {
public:
    struct options {
        /// Retries allowed for each first attempt.
        double share = 0.1;
        /// Maximum number of unused retries that are kept, and the number available at the start.
        double max_available = 10.0;
        milliseconds base_delay{20};
        milliseconds max_delay{1'000};
    };

    retry_budget() : retry_budget(options{}) {}
    explicit retry_budget(const options& settings)
        : settings_(settings), available_retries_(settings.max_available)
    {}

    /// @brief Changes the limits. A higher maximum adds the difference to the available retries, so
    /// that the order of both does not matter.
    void set_options(const options& settings);

    /// @brief Counts a first attempt, which adds the share to the available retries.
    void record_first_attempt();

    /// @brief Consumes one retry and returns true, or returns false if none is available.
    [[nodiscard]] bool try_retry();

    /// @brief Returns whether try_retry() would succeed now.
    [[nodiscard]] bool can_retry() const { return available_retries_ >= 1.0; }

    /// @brief Random delay before a retry, between half and all of an exponential backoff step.
    /// @param retry 1 for the first retry
    [[nodiscard]] milliseconds delay(std::uint32_t retry, std::mt19937_64& generator) const;

private:
    options settings_;
    double available_retries_;
};

} // namespace dotterelport::request

#endif
