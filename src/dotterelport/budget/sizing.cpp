#include "dotterelport/budget/sizing.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dotterelport::budget {
namespace {

using seconds = std::chrono::duration<double>;

tokens target(const equal_split& policy, const sizing_input& input)
{
    const auto holders = static_cast<tokens>(std::max<std::size_t>(1, policy.holders));
    return input.prepaid / holders - input.accounted;
}

tokens target(const demand_share& policy, const sizing_input& input)
{
    const double horizon = seconds(policy.horizon).count() +
                           seconds(input.platform_trouble).count() * policy.trouble_factor;
    const tokens largest = std::max(input.largest_request, policy.assumed_request);
    const double wanted_tokens =
        input.tokens_per_second * horizon + static_cast<double>(largest) * policy.reserve_requests;
    const auto remaining = static_cast<double>(input.remaining);
    const double near_end_tokens = static_cast<double>(input.prepaid) * policy.near_end_fraction;
    const double factor = near_end_tokens > 0
                              ? std::clamp(remaining / near_end_tokens, policy.least_factor, 1.0)
                              : 1.0;
    // If each of n holders has this share of its own open tokens and the tokens that can still be
    // granted, all of them together have total_fraction of the tokens that are not spent.
    const double total_fraction = policy.largest_share * factor;
    const double fraction_per_holder =
        total_fraction / static_cast<double>(std::max<std::size_t>(1, input.failure_domains));
    const double share = fraction_per_holder / (1.0 - total_fraction + fraction_per_holder);
    constexpr double half = 0.5;
    const double least =
        std::min(static_cast<double>(input.prepaid) * policy.least_prepaid_fraction,
                 std::max(0.0, remaining) * half);
    return input.reserved +
           static_cast<tokens>(std::min(wanted_tokens, std::max(remaining * share, least)));
}

} // namespace

demand_share thin_budgets()
{
    return {.horizon = milliseconds{300'000},
            .trouble_factor = 1.0,
            .reserve_requests = 4.0,
            .largest_share = 0.9,
            .near_end_fraction = 0.05,
            .least_factor = 0.5,
            .assumed_request = 0,
            .open_early = false,
            .idle_limit = milliseconds{120'000}};
}

demand_share small_requests()
{
    return {.horizon = milliseconds{600'000},
            .trouble_factor = 3.0,
            .reserve_requests = 16.0,
            .largest_share = 0.98,
            .near_end_fraction = 0.02,
            .least_factor = 0.5,
            .assumed_request = 1'000,
            .open_early = true,
            .idle_limit = milliseconds{3'600'000}};
}

tokens target_open(const sizing_policy& policy, const sizing_input& input)
{
    return std::visit([&](const auto& chosen) { return target(chosen, input); }, policy);
}

milliseconds idle_limit(const sizing_policy& policy)
{
    const auto* chosen = std::get_if<demand_share>(&policy);
    return chosen == nullptr ? milliseconds::max() : chosen->idle_limit;
}

double demand_weight(const sizing_policy& policy, milliseconds elapsed, milliseconds age)
{
    constexpr double short_memory_weight = 0.4;
    const auto* chosen = std::get_if<demand_share>(&policy);
    if (chosen == nullptr || chosen->demand_memory <= milliseconds{0}) {
        return short_memory_weight;
    }
    const double memory_fraction = seconds(elapsed) / seconds(chosen->demand_memory);
    // Until the budget has been in use for demand_memory, the weight gives the plain mean since the
    // first use.
    const double mean = age > milliseconds{0} ? seconds(elapsed) / seconds(age) : 1.0;
    return std::min(1.0, std::max(1.0 - std::exp(-memory_fraction), mean));
}

bool is_near_target(const sizing_policy& policy, tokens available, tokens target)
{
    const auto* chosen = std::get_if<demand_share>(&policy);
    if (chosen == nullptr) {
        return available == target;
    }
    const auto wanted_tokens = static_cast<double>(target);
    const auto available_tokens = static_cast<double>(available);
    return available_tokens >= wanted_tokens * chosen->grow_below &&
           available_tokens <= wanted_tokens * chosen->shrink_above;
}

bool opens_early(const sizing_policy& policy)
{
    const auto* chosen = std::get_if<demand_share>(&policy);
    return chosen == nullptr || chosen->open_early;
}

bool allows_lending(const sizing_policy& policy)
{
    return std::holds_alternative<demand_share>(policy);
}

} // namespace dotterelport::budget
