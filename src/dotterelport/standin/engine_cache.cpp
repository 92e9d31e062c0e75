#include "dotterelport/standin/engine_cache.hpp"

namespace dotterelport::standin {
namespace {

/// Older events are discarded, so a reader that is further behind sees a gap.
constexpr std::size_t max_events = 4096;

} // namespace

std::size_t engine_cache::use(const std::vector<std::string>& blocks, milliseconds now)
{
    std::size_t cached_count = 0;
    while (cached_count < blocks.size() && block_positions_.contains(blocks[cached_count])) {
        ++cached_count;
    }
    // From the last block to the first, so that the start of a prefix is evicted last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto found = block_positions_.find(*block);
        if (found != block_positions_.end()) {
            lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_, found->second);
            continue;
        }
        lru_blocks_.push_front(*block);
        block_positions_[*block] = lru_blocks_.begin();
        publish(true, *block, now);
    }
    while (lru_blocks_.size() > settings_.max_blocks) {
        publish(false, lru_blocks_.back(), now);
        block_positions_.erase(lru_blocks_.back());
        lru_blocks_.pop_back();
    }
    return cached_count;
}

json engine_cache::events(std::uint64_t since, milliseconds now) const
{
    json list = json::array();
    std::uint64_t newest = since;
    for (const event& item : events_) {
        if (item.visible_at > now) {
            break;
        }
        if (item.sequence > since) {
            newest = item.sequence;
            list.push_back({{"sequence", item.sequence},
                            {"type", item.stored ? "stored" : "removed"},
                            {"prefix", item.block}});
        }
    }
    return {{"sequence", newest}, {"events", std::move(list)}};
}

void engine_cache::clear()
{
    lru_blocks_.clear();
    block_positions_.clear();
}

void engine_cache::publish(bool stored, const std::string& block, milliseconds now)
{
    ++last_sequence_;
    if (settings_.event_gap != 0 && last_sequence_ % settings_.event_gap == 0) {
        return;
    }
    events_.push_back({last_sequence_, stored, block, now + settings_.event_delay});
    if (events_.size() > max_events) {
        events_.pop_front();
    }
}

} // namespace dotterelport::standin
