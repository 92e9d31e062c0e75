#ifndef DOTTERELPORT_PROCESS_OPERATORS_SERVER_HPP
#define DOTTERELPORT_PROCESS_OPERATORS_SERVER_HPP

#include <functional>
#include <memory>

#include <prometheus/registry.h>

#include "dotterelport/base/json.hpp"
#include "dotterelport/net/http_server.hpp"

namespace dotterelport::process {

/// Serves /metrics, /healthz, /readyz and /dump on the operators' port of a daemon.
class operators_server {
public:
    struct options {
        net::endpoint address;
        /// Returns why the process is not ready; an empty string if it is ready.
        std::function<std::string()> not_ready_reason;
        /// Returns the state of the process for /dump.
        std::function<json()> dump;
    };

    operators_server(net::event_loop& loop, options settings);

    /// @brief Adds a path of the process.
    void route(const std::string& path, net::http_handler handler)
    {
        server_.route("GET", path, std::move(handler));
    }

    /// @brief Address with the port that is in use.
    [[nodiscard]] const net::endpoint& address() const { return address_; }

    /// @brief Registry for the metrics of the process.
    [[nodiscard]] prometheus::Registry& metrics() { return *registry_; }

private:
    std::shared_ptr<prometheus::Registry> registry_;
    net::http_server server_;
    net::endpoint address_;
};

} // namespace dotterelport::process

#endif
