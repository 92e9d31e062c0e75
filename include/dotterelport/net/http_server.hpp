#ifndef DOTTERELPORT_NET_HTTP_SERVER_HPP
#define DOTTERELPORT_NET_HTTP_SERVER_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http.hpp"

namespace dotterelport::net {

/// The answer to one request. Either send(), or start(), any number of write(), and finish().
/// Calls after the connection has gone, or after the end of the answer, have no effect.
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

    /// @brief Appends to a streamed answer; buffers what the connection does not take yet.
    void write(std::string_view data);

    /// @brief Ends a streamed answer.
    void finish();

    /// @brief Closes the connection, so that the client sees an incomplete answer.
    void abort();

    /// @brief Tells whether the client can still receive.
    [[nodiscard]] bool is_open() const;

    /// @brief Tells whether send() or start() was called.
    [[nodiscard]] bool is_started() const;

    /// @brief Bytes that were written but not yet handed to the connection.
    [[nodiscard]] std::size_t buffered() const;

    /// @brief Sets a function that is called once if the connection goes away before the end. A
    /// client that disconnects is noticed by the next write.
    void on_close(std::function<void()> function);

    struct native;

private:
    friend class http_server;
    std::unique_ptr<native> native_;
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

    /// @brief Starts to listen.
    /// @return the endpoint, with the port that was chosen if port 0 was asked for
    /// @throws error if the address cannot be bound
    endpoint listen(const endpoint& address);

    /// @brief Stops accepting connections; requests in progress go on.
    void stop_listening();

    /// @brief Number of requests that have not been answered to their end.
    [[nodiscard]] std::size_t requests_in_progress() const;

    struct native;

private:
    native* native_;
};

/// @brief Sends a JSON text as a complete answer.
void send_json(http_response& response, int status, std::string_view body);

} // namespace dotterelport::net

#endif
