#ifndef DOTTERELPORT_NET_CLIENT_BUDGET_HPP
#define DOTTERELPORT_NET_CLIENT_BUDGET_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::net {

/// What the clients of a process may make it hold.
struct client_limits {
    /// Bytes of all connections together.
    std::size_t bytes = std::size_t{64} << 20U;
    std::size_t connections = 494;
    /// Part of the bytes that only connections with at most `small` bytes may use.
    std::size_t reserve = std::size_t{8} << 20U;
    std::size_t small = std::size_t{64} << 10U;

    bool operator==(const client_limits&) const = default;
};

/// @brief Derives the limits from the memory and the descriptors of the VM.
client_limits limits_of_vm(std::size_t memory_mb, std::size_t max_fds);

/// @brief The part of the limits for one of several servers of a process, in quarters.
client_limits quarters_of(const client_limits& limits, std::size_t quarters);

/// Why a client's request was refused or its connection closed.
enum class limit_cause {
    /// The bytes of a request that was not complete found no room: refused with 503.
    request_bytes,
    /// The client left more unread than there was room for: closed.
    unread_answer,
    /// An idle connection was closed for a new one.
    idle_connection,
    /// There was no idle connection, so that a request that was not complete was refused with 503
    /// for a new connection.
    slow_request,
    /// There was nothing to close, so that a new connection was refused with 503.
    new_connection,
};

/// @brief Name of a cause for logs and metrics.
std::string_view to_string(limit_cause value);

/// Counts the bytes that the connections of clients hold, and decides which connection gives way.
class client_budget {
public:
    using holder_id = std::uint64_t;

    /// Bytes that a connection holds.
    struct holding {
        /// Freed if the connection is closed: what has not been handed on, and unread answers.
        std::size_t releasable = 0;
        /// Kept until a request that was handed on ends.
        std::size_t pinned = 0;
        /// Time at which the client last sent or accepted bytes.
        milliseconds moved{0};

        [[nodiscard]] std::size_t total() const { return releasable + pinned; }
    };

    explicit client_budget(const client_limits& limits = {}) : limits_(limits) {}

    void set_limits(const client_limits& limits) { limits_ = limits; }

    /// @brief Records what a connection holds.
    void set(holder_id holder, const holding& held);
    void remove(holder_id holder);

    [[nodiscard]] std::size_t used() const { return used_; }

    /// @brief Returns whether another connection has to give way to this one, or this one itself.
    [[nodiscard]] bool is_over(holder_id holder) const;

    /// @brief The connection that holds most and has moved least; those with a small holding come
    /// last, and those that would free nothing are no candidates.
    [[nodiscard]] std::optional<holder_id> victim(milliseconds now) const;

    /// @brief Returns whether a further connection is within the limit.
    [[nodiscard]] bool may_accept(std::size_t connections) const
    {
        return connections < limits_.connections;
    }

private:
    client_limits limits_;
    std::unordered_map<holder_id, holding> holdings_;
    std::size_t used_ = 0;
};

} // namespace dotterelport::net

#endif
