#ifndef DOTTERELPORT_AGENT_BACKEND_HPP
#define DOTTERELPORT_AGENT_BACKEND_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "dotterelport/agent/answer_reader.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::agent {

/// Client that runs requests at the backend server.
class backend {
public:
    using run_id = std::uint64_t;

    struct handler {
        chunk_function on_chunk;
        /// Called once, unless the run is cancelled.
        std::function<void(const backend_result&)> on_end;
    };

    backend(net::event_loop& loop, const net::endpoint& address);

    /// @brief Starts a run. The callbacks are never called before this function returns.
    /// @param request from make_backend_request()
    run_id start(request::request_kind kind, const net::client_request& request, handler callbacks);

    /// @brief Cancels a run without calling any more of its callbacks. Closes its connection, which
    /// makes the backend server free the request's resources.
    void cancel(run_id run);

    [[nodiscard]] const net::endpoint& address() const { return address_; }

private:
    struct run_entry {
        run_entry(request::request_kind kind, const std::string& method, handler run_callbacks,
                  net::buffer_budget& buffers);

        handler callbacks;
        net::buffer_share held;
        std::optional<answer_reader> reader;
        net::exchange_id exchange = 0;
    };

    void end(run_id run, const backend_result& result);
    void end_as_crashed(run_id run, const std::string& message);
    /// Ends a run whose answer is larger than this agent can keep.
    void end_as_too_large(run_id run);
    /// Ends a run that timed out. A probe finds out whether the backend server crashed: it did if
    /// it accepts no connections.
    void end_after_timeout(run_id run, const std::string& message);

    net::event_loop& loop_;
    net::endpoint address_;
    net::http_client client_;
    std::unordered_map<run_id, std::shared_ptr<run_entry>> runs_;
    run_id last_run_id_ = 0;
};

} // namespace dotterelport::agent

#endif
