#ifndef DOTTERELPORT_ROUTER_CALLERS_SERVER_HPP
#define DOTTERELPORT_ROUTER_CALLERS_SERVER_HPP

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dotterelport/net/http_server.hpp"
#include "intake.hpp"
#include "metrics.hpp"
#include "request_run.hpp"

namespace dotterelport::router {

/// Serves the callers' port: checks each request and starts the run that dispatches it.
class callers_server {
public:
    struct context {
        dispatch_context& dispatch;
        metrics& counters;
        /// Empty if the router serves callers, otherwise the reason why it does not.
        std::function<std::string()> not_ready_reason;
        /// What callers together may make the process hold; no limit if absent.
        std::optional<net::client_limits> clients = std::nullopt;
    };

    explicit callers_server(context environment);

    net::endpoint listen(const net::endpoint& address) { return server_.listen(address); }

    /// @brief The HTTP server, for observation.
    [[nodiscard]] net::http_server& server() { return server_; }

    /// @brief Stops accepting connections, and refuses requests on open connections as `leaving`.
    void stop();

    /// @brief Number of requests that are running or whose answers are not completely sent.
    [[nodiscard]] std::size_t requests_in_progress() const
    {
        return std::max(in_progress_, server_.requests_in_progress());
    }

private:
    using response_ptr = std::shared_ptr<net::http_response>;
    using intake_stage = checked_request (*)(const intake_context&);

    void handle_request(const net::http_request& request, const response_ptr& response,
                        intake_stage stage);
    void dispatch(checked_request accepted, const response_ptr& response);
    void run_idempotent(checked_request accepted, answer reply, const response_ptr& response);
    [[nodiscard]] config::snapshot_ptr require_ready() const;

    /// @brief Counts a request as in progress; returns the function to call when it ends.
    std::function<void(const caller_error*)> begin_request(const std::string& service);

    context context_;
    net::http_server server_;
    std::size_t in_progress_ = 0;
    bool stopped_ = false;
};

} // namespace dotterelport::router

#endif
