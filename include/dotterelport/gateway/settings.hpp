#ifndef DOTTERELPORT_GATEWAY_SETTINGS_HPP
#define DOTTERELPORT_GATEWAY_SETTINGS_HPP

#include <cstdint>
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
    /// Address for callers.
    net::endpoint callers;
    /// Address for /readyz, /metrics and /dump.
    net::endpoint operators;
    /// Address for datagrams of other gateways.
    net::endpoint peers;
    /// Object store of the platform.
    net::endpoint store;
    /// Port of the relays to the store beside the model engines.
    std::uint16_t relay_port = 0;
    severity log_level = severity::info;
    /// Time between the order to stop and the kill.
    milliseconds grace{8'000};
    /// Further sends allowed for each request of a service, in all gateways together.
    double retry_share = 0.2;
    /// Further sends of a service allowed besides, in all gateways together.
    double retry_reserve = 50;

    bool operator==(const settings&) const = default;
};

/// @brief Reads the settings of a gateway.
/// @throws format_error naming the field that is missing or has the wrong form
settings read_settings(const std::string& path);

/// @brief Converts settings that were read from a source.
/// @throws format_error naming the field that is missing or has the wrong form
settings parse_settings(const json& document, const std::string& source);

} // namespace dotterelport::gateway

#endif
