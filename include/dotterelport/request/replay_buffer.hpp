#ifndef DOTTERELPORT_REQUEST_REPLAY_BUFFER_HPP
#define DOTTERELPORT_REQUEST_REPLAY_BUFFER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

#include "dotterelport/base/identifiers.hpp"

namespace dotterelport::request {

/// Frames that a reader receives from its position in a stream.
struct replay_part {
    enum class status {
        /// The stream, or the requested position in it, is no longer kept.
        gone,
        /// The lines end with the newest frame of a running stream.
        waiting,
        /// The lines end at the requested size, and more frames follow.
        more,
        /// The lines end with the last frame of the stream.
        ended,
    };

    status state = status::gone;
    /// Formatted frames, each with its line end.
    std::string lines;
    /// Position to read from next.
    std::uint64_t next_position = 0;
};

/// Keeps the frames of requests so that readers can join at any position. The memory is bounded: a
/// stream above its limit drops its first frames, and the oldest finished streams are evicted while
/// the total is above the limit.
class replay_buffer {
public:
    struct limits {
        std::size_t stream_bytes = std::size_t{4} << 20U;
        std::size_t total_bytes = std::size_t{32} << 20U;
    };

    replay_buffer() : replay_buffer(limits{}) {}
    explicit replay_buffer(const limits& bounds) : limits_(bounds) {}

    /// @brief Starts a stream; replaces the finished stream of an earlier attempt.
    void open(const request_key& key);

    /// @brief Appends the next chunk frame.
    /// @param line formatted frame without line end
    void append(const request_key& key, const std::string& line);

    /// @brief Ends a stream with its last frame, which has no position of its own.
    void finish(const request_key& key, const std::string& line);

    /// @brief Reads from a position.
    /// @param max_bytes size of the lines at which reading stops; the last frame may exceed it
    [[nodiscard]] replay_part read(const request_key& key, std::uint64_t position,
                                   std::size_t max_bytes) const;

    /// @brief Position of the next chunk of a stream, 0 if the stream is not kept.
    [[nodiscard]] std::uint64_t end_position(const request_key& key) const;

    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] std::size_t streams() const { return streams_.size(); }
    /// @brief Returns whether the running streams alone use up the memory limit.
    [[nodiscard]] bool is_full() const { return bytes_ >= limits_.total_bytes; }

private:
    struct stream {
        std::deque<std::string> frames;
        std::uint64_t first_position = 0;
        std::size_t bytes = 0;
        bool is_finished = false;
        std::string last_frame;
        /// Entry of the stream in finished_; valid only if the stream is finished.
        std::list<request_key>::iterator finished_entry;
    };

    void add_bytes(stream& item, std::size_t count);
    void drop(const request_key& key);
    void evict_finished();

    limits limits_;
    std::unordered_map<request_key, stream> streams_;
    /// Finished streams, the oldest first.
    std::list<request_key> finished_;
    std::size_t bytes_ = 0;
};

} // namespace dotterelport::request

#endif
