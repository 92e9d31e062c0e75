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

/// Writes one frame to an answer.
void write_frame(net::http_response& response, const request::frame& value);

/// Connections of routers that read the frames of requests from the replay buffer.
class frame_readers {
public:
    explicit frame_readers(const request::replay_buffer& replay) : replay_(replay) {}

    /// @brief Adds a reader that starts at a position, and writes what is there.
    /// @param when_gone frame that ends the answer if the position is not kept any more
    void add(const request_key& key, std::uint64_t position,
             const std::shared_ptr<net::http_response>& response,
             const request::error_frame& when_gone);

    /// @brief Writes new frames of a request to its readers.
    void advance(const request_key& key);

    /// @brief Goes on with readers that were slow, and forgets those that went away.
    void advance_all();

    [[nodiscard]] std::size_t size() const;

private:
    struct reader {
        std::shared_ptr<net::http_response> response;
        std::uint64_t position = 0;
        request::error_frame when_gone;
    };

    [[nodiscard]] bool advance_one(const request_key& key, reader& item) const;

    const request::replay_buffer& replay_;
    std::unordered_map<request_key, std::list<reader>> readers_;
};

} // namespace dotterelport::agent

#endif
