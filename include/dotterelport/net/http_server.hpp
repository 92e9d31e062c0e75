#ifndef DOTTERELPORT_NET_HTTP_SERVER_HPP
#define DOTTERELPORT_NET_HTTP_SERVER_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/net/client_budget.hpp"
#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http.hpp"

namespace dotterelport::net {

/// The answer to one request. The handler calls either send(), or start(), any number of write()
/// and finish(). Calls after the connection was closed or after the end of the answer have no
/// effect.
class http_response {
public:
    http_response();
    ~http_response();
    http_response(const http_response&) = delete;
    http_response& operator=(const http_response&) = delete;

    /// @brief Sends a complete answer.
    void send(int status, const header_list& headers, std::string_view body);

    /// @brief Starts a streamed answer and sends its headers.
    void start(int status, const header_list& headers);

    /// @brief Appends to a streamed answer; buffers what the connection cannot accept yet.
    void write(std::string_view data);

    /// @brief Ends a streamed answer.
    void finish();

    /// @brief Closes the connection, so that the client sees an incomplete answer.
    void abort();

    /// @brief Returns whether the client can still receive data.
    [[nodiscard]] bool is_open() const;

    /// @brief Returns whether send() or start() was called.
    [[nodiscard]] bool is_started() const;

    /// @brief Number of bytes that were written but not yet handed to the kernel.
    [[nodiscard]] std::size_t buffered() const;

    /// @brief Sets a function that is called once if the client disconnects, or its connection
    /// gives way to a limit, before the end of the answer.
    void on_close(std::function<void()> function);

    struct impl;

private:
    friend class http_server;
    std::unique_ptr<impl> impl_;
};

using http_handler = std::function<void(const http_request&, std::shared_ptr<http_response>)>;

/// HTTP/1.1 server on the event loop.
class http_server {
public:
    struct options {
        /// Larger request bodies are answered with 413.
        std::size_t max_body_bytes = 1U << 20U;
        /// Idle keep-alive connections are closed after this time.
        milliseconds idle_timeout{30'000};
        /// What all connections together may make the process hold; no limit if absent.
        std::optional<client_limits> clients = std::nullopt;
    };

    explicit http_server(event_loop& loop);
    http_server(event_loop& loop, const options& settings);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @brief Adds a route. Routes are tried in order of registration.
    /// @param method request method, or "*" for any
    /// @param path exact path, or a prefix when it ends in "*"
    void route(const std::string& method, const std::string& path, http_handler handler);

    /// @brief Starts listening.
    /// @return the endpoint, with the port that the kernel chose if port 0 was requested
    /// @throws error if the address cannot be bound
    endpoint listen(const endpoint& address);

    /// @brief Stops accepting connections; requests in progress continue.
    void stop_listening();

    /// @brief Sets a function that is called each time that a limit of all clients together makes a
    /// request refused or a connection closed.
    void on_limit(std::function<void(limit_cause cause)> function);

    /// @brief Number of requests whose answer is not complete.
    [[nodiscard]] std::size_t requests_in_progress() const;

    /// @brief Number of bytes that clients make the server hold.
    [[nodiscard]] std::size_t held_bytes() const;
    [[nodiscard]] std::size_t connection_count() const;

    struct impl;

private:
    impl* impl_;
};

/// @brief Sends a JSON text as a complete answer.
void send_json(http_response& response, int status, std::string_view body);

} // namespace dotterelport::net

#endif
