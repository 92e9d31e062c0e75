#ifndef DOTTERELPORT_CONFIG_FOLLOWER_HPP
#define DOTTERELPORT_CONFIG_FOLLOWER_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/config/snapshot.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/rpc.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::config {

/// Keeps the configuration of a process up to date: watches the platform's manifest or asks routers
/// for it, fetches the parts that changed, and puts only higher generations in force.
class follower {
public:
    struct options {
        /// Returns whether this process is one of those that watch the platform; called at each
        /// poll.
        std::function<bool()> is_watcher;
        /// Routers to ask, without this process, in order of preference: those that watch the
        /// platform first, then others of the failure domain, then those of other failure domains.
        std::function<std::vector<net::endpoint>()> routers;
    };

    follower(net::event_loop& loop, object_store::client& platform, net::rpc_client& rpc,
             options settings);
    ~follower();
    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;

    /// @brief Starts to follow the configuration.
    /// @param on_change called after each change of the configuration in force
    void start(std::function<void(const snapshot_ptr&)> on_change);

    /// @brief Configuration in force; null until the platform has confirmed one.
    [[nodiscard]] snapshot_ptr current() const;

    /// @brief Time since the current generation came into force.
    [[nodiscard]] milliseconds in_force_for() const;

    /// @brief Why there is no configuration in force, for /readyz; empty if there is one.
    [[nodiscard]] std::string not_ready_reason() const;

    /// @brief Reports a generation that another process has in force. If it is newer than the
    /// current one, it is fetched without waiting for the next poll.
    void report_generation(std::uint64_t generation);

    /// @brief Adds the RPC methods config_manifest and config_part, which other processes call to
    /// follow the configuration.
    void serve(net::rpc_server& server);

    /// @brief State for /dump.
    [[nodiscard]] json dump() const;

    struct impl;

private:
    /// Calls in progress hold weak references to this state.
    std::shared_ptr<impl> impl_;
};

} // namespace dotterelport::config

#endif
