#include "dotterelport/agent/frame_reader.hpp"

#include <utility>
#include <vector>

namespace dotterelport::agent {
namespace {

/// A reader that is slower than the run waits with this much unsent, so that its memory is bounded.
constexpr std::size_t max_buffered_bytes = 256U << 10U;
constexpr std::size_t part_bytes = 64U << 10U;

} // namespace

void write_frame(net::http_response& response, const request::frame& value)
{
    response.write(format_frame(value) + "\n");
}

void frame_readers::add(const request_key& key, std::uint64_t position,
                        const std::shared_ptr<net::http_response>& response,
                        const request::error_frame& when_gone)
{
    reader item{response, position, when_gone};
    if (advance_one(key, item)) {
        readers_[key].push_back(std::move(item));
    }
}

void frame_readers::advance(const request_key& key)
{
    const auto found = readers_.find(key);
    if (found == readers_.end()) {
        return;
    }
    std::erase_if(found->second, [&](reader& item) { return !advance_one(key, item); });
    if (found->second.empty()) {
        readers_.erase(found);
    }
}

void frame_readers::advance_all()
{
    std::vector<request_key> keys;
    keys.reserve(readers_.size());
    for (const auto& [key, list] : readers_) {
        keys.push_back(key);
    }
    for (const request_key& key : keys) {
        advance(key);
    }
}

std::size_t frame_readers::size() const
{
    std::size_t count = 0;
    for (const auto& [key, list] : readers_) {
        count += list.size();
    }
    return count;
}

bool frame_readers::advance_one(const request_key& key, reader& item) const
{
    using status = request::replay_part::status;
    while (item.response->is_open() && item.response->buffered() < max_buffered_bytes) {
        const auto part = replay_.read(key, item.position, part_bytes);
        item.position = part.next;
        if (part.state == status::gone) {
            write_frame(*item.response, item.when_gone);
            item.response->finish();
            return false;
        }
        if (!part.lines.empty()) {
            item.response->write(part.lines);
        }
        if (part.state == status::ended) {
            item.response->finish();
            return false;
        }
        if (part.state == status::waiting) {
            return true;
        }
    }
    return item.response->is_open();
}

} // namespace dotterelport::agent
