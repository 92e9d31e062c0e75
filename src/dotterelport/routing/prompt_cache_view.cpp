#include "dotterelport/routing/prompt_cache_view.hpp"

#include <numeric>
#include <vector>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::routing {
namespace {

/// Extends the hash of the preceding parts by a part.
std::uint64_t extend_chain_hash(std::uint64_t preceding_hash, const prompt_part& part)
{
    const std::string_view bytes(reinterpret_cast<const char*>(&part.id), sizeof(part.id));
    return hash64(bytes, preceding_hash);
}

} // namespace

std::uint64_t chain_hash(std::span<const prompt_part> parts)
{
    return std::accumulate(parts.begin(), parts.end(), std::uint64_t{0}, extend_chain_hash);
}

tokens prompt_cache_view::cached(const std::string& server,
                                 std::span<const prompt_part> parts) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return 0;
    }
    tokens total = 0;
    std::uint64_t chain = 0;
    for (const auto& part : parts) {
        chain = extend_chain_hash(chain, part);
        if (!found->second.parts.contains(chain)) {
            break;
        }
        total += part.size;
    }
    return total;
}

void prompt_cache_view::record(const std::string& server, std::span<const prompt_part> parts,
                               tokens capacity)
{
    contents& cache = servers_[server];
    std::vector<entry> chains;
    chains.reserve(parts.size());
    std::uint64_t chain = 0;
    for (const auto& part : parts) {
        chain = extend_chain_hash(chain, part);
        chains.push_back({.chain = chain, .size = part.size});
    }
    // Later parts are evicted first, because they are useless without the earlier ones.
    for (auto part = chains.rbegin(); part != chains.rend(); ++part) {
        const auto cached_part = cache.parts.find(part->chain);
        if (cached_part != cache.parts.end()) {
            cache.by_last_use.splice(cache.by_last_use.begin(), cache.by_last_use,
                                     cached_part->second);
            continue;
        }
        cache.by_last_use.push_front(*part);
        cache.parts.emplace(part->chain, cache.by_last_use.begin());
        cache.total += part->size;
    }
    while (cache.total > capacity && cache.by_last_use.size() > chains.size()) {
        const entry& least_recent = cache.by_last_use.back();
        cache.total -= least_recent.size;
        cache.parts.erase(least_recent.chain);
        cache.by_last_use.pop_back();
    }
}

void prompt_cache_view::forget(const std::string& server)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        servers_.erase(found);
    }
}

std::size_t prompt_cache_view::size() const
{
    return std::accumulate(
        servers_.begin(), servers_.end(), std::size_t{0},
        [](std::size_t sum, const auto& item) { return sum + item.second.parts.size(); });
}

} // namespace dotterelport::routing
