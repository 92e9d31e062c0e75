#ifndef DOTTERELPORT_NET_LINE_SPLITTER_HPP
#define DOTTERELPORT_NET_LINE_SPLITTER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "dotterelport/net/http1.hpp"

namespace dotterelport::net {

/// Splits a stream of bytes into lines, for newline-delimited JSON and server-sent events.
class line_splitter {
public:
    /// @param on_line receives each line without its line end
    /// @param max_line_bytes limit of a line
    explicit line_splitter(std::function<void(std::string_view)> on_line,
                           std::size_t max_line_bytes = std::size_t{8} << 20U);

    /// @brief Processes the next bytes of the stream. After a line that is too long, all further
    /// bytes are ignored.
    void feed(std::string_view data);

    /// @brief Returns whether a line was too long.
    [[nodiscard]] bool is_overlong() const { return overlong_; }

    /// @brief Number of bytes of the incomplete last line.
    [[nodiscard]] std::size_t incomplete_bytes() const { return incomplete_line_.size(); }

private:
    std::function<void(std::string_view)> on_line_;
    std::size_t max_line_bytes_;
    std::string incomplete_line_;
    bool overlong_ = false;
};

/// Extracts the data of server-sent events.
class sse_parser {
public:
    /// @param on_event receives the data of each event, lines joined by a newline
    /// @param max_event_bytes limit of the data of an event
    explicit sse_parser(std::function<void(std::string_view)> on_event,
                        std::size_t max_event_bytes = std::size_t{1} << 20U);

    /// @brief Processes the next bytes of the stream. After an event that is too long, all further
    /// bytes are ignored.
    void feed(std::string_view data) { splitter_.feed(data); }

    /// @brief Returns whether an event was too long.
    [[nodiscard]] bool is_overlong() const { return overlong_ || splitter_.is_overlong(); }

    /// @brief Number of bytes of the incomplete last event.
    [[nodiscard]] std::size_t incomplete_bytes() const
    {
        return data_.size() + splitter_.incomplete_bytes();
    }

private:
    void handle_line(std::string_view line);

    std::function<void(std::string_view)> on_event_;
    std::size_t max_event_bytes_;
    std::string data_;
    bool has_data_ = false;
    bool overlong_ = false;
    line_splitter splitter_;
};

/// @brief Returns whether a Content-Type is that of server-sent events.
bool is_event_stream(std::string_view content_type);

/// @brief Returns whether server-sent events end before the blank line that ends the last event, so
/// that the stream was broken off. Comments between events belong to none.
bool ends_inside_event(std::string_view stream);

/// @brief Returns whether server-sent events lack a part although their framing shows their end:
/// they end inside an event, or there is none and only the end of the connection shows it.
bool lacks_events(std::string_view stream, const body_framing& framing);

/// @brief Formats one server-sent event.
std::string format_sse(std::string_view data);

} // namespace dotterelport::net

#endif
