#include "dotterelport/membership/rendezvous.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::membership {
namespace {

/// Order of choice: by weight, and by name where two weights are equal.
std::pair<std::uint64_t, std::string_view> order(std::string_view name, std::string_view key)
{
    return {rendezvous_weight(name, key), name};
}

} // namespace

std::uint64_t rendezvous_weight(std::string_view name, std::string_view key)
{
    return hash64(key, hash64(name));
}

std::optional<std::size_t> rendezvous(const std::vector<std::string>& names, std::string_view key)
{
    const auto best =
        std::max_element(names.begin(), names.end(), [key](const auto& left, const auto& right) {
            return order(left, key) < order(right, key);
        });
    if (best == names.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(best - names.begin());
}

std::size_t rendezvous_rank(const std::vector<std::string>& names, std::string_view name,
                            std::string_view key)
{
    const auto own = order(name, key);
    return static_cast<std::size_t>(std::count_if(
        names.begin(), names.end(), [&](const auto& other) { return order(other, key) > own; }));
}

} // namespace dotterelport::membership
