#ifndef DOTTERELPORT_PROCESS_SETTINGS_HPP
#define DOTTERELPORT_PROCESS_SETTINGS_HPP

#include <cstddef>
#include <optional>
#include <string>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/log.hpp"
#include "dotterelport/net/endpoint.hpp"

namespace dotterelport::process {

/// Settings of a daemon, read from a JSON file.
struct settings {
    /// Node name, unique in the fleet.
    std::string name;
    /// Name of the VM in the platform's list of VMs.
    std::string vm;
    std::string region;
    std::string failure_domain;
    /// Routers only: address to listen on for callers.
    std::optional<net::endpoint> callers_address;
    /// Addresses to listen on for other nodes and for operators.
    net::endpoint peers_address;
    net::endpoint operators_address;
    net::endpoint platform;
    /// Agents only: name of the service and address of the backend server.
    std::string service;
    std::optional<net::endpoint> backend_server;
    net::address_overrides address_overrides;
    /// Longest time that a graceful shutdown waits for requests in progress.
    milliseconds drain_timeout{300'000};
    /// Memory of the VM and descriptors that the process may open; they limit what clients may make
    /// it hold.
    std::size_t memory_mb = 256;
    std::size_t max_fds = 1'024;
    std::string log_file = "-";
    severity log_level = severity::info;
};

/// Kind of daemon; determines which settings are required and allowed.
enum class daemon_kind {
    router,
    agent,
};

/// @brief Reads and checks a settings file.
/// @throws format_error with the file, the JSON path and the expected value
settings read_settings(const std::string& path, daemon_kind kind);

} // namespace dotterelport::process

#endif
