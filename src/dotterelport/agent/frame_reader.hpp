#ifndef DOTTERELPORT_AGENT_FRAME_READER_HPP
#define DOTTERELPORT_AGENT_FRAME_READER_HPP

#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>

#include "dotterelport/net/http_server.hpp"
#include "dotterelport/request/messages.hpp"
#include "dotterelport/request/replay_buffer.hpp"

namespace dotterelport::agent {

/// @brief Writes one frame to an answer.
void write_frame(net::http_response& response, const request::frame& value);

/// Sends the frames of requests from the replay buffer to connected routers.
class frame_readers {
public:
    explicit frame_readers(const request::replay_buffer& replay) : replay_(replay) {}

    /// @brief Adds a reader that starts at a position, and writes the frames available from there.
    /// @param gone_frame ends the answer if the frames at the position are not kept any more
    void add(const request_key& key, std::uint64_t position,
             const std::shared_ptr<net::http_response>& response,
             const request::error_frame& gone_frame);

    /// @brief Writes new frames of a request to its readers.
    void advance(const request_key& key);

    /// @brief Writes more frames to readers that were slow, and removes those that disconnected.
    void advance_all();

    [[nodiscard]] std::size_t size() const;

private:
    struct reader {
        std::shared_ptr<net::http_response> response;
        std::uint64_t position = 0;
        request::error_frame gone_frame;
    };

    /// @brief Writes the available frames to one reader.
    /// @return whether the reader is still connected and waits for more
    [[nodiscard]] bool advance_one(const request_key& key, reader& receiver) const;

    const request::replay_buffer& replay_;
    std::unordered_map<request_key, std::list<reader>> readers_;
};

} // namespace dotterelport::agent

#endif
