#include "dotterelport/request/retry_budget.hpp"

#include <algorithm>

namespace dotterelport::request {

void retry_budget::set_options(const options& settings)
{
    const double added = std::max(0.0, settings.max_available - settings_.max_available);
    available_retries_ = std::min(available_retries_ + added, settings.max_available);
    settings_ = settings;
}

void retry_budget::record_first_attempt()
{
    available_retries_ = std::min(available_retries_ + settings_.share, settings_.max_available);
}

bool retry_budget::try_retry()
{
    if (!can_retry()) {
        return false;
    }
    available_retries_ -= 1.0;
    return true;
}

milliseconds retry_budget::delay(std::uint32_t retry, std::mt19937_64& generator) const
{
    // Enough doublings to reach the default max_delay from any base_delay of at least 1 ms.
    constexpr std::uint32_t max_doublings = 16;
    const std::uint32_t doublings = std::min(std::max(retry, 1U) - 1, max_doublings);
    const auto step = std::min<std::int64_t>(settings_.base_delay.count() << doublings,
                                             settings_.max_delay.count());
    return milliseconds{std::uniform_int_distribution<std::int64_t>(step / 2, step)(generator)};
}

} // namespace dotterelport::request
