#include "affinity.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

#include "dotterelport/membership/rendezvous.hpp"

namespace dotterelport::routing {
namespace {

struct server_score {
    std::size_t index = 0;
    load_estimate estimate;
    std::size_t cached = 0;
    std::uint64_t home_weight = 0;
};

/// Values over all eligible servers that a single server is compared with.
struct fleet_state {
    double mean_load = 0;
    double median_pace = 0;
};

std::string home_key(const affinity_policy& settings, const choice_request& request)
{
    const std::size_t block = std::min(request.prefix.size(), settings.home_blocks) - 1;
    return std::to_string(request.prefix[block]);
}

std::vector<server_score> score_servers(const affinity_policy& settings,
                                        const choice_context& context,
                                        std::span<const std::size_t> eligible)
{
    const choice_request& request = context.request;
    const std::string key = request.prefix.empty() ? "" : home_key(settings, request);
    std::vector<server_score> result;
    result.reserve(eligible.size());
    for (const std::size_t index : eligible) {
        const std::string& name = context.servers[index];
        result.push_back(
            {.index = index,
             .estimate = context.loads.estimate(name, context.now),
             .cached = context.prefixes.matched(name, request.prefix, context.now),
             .home_weight = key.empty() ? 0 : membership::rendezvous_weight(name, key)});
    }
    return result;
}

fleet_state summarize(std::span<const server_score> scores)
{
    fleet_state result;
    std::vector<double> paces;
    for (const auto& score : scores) {
        result.mean_load += score.estimate.load / score.estimate.capacity;
        if (score.estimate.pace > 0) {
            paces.push_back(score.estimate.pace);
        }
    }
    result.mean_load /= static_cast<double>(scores.size());
    if (!paces.empty()) {
        // The lower median: with two servers, the slow one is compared with the other.
        const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
        std::nth_element(paces.begin(), middle, paces.end());
        result.median_pace = *middle;
    }
    return result;
}

/// Moves the servers that are worth comparing to the front.
/// @return their number
std::size_t select_candidates(const affinity_policy& settings, std::vector<server_score>& scores,
                              bool has_prefix, random_generator& random)
{
    std::size_t selected = 0;
    const auto move_best = [&](std::size_t wanted, auto better) {
        for (std::size_t i = 0; i < wanted && selected < scores.size(); ++i) {
            const auto begin = scores.begin() + static_cast<std::ptrdiff_t>(selected);
            std::iter_swap(begin, std::max_element(begin, scores.end(), better));
            ++selected;
        }
    };
    if (has_prefix) {
        move_best(settings.home_candidates, [](const auto& left, const auto& right) {
            return std::pair(left.cached, left.home_weight) <
                   std::pair(right.cached, right.home_weight);
        });
        move_best(settings.home_candidates, [](const auto& left, const auto& right) {
            return left.home_weight < right.home_weight;
        });
    }
    for (std::size_t i = 0; i < settings.random_candidates && selected < scores.size(); ++i) {
        std::uniform_int_distribution<std::size_t> index(selected, scores.size() - 1);
        std::swap(scores[selected], scores[index(random)]);
        ++selected;
    }
    return selected;
}

/// Expected milliseconds until the request is answered, up to what is equal for all servers.
double expected_cost(const affinity_policy& settings, const choice_context& context,
                     const fleet_state& fleet, const server_score& score)
{
    const load_estimate& value = score.estimate;
    // An old report says less, so its load is drawn towards the mean.
    const double trust = value.report_age
                             ? std::exp(-static_cast<double>(value.report_age->count()) /
                                        static_cast<double>(settings.report_decay.count()))
                             : 0.0;
    const double believed = trust * value.load / value.capacity + (1 - trust) * fleet.mean_load;
    const double load = std::max(believed * value.capacity, value.own) + 1;

    const double ratio =
        fleet.median_pace > 0 && value.pace > 0 ? value.pace / fleet.median_pace : 1.0;
    const double slowness = ratio > settings.slow_ratio ? ratio : 1.0;
    const double duration = context.loads.mean_duration();
    const double waiting = std::max(0.0, load - value.capacity) / value.capacity * duration;
    const double batch = std::min(1.0, load / value.capacity) * settings.batch_weight * duration;

    const auto& request = context.request;
    const double cached_part =
        request.prefix.empty()
            ? 0.0
            : static_cast<double>(score.cached) / static_cast<double>(request.prefix.size());
    const double prefill = static_cast<double>(request.prompt_tokens) * (1 - cached_part) *
                           settings.prefill_ms_per_token;
    return std::max((waiting + batch + prefill + duration * (slowness - 1)) * slowness,
                    static_cast<double>(value.oldest_unanswered.count()));
}

} // namespace

std::size_t choose_by_affinity(const affinity_policy& settings, const choice_context& context,
                               std::span<const std::size_t> eligible, random_generator& random)
{
    auto scores = score_servers(settings, context, eligible);
    const fleet_state fleet = summarize(scores);
    const std::size_t candidates =
        select_candidates(settings, scores, !context.request.prefix.empty(), random);
    double least = std::numeric_limits<double>::infinity();
    std::size_t chosen = scores.front().index;
    for (std::size_t i = 0; i < candidates; ++i) {
        const double cost = expected_cost(settings, context, fleet, scores[i]);
        if (cost < least) {
            least = cost;
            chosen = scores[i].index;
        }
    }
    return chosen;
}

} // namespace dotterelport::routing
