#ifndef DOTTERELPORT_PROCESS_LIMITED_CLIENTS_HPP
#define DOTTERELPORT_PROCESS_LIMITED_CLIENTS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include "dotterelport/base/json.hpp"
#include "dotterelport/base/log.hpp"
#include "dotterelport/net/http_server.hpp"

namespace dotterelport::process {

/// Counts and logs the clients of a daemon's servers that gave way to the limits of all clients
/// together, and states what the servers hold.
class limited_clients {
public:
    struct options {
        /// Name of the counter, with the labels `server` and `cause`.
        std::string metric;
        /// Logged at most once a second, as there may be many.
        log_event event;
    };

    limited_clients(net::event_loop& loop, prometheus::Registry& registry, options settings);
    ~limited_clients();
    limited_clients(const limited_clients&) = delete;
    limited_clients& operator=(const limited_clients&) = delete;

    /// @brief Observes a server, which must be destroyed before this object.
    void observe(const std::string& name, net::http_server& server);

    /// @brief Bytes and connections of each server.
    [[nodiscard]] json dump() const;

private:
    void record(const std::string& server, net::limit_cause cause);
    void write_log();

    net::event_loop& loop_;
    options settings_;
    prometheus::Family<prometheus::Counter>& counters_;
    std::map<std::string, const net::http_server*> servers_;
    /// Number of clients by server and cause since the last log line.
    std::map<std::string, std::map<std::string, std::uint64_t>> unlogged_;
    net::timer_id timer_ = 0;
};

} // namespace dotterelport::process

#endif
