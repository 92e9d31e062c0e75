#include "dotterelport/agent/frame_reader.hpp"

#include <utility>
#include <vector>

namespace dotterelport::agent {
namespace {

/// No more frames are written to a reader with this much unsent data, which bounds the memory that
/// a slow reader uses.
constexpr std::size_t max_buffered_bytes = 256U << 10U;
/// Size after which a read from the replay buffer is cut.
constexpr std::size_t max_part_bytes = 64U << 10U;

} // namespace

void write_frame(net::http_response& response, const request::frame& value)
{
    response.write(format_frame(value) + "\n");
}

void frame_readers::add(const request_key& key, std::uint64_t position,
                        const std::shared_ptr<net::http_response>& response,
                        const request::error_frame& gone_frame)
{
    reader receiver{response, position, gone_frame};
    if (advance_one(key, receiver)) {
        readers_[key].push_back(std::move(receiver));
    }
}

void frame_readers::advance(const request_key& key)
{
    const auto found = readers_.find(key);
    if (found == readers_.end()) {
        return;
    }
    std::erase_if(found->second, [&](reader& receiver) { return !advance_one(key, receiver); });
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

bool frame_readers::advance_one(const request_key& key, reader& receiver) const
{
    using status = request::replay_part::status;
    while (receiver.response->is_open() && receiver.response->buffered() < max_buffered_bytes) {
        const auto part = replay_.read(key, receiver.position, max_part_bytes);
        receiver.position = part.next_position;
        if (part.state == status::gone) {
            write_frame(*receiver.response, receiver.gone_frame);
            receiver.response->finish();
            return false;
        }
        if (!part.lines.empty()) {
            receiver.response->write(part.lines);
        }
        if (part.state == status::ended) {
            receiver.response->finish();
            return false;
        }
        if (part.state == status::waiting) {
            return true;
        }
    }
    return receiver.response->is_open();
}

} // namespace dotterelport::agent
