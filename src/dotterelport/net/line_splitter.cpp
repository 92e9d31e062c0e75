#include "dotterelport/net/line_splitter.hpp"

#include <utility>
#include <variant>

namespace dotterelport::net {

line_splitter::line_splitter(std::function<void(std::string_view)> on_line,
                             std::size_t max_line_bytes)
    : on_line_(std::move(on_line)), max_line_bytes_(max_line_bytes)
{}

void line_splitter::feed(std::string_view data)
{
    if (overlong_) {
        return;
    }
    const std::size_t scanned = incomplete_line_.size();
    incomplete_line_.append(data);
    std::size_t start = 0;
    for (auto end = incomplete_line_.find('\n', scanned); end != std::string::npos;
         end = incomplete_line_.find('\n', start)) {
        std::string_view line = std::string_view(incomplete_line_).substr(start, end - start);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        start = end + 1;
        on_line_(line);
    }
    incomplete_line_.erase(0, start);
    if (incomplete_line_.size() > max_line_bytes_) {
        overlong_ = true;
        incomplete_line_ = {};
    }
}

sse_parser::sse_parser(std::function<void(std::string_view)> on_event, std::size_t max_event_bytes)
    : on_event_(std::move(on_event)), max_event_bytes_(max_event_bytes),
      splitter_([this](std::string_view line) { handle_line(line); }, max_event_bytes)
{}

void sse_parser::handle_line(std::string_view line)
{
    constexpr std::string_view field = "data:";
    if (overlong_) {
        return;
    }
    if (line.empty()) {
        if (std::exchange(has_data_, false)) {
            on_event_(std::exchange(data_, {}));
        }
        return;
    }
    if (line.substr(0, field.size()) != field) {
        return;
    }
    line.remove_prefix(field.size());
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    if (std::exchange(has_data_, true)) {
        data_.push_back('\n');
    }
    data_.append(line);
    if (data_.size() > max_event_bytes_) {
        overlong_ = true;
        data_ = {};
    }
}

bool is_event_stream(std::string_view content_type)
{
    constexpr std::string_view event_stream_type = "text/event-stream";
    return equals_ignoring_case(content_type.substr(0, event_stream_type.size()),
                                event_stream_type);
}

bool ends_inside_event(std::string_view stream)
{
    bool inside = false;
    while (!stream.empty()) {
        const auto end = stream.find('\n');
        std::string_view line = stream.substr(0, end);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (end == std::string_view::npos) {
            return inside || !line.empty();
        }
        stream.remove_prefix(end + 1);
        const bool is_comment = !line.empty() && line.front() == ':';
        inside = !line.empty() && (inside || !is_comment);
    }
    return inside;
}

bool lacks_events(std::string_view stream, const body_framing& framing)
{
    if (ends_inside_event(stream)) {
        return true;
    }
    bool has_event = false;
    line_splitter lines([&](std::string_view line) {
        has_event = has_event || (!line.empty() && line.front() != ':');
    });
    lines.feed(stream);
    return !has_event && std::holds_alternative<close_framing>(framing);
}

std::string format_sse(std::string_view data)
{
    std::string event = "data: ";
    event.append(data);
    event.append("\n\n");
    return event;
}

} // namespace dotterelport::net
