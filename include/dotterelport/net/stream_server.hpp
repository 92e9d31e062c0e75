#ifndef DOTTERELPORT_NET_STREAM_SERVER_HPP
#define DOTTERELPORT_NET_STREAM_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dotterelport/net/client_budget.hpp"
#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http1.hpp"

namespace dotterelport::net {

class stream_connection;
class stream_server;
class tcp_connection;
class tcp_listener;

/// One request of a client and the answer to it. Unlike http_response, it reports immediately that
/// the client has disconnected, and can end an answer so that the client sees it as incomplete.
/// Calls after the end of the answer or of the connection have no effect.
class stream_exchange {
public:
    stream_exchange(http1_request_head head, std::string body, milliseconds received);

    [[nodiscard]] const http1_request_head& head() const { return head_; }
    [[nodiscard]] const std::string& body() const { return body_; }
    /// @brief Time at which the first byte of the request arrived.
    [[nodiscard]] milliseconds received() const { return received_; }

    /// @brief Sends a complete answer. If another answer has begun, that one is aborted.
    void respond(int status, const header_list& headers, std::string_view body);

    /// @brief Starts an answer whose body follows in chunks.
    void start(int status, const header_list& headers);
    void write(std::string_view data);
    void finish();

    /// @brief Closes the connection before the answer is complete.
    void abort();

    /// @brief Returns whether the client is still connected.
    [[nodiscard]] bool is_open() const { return connection_ != nullptr; }
    [[nodiscard]] bool is_started() const { return started_; }
    /// @brief Returns whether the client has disconnected, also if on_disconnect was not called yet
    /// because the loop is late.
    [[nodiscard]] bool is_abandoned() const;

    /// @brief Number of bytes of the answer that were not handed to the kernel yet.
    [[nodiscard]] std::size_t unsent() const;

    /// @brief Sets a function that is called once if the client disconnects before the end of the
    /// answer.
    void on_disconnect(std::function<void()> function) { on_disconnect_ = std::move(function); }

    /// @brief Sets a function that is called each time all bytes of the answer so far have been
    /// handed to the kernel.
    void on_drained(std::function<void()> function) { on_drained_ = std::move(function); }

private:
    friend class stream_server;
    friend class stream_connection;

    [[nodiscard]] std::string format_head(int status, const header_list& headers,
                                          std::string_view framing) const;

    http1_request_head head_;
    std::string body_;
    milliseconds received_;
    stream_connection* connection_ = nullptr;
    std::function<void()> on_disconnect_;
    std::function<void()> on_drained_;
    bool started_ = false;
    bool chunked_ = false;
};

/// HTTP/1.1 server on the event loop for proxies: keeps reading while an answer is in progress, so
/// that a client that disconnects is detected.
class stream_server {
public:
    struct options {
        /// Larger request heads are answered with 431.
        std::size_t max_header_bytes = 16'384;
        /// Larger request bodies are answered with 413.
        std::size_t max_body_bytes = 4U << 20U;
        /// Time from the first byte of a request to the end of its head.
        milliseconds header_timeout{3'000};
        /// Idle connections are closed after this time; also the limit for receiving a body.
        milliseconds idle_timeout{15'000};
        /// What all connections together may make the process hold.
        client_limits clients{};
    };

    using handler = std::function<void(std::shared_ptr<stream_exchange>)>;

    /// @param handle called with each request once it has been read completely
    /// @throws error if the address cannot be bound
    stream_server(event_loop& loop, const endpoint& address, const options& settings,
                  handler handle);
    ~stream_server();
    stream_server(const stream_server&) = delete;
    stream_server& operator=(const stream_server&) = delete;

    /// @brief Changes the limits for requests that have not begun.
    void set_options(const options& settings);

    /// @brief Sets a function that is called each time that a limit of all clients together makes a
    /// request refused or a connection closed.
    void on_limit(std::function<void(limit_cause cause)> function)
    {
        on_limit_ = std::move(function);
    }

    /// @brief Number of bytes that clients make the server hold.
    [[nodiscard]] std::size_t held_bytes() const { return budget_.used(); }

    /// @brief Answers with "Connection: close" from now on, so that clients reconnect
    /// elsewhere.
    void start_draining() { draining_ = true; }
    /// @brief Sets whether connections are closed after their next answer, which says
    /// "Connection: close". Requests that have arrived on a connection are answered before it is
    /// closed.
    void close_after_answers(bool enabled) { closes_after_answers_ = enabled; }
    /// @brief Closes the listening socket; open connections continue.
    void stop_listening();
    /// @brief Closes the listening socket and the idle connections. Requests that have already
    /// arrived are still handled.
    void stop();

    [[nodiscard]] const endpoint& address() const { return address_; }
    [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }
    [[nodiscard]] std::size_t exchange_count() const;

private:
    friend class stream_connection;
    /// @brief Removes a connection; it is destroyed in the next iteration of the loop, as one of
    /// its callbacks may be running.
    void remove(std::uint64_t id);

    void accept(std::unique_ptr<tcp_connection> connection);
    /// @brief Closes a connection without a request in progress, for a new one.
    /// @return false if there is none
    bool close_one();
    /// @brief Lets connections give way until what this one holds is within the limits.
    /// @return false if this one has to give way itself
    bool make_room(std::uint64_t id);
    void report(limit_cause cause);

    event_loop& loop_;
    endpoint address_;
    options options_;
    handler handle_;
    std::unique_ptr<tcp_listener> listener_;
    std::unordered_map<std::uint64_t, std::unique_ptr<stream_connection>> connections_;
    client_budget budget_;
    std::function<void(limit_cause)> on_limit_;
    std::uint64_t last_id_ = 0;
    bool draining_ = false;
    bool closes_after_answers_ = false;
};

} // namespace dotterelport::net

#endif
