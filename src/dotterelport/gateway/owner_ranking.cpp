#include "dotterelport/gateway/owner_ranking.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::gateway {
namespace {

/// @brief Rank value of a gateway for a shard. The chance of the highest value among several
/// gateways is proportional to the weight.
double rank_value(const std::string& node, double weight, std::uint32_t shard)
{
    constexpr double half = 0.5;
    constexpr double range = static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 1.0;
    const double uniform = (static_cast<double>(hash64(node, shard)) + half) / range;
    return -weight / std::log(uniform);
}

} // namespace

void owner_ranking::set(const std::string& node, double weight)
{
    const auto [position, is_new] = weights_.try_emplace(node, weight);
    if (is_new || position->second != weight) {
        position->second = weight;
        rankings_.clear();
    }
}

const std::vector<std::string>& owner_ranking::ranking(std::uint32_t shard) const
{
    const auto [position, is_new] = rankings_.try_emplace(shard);
    if (!is_new) {
        return position->second;
    }
    std::vector<std::pair<double, std::string>> ranked;
    ranked.reserve(weights_.size());
    for (const auto& [node, weight] : weights_) {
        ranked.emplace_back(-rank_value(node, weight, shard), node);
    }
    std::sort(ranked.begin(), ranked.end());
    for (auto& [value, node] : ranked) {
        position->second.push_back(std::move(node));
    }
    return position->second;
}

std::string owner_ranking::owner(std::uint32_t shard, std::size_t max_considered,
                                 const std::function<bool(const std::string&)>& is_available) const
{
    const auto& ranked = ranking(shard);
    const auto end =
        ranked.begin() + static_cast<std::ptrdiff_t>(std::min(max_considered, ranked.size()));
    const auto found = std::find_if(ranked.begin(), end, is_available);
    return found == end ? std::string() : *found;
}

std::size_t owner_ranking::position(const std::string& node, std::uint32_t shard) const
{
    const auto& ranked = ranking(shard);
    return static_cast<std::size_t>(
        std::distance(ranked.begin(), std::find(ranked.begin(), ranked.end(), node)));
}

} // namespace dotterelport::gateway
