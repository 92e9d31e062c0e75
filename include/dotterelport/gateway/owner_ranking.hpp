#ifndef DOTTERELPORT_GATEWAY_OWNER_RANKING_HPP
#define DOTTERELPORT_GATEWAY_OWNER_RANKING_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dotterelport::gateway {

/// Ranks the gateways of a fleet as owners of ledger shards by weighted rendezvous hashing.
/// Gateways that know the same fleet agree on the ranking, and a gateway that joins or leaves
/// changes only the shards that it owns.
class owner_ranking {
public:
    /// @brief Adds a gateway or changes its weight.
    /// @param weight share of the shards relative to other gateways; must be positive
    void set(const std::string& node, double weight);

    /// @param max_considered number of gateways that are considered, the highest ranked first
    /// @return the highest ranked gateway that is available; empty if none of them is
    [[nodiscard]] std::string
    owner(std::uint32_t shard, std::size_t max_considered,
          const std::function<bool(const std::string&)>& is_available) const;

    /// @return place of a gateway in the ranking of a shard, 0 for the first
    [[nodiscard]] std::size_t position(const std::string& node, std::uint32_t shard) const;

private:
    [[nodiscard]] const std::vector<std::string>& ranking(std::uint32_t shard) const;

    std::map<std::string, double> weights_;
    /// Rankings that were computed since the last change.
    mutable std::map<std::uint32_t, std::vector<std::string>> rankings_;
};

} // namespace dotterelport::gateway

#endif
