#include "dotterelport/gateway/event_stream.hpp"

#include <charconv>
#include <utility>

namespace dotterelport::gateway {
namespace {

/// @brief Value of the id field of an event, if it is a number.
std::optional<std::uint64_t> event_id(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.substr(0, name.size()) != name) {
            continue;
        }
        line.remove_prefix(name.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t value = 0;
        const auto [end, code] = std::from_chars(line.data(), line.data() + line.size(), value);
        if (code == std::errc{} && end != line.data()) {
            return value;
        }
    }
    return std::nullopt;
}

/// @brief Position after the next blank line, or nothing.
std::optional<std::size_t> end_of_event(std::string_view data, std::size_t from)
{
    for (auto at = data.find('\n', from); at != std::string_view::npos;
         at = data.find('\n', at + 1)) {
        if (data.substr(at + 1, 1) == "\n") {
            return at + 2;
        }
        if (data.substr(at + 1, 2) == "\r\n") {
            return at + 3;
        }
    }
    return std::nullopt;
}

} // namespace

std::string event_stream::take(std::string_view data)
{
    partial_.append(data);
    std::string whole;
    std::size_t begin = 0;
    while (const auto end = end_of_event(partial_, begin)) {
        const std::string_view event = std::string_view(partial_).substr(begin, *end - begin);
        begin = *end;
        const auto id = event_id(event);
        if (id && last_id_ && *id <= *last_id_) {
            continue;
        }
        if (id) {
            last_id_ = id;
        }
        ++events_;
        whole.append(event);
    }
    partial_.erase(0, begin);
    return whole;
}

std::string event_stream::take_rest()
{
    return std::exchange(partial_, {});
}

} // namespace dotterelport::gateway
