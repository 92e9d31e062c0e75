#include "dotterelport/net/client_budget.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace dotterelport::net {
namespace {

/// Descriptors that the operating system reserves for files.
constexpr std::size_t file_descriptors = 200;

/// Connections that a process accepts whatever its descriptors.
constexpr std::size_t min_connections = 16;

/// Added to the time without movement, so that the size decides among connections that move.
constexpr milliseconds usual_pause{100};

} // namespace

client_limits limits_of_vm(std::size_t memory_mb, std::size_t max_fds)
{
    // The remaining memory is for the process itself, answers of servers and of the store, and the
    // copies of bytes that are being moved. Growing strings may take twice their content.
    constexpr std::size_t memory_part = 4;
    constexpr std::size_t reserve_part = 8;
    // Each request in progress needs a connection to a server as well.
    constexpr std::size_t connection_parts = 5;
    constexpr std::size_t client_parts = 3;
    client_limits result;
    result.bytes = (memory_mb << 20U) / memory_part;
    result.reserve = result.bytes / reserve_part;
    result.connections = std::max(min_connections, (max_fds - std::min(max_fds, file_descriptors)) *
                                                       client_parts / connection_parts);
    return result;
}

client_limits quarters_of(const client_limits& limits, std::size_t quarters)
{
    constexpr std::size_t all = 4;
    client_limits result = limits;
    result.bytes = limits.bytes * quarters / all;
    result.reserve = limits.reserve * quarters / all;
    result.connections = std::max(min_connections, limits.connections * quarters / all);
    return result;
}

std::string_view to_string(limit_cause value)
{
    constexpr std::array<std::string_view, 5> names{
        "request_bytes", "unread_answer", "idle_connection", "slow_request", "new_connection"};
    return names[static_cast<std::size_t>(value)];
}

void client_budget::set(holder_id holder, const holding& held)
{
    auto& known = holdings_[holder];
    used_ = used_ - known.total() + held.total();
    known = held;
}

void client_budget::remove(holder_id holder)
{
    const auto found = holdings_.find(holder);
    if (found != holdings_.end()) {
        used_ -= found->second.total();
        holdings_.erase(found);
    }
}

bool client_budget::is_over(holder_id holder) const
{
    const auto found = holdings_.find(holder);
    const std::size_t held = found == holdings_.end() ? 0 : found->second.total();
    return used_ > (held <= limits_.small ? limits_.bytes : limits_.bytes - limits_.reserve);
}

std::optional<client_budget::holder_id> client_budget::victim(milliseconds now) const
{
    std::optional<holder_id> result;
    std::pair<bool, double> highest;
    for (const auto& [holder, held] : holdings_) {
        if (held.releasable == 0) {
            continue;
        }
        const std::pair<bool, double> rank{
            held.releasable > limits_.small,
            static_cast<double>(held.releasable) *
                static_cast<double>((now - held.moved + usual_pause).count())};
        if (!result || rank > highest) {
            result = holder;
            highest = rank;
        }
    }
    return result;
}

} // namespace dotterelport::net
