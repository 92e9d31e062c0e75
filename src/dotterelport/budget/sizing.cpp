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
    const double wanted =
        input.tokens_per_second * horizon + static_cast<double>(largest) * policy.reserve_requests;
    const auto remaining = static_cast<double>(input.remaining);
    const double near_end = static_cast<double>(input.prepaid) * policy.near_end;
    const double factor =
        near_end > 0 ? std::clamp(remaining / near_end, policy.least_factor, 1.0) : 1.0;
    // If n holders have this share of the room and their own part each, all of them together have
    // the fraction `all` of what remains.
    const double all = policy.largest_share * factor;
    const double each = all / static_cast<double>(std::max<std::size_t>(1, input.failure_domains));
    const double share = each / (1.0 - all + each);
    constexpr double half = 0.5;
    const double least = std::min(static_cast<double>(input.prepaid) * policy.least_part,
                                  std::max(0.0, remaining) * half);
    return input.reserved +
           static_cast<tokens>(std::min(wanted, std::max(remaining * share, least)));
}

} // namespace

demand_share thin_budgets()
{
    return {.horizon = milliseconds{300'000},
            .trouble_factor = 1.0,
            .reserve_requests = 4.0,
            .largest_share = 0.9,
            .near_end = 0.05,
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
            .near_end = 0.02,
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
    const double part = seconds(elapsed) / seconds(chosen->demand_memory);
    // Until the memory is full, the plain mean over the time since the first use.
    const double mean = age > milliseconds{0} ? seconds(elapsed) / seconds(age) : 1.0;
    return std::min(1.0, std::max(1.0 - std::exp(-part), mean));
}

bool is_near_target(const sizing_policy& policy, tokens room, tokens target)
{
    const auto* chosen = std::get_if<demand_share>(&policy);
    if (chosen == nullptr) {
        return room == target;
    }
    const auto wanted = static_cast<double>(target);
    const auto present = static_cast<double>(room);
    return present >= wanted * chosen->grow_below && present <= wanted * chosen->shrink_above;
}

bool opens_early(const sizing_policy& policy)
{
    const auto* chosen = std::get_if<demand_share>(&policy);
    return chosen == nullptr || chosen->open_early;
}

bool moves_tokens(const sizing_policy& policy)
{
    return std::holds_alternative<demand_share>(policy);
}

} // namespace dotterelport::budget
