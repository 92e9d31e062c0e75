#ifndef DOTTERELPORT_NET_BACKEND_CLIENT_HPP
#define DOTTERELPORT_NET_BACKEND_CLIENT_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http1.hpp"
#include "dotterelport/net/http_client.hpp"

namespace dotterelport::net {

/// A request whose bytes are ready to be sent.
struct backend_call {
    endpoint to;
    /// Request line, headers and body.
    std::string bytes;
    std::string method = "GET";
    /// Limit for opening a connection.
    milliseconds connect_timeout{300};
    /// Maximum idle time of a connection that is reused. A reused connection may fail after the
    /// request was sent, and then it is unknown whether the server processed the request.
    /// Requests that must not be repeated therefore set a shorter time.
    milliseconds max_idle{10'000};
};

/// Why a call has no complete answer.
enum class backend_failure {
    /// No connection could be opened: nothing was sent.
    not_connected,
    /// The connection was reset.
    reset,
    /// The server closed the connection normally before the answer was complete.
    truncated,
    /// The received bytes are not an HTTP/1 answer, or contain too much that belongs to none.
    malformed,
};

/// @brief Name of a failure for logs.
std::string_view to_string(backend_failure value);

/// Callbacks for an answer as it arrives. None is called after on_complete or on_failure, nor from
/// inside start().
struct backend_handler {
    /// @return false for an answer to another request, which is skipped
    std::function<bool(const http1_answer_head& head)> on_head;
    std::function<void(std::string_view data)> on_data;
    std::function<void()> on_complete;
    std::function<void(backend_failure failure)> on_failure;
};

/// Counters of a backend_client.
struct backend_client_statistics {
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_reused = 0;
    std::uint64_t connects_failed = 0;
    /// Connections closed because bytes arrived that belong to no request.
    std::uint64_t stray_bytes = 0;
    /// Answers skipped because they belong to another request.
    std::uint64_t unmatched_answers = 0;
};

/// HTTP/1.1 client for proxies. Distinguishes a reset from a normal close, detects bytes after an
/// answer, respects the server's Keep-Alive timeout and monitors idle connections.
class backend_client {
public:
    explicit backend_client(event_loop& loop);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    exchange_id start(backend_call call, backend_handler handler);

    /// @brief Cancels a call and closes its connection at once, without calling its callbacks.
    void cancel(exchange_id exchange);

    /// @brief Returns whether a call has a connection, so that the server may have received a part
    /// of the request.
    [[nodiscard]] bool was_sent(exchange_id exchange) const;

    /// @brief Returns whether a call uses a connection that carried another call before. An answer
    /// on it may belong to that call.
    [[nodiscard]] bool is_reused(exchange_id exchange) const;

    /// @brief Stops or resumes reading the answer. Stopping applies backpressure to the server.
    void set_paused(exchange_id exchange, bool paused);

    /// @brief Closes the idle connections to a server, for example because another server now uses
    /// its address.
    void drop_idle(const endpoint& to);

    [[nodiscard]] std::size_t calls_in_progress() const;
    [[nodiscard]] std::size_t connection_count() const;
    [[nodiscard]] const backend_client_statistics& statistics() const;

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace dotterelport::net

#endif
