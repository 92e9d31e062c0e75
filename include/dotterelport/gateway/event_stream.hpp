#ifndef DOTTERELPORT_GATEWAY_EVENT_STREAM_HPP
#define DOTTERELPORT_GATEWAY_EVENT_STREAM_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dotterelport::gateway {

/// Cuts a stream of server-sent events into whole events. When the stream is resumed at another
/// server, leaves out events that were passed on before, and what was left of a broken one.
class event_stream {
public:
    /// @param data bytes of the stream in order
    /// @return whole events to pass on, as bytes
    std::string take(std::string_view data);

    /// @brief Forgets the unfinished event before the stream goes on at another server.
    void resume() { partial_.clear(); }

    /// @brief Bytes after the last whole event.
    [[nodiscard]] std::string take_rest();

    /// @brief Events passed on so far.
    [[nodiscard]] std::uint64_t events() const { return events_; }

    /// @brief Id of the last event passed on that has one.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const { return last_id_; }

private:
    std::string partial_;
    std::uint64_t events_ = 0;
    std::optional<std::uint64_t> last_id_;
};

} // namespace dotterelport::gateway

#endif
