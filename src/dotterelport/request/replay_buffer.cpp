#include "dotterelport/request/replay_buffer.hpp"

namespace dotterelport::request {
namespace {

/// Estimated memory that a frame and a stream use in addition to their text, on 64-bit builds.
constexpr std::size_t frame_overhead_bytes = 48;
constexpr std::size_t stream_overhead_bytes = 512;

} // namespace

void replay_buffer::open(const request_key& key)
{
    drop(key);
    add_bytes(streams_[key], stream_overhead_bytes);
    evict_finished();
}

void replay_buffer::append(const request_key& key, const std::string& line)
{
    const auto found = streams_.find(key);
    if (found == streams_.end() || found->second.is_finished) {
        return;
    }
    stream& item = found->second;
    item.frames.push_back(line + "\n");
    add_bytes(item, item.frames.back().size() + frame_overhead_bytes);
    while (item.bytes > limits_.stream_bytes && !item.frames.empty()) {
        const std::size_t size = item.frames.front().size() + frame_overhead_bytes;
        item.frames.pop_front();
        ++item.first_position;
        item.bytes -= size;
        bytes_ -= size;
    }
    evict_finished();
}

void replay_buffer::finish(const request_key& key, const std::string& line)
{
    const auto found = streams_.find(key);
    if (found == streams_.end() || found->second.is_finished) {
        return;
    }
    found->second.is_finished = true;
    found->second.last_frame = line + "\n";
    add_bytes(found->second, line.size());
    found->second.finished_entry = finished_.insert(finished_.end(), key);
    evict_finished();
}

replay_part replay_buffer::read(const request_key& key, std::uint64_t position,
                                std::size_t max_bytes) const
{
    const auto found = streams_.find(key);
    if (found == streams_.end()) {
        return {};
    }
    const stream& item = found->second;
    const std::uint64_t end = item.first_position + item.frames.size();
    if (position < item.first_position || (position > end && item.is_finished)) {
        return {};
    }
    replay_part part{replay_part::status::waiting, {}, position};
    while (part.next_position < end) {
        if (part.lines.size() >= max_bytes) {
            part.state = replay_part::status::more;
            return part;
        }
        part.lines += item.frames[part.next_position - item.first_position];
        ++part.next_position;
    }
    if (item.is_finished) {
        part.state = replay_part::status::ended;
        part.lines += item.last_frame;
    }
    return part;
}

std::uint64_t replay_buffer::end_position(const request_key& key) const
{
    const auto found = streams_.find(key);
    return found == streams_.end() ? 0 : found->second.first_position + found->second.frames.size();
}

void replay_buffer::add_bytes(stream& item, std::size_t count)
{
    item.bytes += count;
    bytes_ += count;
}

void replay_buffer::drop(const request_key& key)
{
    const auto found = streams_.find(key);
    if (found == streams_.end()) {
        return;
    }
    bytes_ -= found->second.bytes;
    if (found->second.is_finished) {
        finished_.erase(found->second.finished_entry);
    }
    streams_.erase(found);
}

void replay_buffer::evict_finished()
{
    while (bytes_ > limits_.total_bytes && !finished_.empty()) {
        drop(request_key(finished_.front()));
    }
}

} // namespace dotterelport::request
