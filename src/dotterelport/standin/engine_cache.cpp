#include "dotterelport/standin/engine_cache.hpp"

namespace dotterelport::standin {
namespace {

/// Older events are forgotten, so a reader that falls far behind sees a gap.
constexpr std::size_t max_events = 4096;

} // namespace

std::size_t engine_cache::use(const std::vector<std::string>& blocks, milliseconds now)
{
    std::size_t present = 0;
    while (present < blocks.size() && blocks_.contains(blocks[present])) {
        ++present;
    }
    // From the last block to the first, so that the start of a prefix is dropped last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto found = blocks_.find(*block);
        if (found != blocks_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        order_.push_front(*block);
        blocks_[*block] = order_.begin();
        publish(true, *block, now);
    }
    while (order_.size() > settings_.max_blocks) {
        publish(false, order_.back(), now);
        blocks_.erase(order_.back());
        order_.pop_back();
    }
    return present;
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
    order_.clear();
    blocks_.clear();
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
