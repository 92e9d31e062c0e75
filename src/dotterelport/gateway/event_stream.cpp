#include "dotterelport/gateway/event_stream.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dotterelport::gateway {
namespace {

/// @brief Value of the id field of an event, if it is a number.
std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view field_name = "id:";
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.substr(0, field_name.size()) != field_name) {
            continue;
        }
        line.remove_prefix(field_name.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), value);
        if (error == std::errc{} && end != line.data()) {
            return value;
        }
    }
    return std::nullopt;
}

/// @brief Returns whether an event has only comments, which servers send to keep a connection open.
bool is_comment(std::string_view event)
{
    while (!event.empty()) {
        const std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.empty() && line != "\r" && line.front() != ':') {
            return false;
        }
    }
    return true;
}

/// @brief Position after the next blank line, if there is one.
std::optional<std::size_t> end_of_event(std::string_view data, std::size_t from)
{
    for (auto newline = data.find('\n', from); newline != std::string_view::npos;
         newline = data.find('\n', newline + 1)) {
        if (data.substr(newline + 1, 1) == "\n") {
            return newline + 2;
        }
        if (data.substr(newline + 1, 2) == "\r\n") {
            return newline + 3;
        }
    }
    return std::nullopt;
}

} // namespace

std::string event_stream::append(std::string_view data)
{
    partial_.append(data);
    std::string complete_events;
    std::size_t begin = 0;
    while (const auto end = end_of_event(partial_, std::max(begin, scanned_))) {
        const std::string_view event = std::string_view(partial_).substr(begin, *end - begin);
        begin = *end;
        const auto id = event_id(event);
        server_id_ = id ? id : server_id_;
        if (id && resumed_after_ && *id <= *resumed_after_) {
            continue;
        }
        last_id_ = id ? id : last_id_;
        if (!is_comment(event)) {
            ++events_;
            can_resume_ = id.has_value();
        }
        complete_events.append(event);
    }
    partial_.erase(0, begin);
    // The last bytes may be the start of a blank line.
    constexpr std::size_t max_line_end = 2;
    scanned_ = partial_.size() - std::min(partial_.size(), max_line_end);
    return complete_events;
}

void event_stream::resume()
{
    partial_.clear();
    scanned_ = 0;
    server_id_.reset();
    resumed_after_ = last_id_;
}

std::string event_stream::take_incomplete()
{
    scanned_ = 0;
    return std::exchange(partial_, {});
}

} // namespace dotterelport::gateway
