#include "affinity.hpp"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "dotterelport/membership/rendezvous.hpp"

namespace dotterelport::routing {
namespace {

/// Costs up to this multiple of the lowest one count as equal.
constexpr double equal_cost_ratio = 1.02;

/// Lower bound of the own load relative to capacity when estimating the number of routers.
constexpr double min_own_load = 0.01;

struct server_score {
    std::size_t index = 0;
    load_estimate estimate;
    std::size_t cached = 0;
    std::uint64_t preference_weight = 0;
};

/// Aggregates over all eligible servers, with which each server is compared.
struct fleet_state {
    double mean_load = 0;
    double mean_own_load = 0;
    double median_ms_per_unit = 0;
    double median_duration_ms = 0;
};

std::string preference_key(const affinity_policy& settings, const choice_request& request)
{
    const std::size_t block = std::min(request.prefix.size(), settings.preference_blocks) - 1;
    return std::to_string(request.prefix[block]);
}

std::vector<server_score> score_servers(const affinity_policy& settings,
                                        const choice_context& context,
                                        std::span<const std::size_t> eligible)
{
    const choice_request& request = context.request;
    const std::string key = request.prefix.empty() ? "" : preference_key(settings, request);
    std::vector<server_score> result;
    result.reserve(eligible.size());
    for (const std::size_t index : eligible) {
        const std::string& name = context.servers[index];
        result.push_back(
            {.index = index,
             .estimate = context.loads.estimate(name, context.now),
             .cached = context.prefixes.matched(name, request.prefix, context.now),
             .preference_weight = key.empty() ? 0 : membership::rendezvous_weight(name, key)});
    }
    return result;
}

/// Lower median of the known values of a field, so that of two servers the slower one is compared
/// with the faster one.
double known_median(std::span<const server_score> scores, double load_estimate::*field)
{
    std::vector<double> values;
    for (const auto& score : scores) {
        if (score.estimate.*field > 0) {
            values.push_back(score.estimate.*field);
        }
    }
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

fleet_state summarize(std::span<const server_score> scores)
{
    fleet_state result;
    for (const auto& score : scores) {
        result.mean_load += score.estimate.load / score.estimate.capacity;
        result.mean_own_load += score.estimate.own / score.estimate.capacity;
    }
    result.mean_load /= static_cast<double>(scores.size());
    result.mean_own_load /= static_cast<double>(scores.size());
    result.median_ms_per_unit = known_median(scores, &load_estimate::ms_per_unit);
    result.median_duration_ms = known_median(scores, &load_estimate::duration_ms);
    return result;
}

/// Moves the candidates to the front.
/// @return their number
std::size_t select_candidates(const affinity_policy& settings, std::vector<server_score>& scores,
                              bool has_prefix, random_generator& random)
{
    std::size_t selected = 0;
    const auto select_best = [&](std::size_t wanted, auto better) {
        for (std::size_t i = 0; i < wanted && selected < scores.size(); ++i) {
            const auto begin = scores.begin() + static_cast<std::ptrdiff_t>(selected);
            std::iter_swap(begin, std::max_element(begin, scores.end(), better));
            ++selected;
        }
    };
    if (has_prefix) {
        select_best(settings.preferred_candidates, [](const auto& left, const auto& right) {
            return std::pair(left.cached, left.preference_weight) <
                   std::pair(right.cached, right.preference_weight);
        });
        select_best(settings.preferred_candidates, [](const auto& left, const auto& right) {
            return left.preference_weight < right.preference_weight;
        });
    }
    for (std::size_t i = 0; i < settings.random_candidates && selected < scores.size(); ++i) {
        std::uniform_int_distribution<std::size_t> index(selected, scores.size() - 1);
        std::swap(scores[selected], scores[index(random)]);
        ++selected;
    }
    return selected;
}

/// Expected milliseconds until the request is answered, without terms that are equal for all
/// servers.
double expected_cost(const affinity_policy& settings, const choice_context& context,
                     const fleet_state& fleet, const server_score& score)
{
    const load_estimate& server_load = score.estimate;
    // The older the report, the more the load of other routers is replaced by its mean over the
    // fleet. Where the report is trusted, other routers see it as well and react in the same way,
    // so this router's own change is multiplied by the estimated number of routers.
    const double others_mean_load =
        std::max(0.0, fleet.mean_load - fleet.mean_own_load) * server_load.capacity;
    const double router_count =
        std::max(1.0, fleet.mean_load / std::max(min_own_load, fleet.mean_own_load));
    const double reported =
        std::max(server_load.own, server_load.reported + router_count * server_load.own_change);
    const double load = server_load.trust * reported +
                        (1 - server_load.trust) * (others_mean_load + server_load.own) + 1;

    const double ms_per_unit_ratio = fleet.median_ms_per_unit > 0 && server_load.ms_per_unit > 0
                                         ? server_load.ms_per_unit / fleet.median_ms_per_unit
                                         : 1.0;
    const double slowness = ms_per_unit_ratio > settings.slow_ratio ? ms_per_unit_ratio : 1.0;
    const double duration_ms = fleet.median_duration_ms;
    const double waiting_ms =
        std::max(0.0, load - server_load.capacity) / server_load.capacity * duration_ms;
    const double batch_ms =
        std::min(1.0, load / server_load.capacity) * settings.batch_weight * duration_ms;

    const auto& request = context.request;
    const double cached_part =
        request.prefix.empty()
            ? 0.0
            : static_cast<double>(score.cached) / static_cast<double>(request.prefix.size());
    const double uncached = static_cast<double>(request.prompt_tokens) * (1 - cached_part);
    const double prefill_ms =
        (uncached + settings.prefill_weight * server_load.pending_prefill_tokens) *
        settings.prefill_ms_per_token;
    return std::max((waiting_ms + batch_ms + prefill_ms + duration_ms * (slowness - 1)) * slowness,
                    static_cast<double>(server_load.unresponsive.count()));
}

} // namespace

std::size_t choose_by_affinity(const affinity_policy& settings, const choice_context& context,
                               std::span<const std::size_t> eligible, random_generator& random)
{
    auto scores = score_servers(settings, context, eligible);
    const fleet_state fleet = summarize(scores);
    const std::size_t candidates =
        select_candidates(settings, scores, !context.request.prefix.empty(), random);
    std::vector<std::pair<double, const server_score*>> costs;
    costs.reserve(candidates);
    double lowest_cost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates; ++i) {
        costs.emplace_back(expected_cost(settings, context, fleet, scores[i]), &scores[i]);
        lowest_cost = std::min(lowest_cost, costs.back().first);
    }
    // Ties go to the least recently used server, which spreads requests more evenly than a random
    // choice.
    const server_score* chosen = nullptr;
    for (const auto& [cost, score] : costs) {
        const bool is_equal = cost <= lowest_cost * equal_cost_ratio;
        if (is_equal &&
            (chosen == nullptr || score->estimate.last_sent < chosen->estimate.last_sent)) {
            chosen = score;
        }
    }
    return chosen->index;
}

} // namespace dotterelport::routing
