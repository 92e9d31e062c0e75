#ifndef DOTTERELPORT_NET_HTTP_CLIENT_HPP
#define DOTTERELPORT_NET_HTTP_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dotterelport/net/buffer_budget.hpp"
#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http.hpp"

namespace dotterelport::net {

/// Stage that an exchange had reached when it failed.
enum class failure_stage {
    /// No connection: nothing was sent.
    connect,
    /// The request may have been received; no answer arrived.
    sent,
    /// A part of the answer arrived.
    answering,
};

/// Message of a failure that is due to the size of the answer.
inline constexpr std::string_view too_large_message = "the answer is too large";

/// Message of a failure that is due to a time limit.
inline constexpr std::string_view timeout_message = "timeout";

/// @brief Name of a stage for logs.
std::string_view to_string(failure_stage stage);

/// A request to another process.
struct client_request {
    endpoint to;
    std::string method = "GET";
    /// Path with the query, percent-encoded.
    std::string path = "/";
    header_list headers = {};
    std::string body = {};
    /// Time limit for connecting and receiving the head of the answer.
    milliseconds answer_timeout{5'000};
    /// Time limit between two parts of the answer's body.
    milliseconds idle_timeout{30'000};
};

/// Callbacks for an answer as it arrives; unset ones are skipped. None is called after on_complete
/// or on_failure.
struct answer_handler {
    std::function<void(int status, const header_list& headers)> on_head = {};
    std::function<void(std::string_view data)> on_data = {};
    std::function<void()> on_complete = {};
    std::function<void(failure_stage stage, const std::string& message)> on_failure = {};
};

/// A complete answer, or the failure of its exchange.
struct client_answer {
    /// 0 if the exchange failed.
    int status = 0;
    header_list headers;
    std::string body;
    failure_stage stage = failure_stage::connect;
    std::string message;

    [[nodiscard]] bool failed() const { return status == 0; }
};

/// Identifies an exchange in progress; 0 is never used.
using exchange_id = std::uint64_t;

/// HTTP/1.1 client for processes that read an answer as a whole or in parts. Uses backend_client,
/// so that an answer is complete under the same conditions everywhere.
class http_client {
public:
    explicit http_client(event_loop& loop, address_overrides overrides = {},
                         const buffer_limits& limits = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Starts an exchange and passes the answer to the handler as it arrives. No callback is
    /// called before start() returns.
    exchange_id start(const client_request& request, answer_handler handler);

    /// @brief Starts an exchange and collects the answer. It fails if the answer is larger than the
    /// budget allows.
    exchange_id fetch(const client_request& request,
                      std::function<void(const client_answer&)> done);

    /// @brief Cancels an exchange without calling any more callbacks, and closes its connection.
    void cancel(exchange_id exchange);

    /// @brief Number of exchanges in progress.
    [[nodiscard]] std::size_t exchanges_in_progress() const;

    /// @brief Budget of the answers that are collected, also by handlers of start().
    [[nodiscard]] buffer_budget& buffers();

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace dotterelport::net

#endif
