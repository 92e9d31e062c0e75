#ifndef DOTTERELPORT_GATEWAY_EVENT_STREAM_HPP
#define DOTTERELPORT_GATEWAY_EVENT_STREAM_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dotterelport/net/line_splitter.hpp"

namespace dotterelport::gateway {

/// Splits a stream of server-sent events into complete events. When the stream is resumed at
/// another server, drops events that were already passed on and the incomplete last event of the
/// previous server.
class event_stream {
public:
    /// @brief Appends received bytes and returns the events that are now complete.
    /// @param data next bytes of the stream
    /// @return bytes of the complete events to pass on
    std::string append(std::string_view data);

    /// @brief Returns whether an event is longer than any server sends; the stream cannot be read
    /// any further then.
    [[nodiscard]] bool is_overlong() const { return partial_.size() > max_event_bytes; }

    /// @brief Discards the incomplete event before the stream is resumed at another server.
    void resume();

    /// @brief Returns whether another server can be told where to go on: the last event passed on
    /// has a numeric id, or there is none yet.
    [[nodiscard]] bool can_resume() const { return can_resume_; }

    /// @brief Removes and returns the bytes after the last complete event.
    [[nodiscard]] std::string take_incomplete();

    /// @brief Returns whether the received bytes end inside an event.
    [[nodiscard]] bool ends_inside_event() const { return net::ends_inside_event(partial_); }

    /// @brief Returns whether the events of the server at which the stream was resumed end before
    /// the place where the previous server broke off.
    [[nodiscard]] bool ends_before_resumption() const
    {
        return server_id_ && resumed_after_ && *server_id_ < *resumed_after_;
    }

    /// @brief Number of bytes received after the last complete event.
    [[nodiscard]] std::size_t incomplete_bytes() const { return partial_.size(); }

    /// @brief Number of events passed on so far, without those that have only comments.
    [[nodiscard]] std::uint64_t events() const { return events_; }

    /// @brief Id of the last event passed on that has a numeric id.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const { return last_id_; }

private:
    /// Bounds the memory that a server can make a request use.
    static constexpr std::size_t max_event_bytes = 256U << 10U;

    std::string partial_;
    /// Part of partial_ in which no event ends.
    std::size_t scanned_ = 0;
    std::uint64_t events_ = 0;
    std::optional<std::uint64_t> last_id_;
    /// Last id passed on when the stream was resumed.
    std::optional<std::uint64_t> resumed_after_;
    /// Last numeric id that the current server sent, also in an event that was dropped.
    std::optional<std::uint64_t> server_id_;
    bool can_resume_ = true;
};

} // namespace dotterelport::gateway

#endif
