#ifndef DOTTERELPORT_ROUTER_CALLERS_SERVER_HPP
#define DOTTERELPORT_ROUTER_CALLERS_SERVER_HPP

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

#include "dotterelport/net/http_server.hpp"
#include "intake.hpp"
#include "metrics.hpp"
#include "request_run.hpp"

namespace dotterelport::router {

/// Serves the callers' port: checks each request and hands it to the run that dispatches it.
class callers_server {
public:
    struct context {
        dispatch_context& dispatch;
        metrics& counters;
        /// Empty if the router serves callers, otherwise why not.
        std::function<std::string()> not_ready_reason;
    };

    explicit callers_server(context environment);

    net::endpoint listen(const net::endpoint& address) { return server_.listen(address); }

    /// @brief Accepts no more connections, and refuses requests on open ones as `leaving`.
    void stop();

    /// @brief Requests that run or whose answers have not been sent to their end.
    [[nodiscard]] std::size_t requests_in_progress() const
    {
        return std::max(in_progress_, server_.requests_in_progress());
    }

private:
    using response_ptr = std::shared_ptr<net::http_response>;
    using intake_stage = job (*)(const intake_context&);

    void take(const net::http_request& request, const response_ptr& response, intake_stage stage);
    void dispatch(job accepted, const response_ptr& response);
    void run_idempotent(job accepted, answer reply, const response_ptr& response);
    [[nodiscard]] config::snapshot_ptr require_ready() const;

    /// @brief Makes the function that counts a request when it ends.
    std::function<void(const caller_error*)> begin_request(const std::string& service);

    context context_;
    net::http_server server_;
    std::size_t in_progress_ = 0;
    bool stopped_ = false;
};

} // namespace dotterelport::router

#endif
