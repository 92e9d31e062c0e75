#include "dotterelport/routing/prefix_view.hpp"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <utility>

namespace dotterelport::routing {
namespace {

/// Time after which an expected block that no event has confirmed no longer counts as cached.
constexpr milliseconds expectation_lifetime{30'000};

/// Minimum limit of recorded blocks per server, regardless of the number of servers.
constexpr std::size_t min_blocks_per_server = 64;

} // namespace

std::optional<prefix_hash> parse_prefix_hash(std::string_view text)
{
    constexpr std::size_t digits = 16;
    constexpr int base = 16;
    prefix_hash value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    const bool valid =
        text.size() == digits && code == std::errc{} && end == text.data() + text.size();
    return valid ? std::optional(value) : std::nullopt;
}

std::vector<prefix_hash> parse_prefix_hashes(const std::vector<std::string>& texts)
{
    std::vector<prefix_hash> result;
    result.reserve(texts.size());
    for (const auto& text : texts) {
        const auto hash = parse_prefix_hash(text);
        if (!hash) {
            break;
        }
        result.push_back(*hash);
    }
    return result;
}

prefix_view::prefix_view(std::size_t total_limit) : total_limit_(total_limit) {}

const prefix_view::contents* prefix_view::find(const std::string& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

void prefix_view::store(contents& cache, prefix_hash hash, milliseconds valid_until) const
{
    const auto [block, is_new] = cache.blocks.try_emplace(hash, valid_until);
    if (!is_new) {
        block->second = std::max(block->second, valid_until);
        return;
    }
    cache.insertion_order.push_back(hash);
    const std::size_t limit =
        std::max(min_blocks_per_server, total_limit_ / std::max<std::size_t>(1, servers_.size()));
    while (cache.insertion_order.size() > limit) {
        cache.blocks.erase(cache.insertion_order.front());
        cache.insertion_order.pop_front();
    }
}

void prefix_view::replace(const std::string& server, std::uint64_t sequence,
                          std::span<const prefix_hash> hashes)
{
    contents& cache = servers_[server];
    const contents old = std::exchange(cache, contents{});
    cache.sequence = sequence;
    for (const auto& [hash, valid_until] : old.blocks) {
        if (valid_until != milliseconds::max()) {
            store(cache, hash, valid_until);
        }
    }
    for (const prefix_hash hash : hashes) {
        store(cache, hash, milliseconds::max());
    }
}

bool prefix_view::apply(const std::string& server, std::uint64_t last_sequence,
                        std::span<const cache_event> events)
{
    contents& cache = servers_[server];
    if (last_sequence < cache.sequence) {
        // The sequence restarted, so the server restarted with an empty cache.
        cache = contents{};
    }
    for (const auto& event : events) {
        if (event.sequence <= cache.sequence) {
            continue;
        }
        cache.resync_needed = cache.resync_needed || event.sequence != cache.sequence + 1;
        cache.sequence = event.sequence;
        switch (event.what) {
        case cache_event::kind::stored:
            store(cache, event.hash, milliseconds::max());
            break;
        case cache_event::kind::evicted:
            cache.blocks.erase(event.hash);
            break;
        case cache_event::kind::cleared:
            cache.blocks.clear();
            cache.insertion_order.clear();
            cache.resync_needed = false;
            break;
        }
    }
    cache.resync_needed = cache.resync_needed || cache.sequence != last_sequence;
    cache.sequence = last_sequence;
    return !cache.resync_needed;
}

std::uint64_t prefix_view::sequence(const std::string& server) const
{
    const contents* cache = find(server);
    return cache == nullptr ? 0 : cache->sequence;
}

bool prefix_view::needs_resync(const std::string& server) const
{
    const contents* cache = find(server);
    return cache != nullptr && cache->resync_needed;
}

void prefix_view::expect(const std::string& server, std::span<const prefix_hash> hashes,
                         milliseconds now)
{
    contents& cache = servers_[server];
    for (const prefix_hash hash : hashes) {
        store(cache, hash, now + expectation_lifetime);
    }
}

std::size_t prefix_view::matched(const std::string& server, std::span<const prefix_hash> hashes,
                                 milliseconds now) const
{
    const contents* cache = find(server);
    if (cache == nullptr) {
        return 0;
    }
    const auto missing = std::find_if(hashes.begin(), hashes.end(), [&](prefix_hash hash) {
        const auto found = cache->blocks.find(hash);
        return found == cache->blocks.end() || found->second < now;
    });
    return static_cast<std::size_t>(missing - hashes.begin());
}

void prefix_view::forget(const std::string& server)
{
    servers_.erase(server);
}

std::size_t prefix_view::size() const
{
    return std::accumulate(
        servers_.begin(), servers_.end(), std::size_t{0},
        [](std::size_t sum, const auto& item) { return sum + item.second.blocks.size(); });
}

} // namespace dotterelport::routing
