#ifndef DOTTERELPORT_GATEWAY_SETTINGS_HPP
#define DOTTERELPORT_GATEWAY_SETTINGS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/log.hpp"
#include "dotterelport/net/endpoint.hpp"

namespace dotterelport::gateway {

/// Settings of a gateway process.
struct settings {
    /// Name of the node; unique among the running gateways.
    std::string name;
    std::string failure_domain;
    /// Listening address for callers.
    net::endpoint callers;
    /// Listening address for /readyz, /metrics and /dump.
    net::endpoint operators;
    /// Listening address for datagrams of other gateways.
    net::endpoint peers;
    /// Address of the platform's object store.
    net::endpoint store;
    /// Port of the relays to the store that run on the VMs of the model engines.
    std::uint16_t relay_port = 0;
    /// Processor share of the VM in cores; gateways own parts of the budgets in proportion to it.
    double cpu_share = 1.0;
    severity log_level = severity::info;
    /// Time from the stop order until the process is killed.
    milliseconds grace{8'000};
    /// Retries allowed per request of a service, in all gateways together.
    double retry_share = 0.2;
    /// Retries of a service allowed in addition to its retry share, in all gateways together.
    double retry_reserve = 50;
    /// Second sends of slow requests that may be repeated, per request of a service; 0 switches
    /// them off.
    double second_send_share = 0;
    /// Region of each failure domain, for routes and workspaces that are restricted to regions.
    std::map<std::string, std::string> regions;
    /// Operators can evacuate failure domains of this deployment.
    bool evacuations = false;
    /// Reject or hold requests while capacity is short, for services whose servers state their
    /// slowdown.
    bool admission = true;
    /// Memory of the VM in MB, and number of descriptors that the process may open.
    std::size_t memory_mb = 256;
    std::size_t max_fds = 1'024;
    /// Callers are sent to other gateways while this one is short of capacity and others are not;
    /// absent: if another gateway has a larger processor share.
    std::optional<bool> overload_relief = std::nullopt;

    bool operator==(const settings&) const = default;
};

/// @brief Reads the settings of a gateway.
/// @throws format_error naming the field that is missing or has the wrong form
settings read_settings(const std::string& path);

/// @brief Converts settings that were read from `source`, which is named in errors.
/// @throws format_error naming the field that is missing or has the wrong form
settings parse_settings(const json& document, const std::string& source);

} // namespace dotterelport::gateway

#endif
