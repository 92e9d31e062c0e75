#ifndef DOTTERELPORT_PROCESS_SETTINGS_HPP
#define DOTTERELPORT_PROCESS_SETTINGS_HPP

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
    /// Name of the VM in the platform's list.
    std::string vm;
    std::string region;
    std::string failure_domain;
    /// Routers only: port for callers.
    std::optional<net::endpoint> callers;
    net::endpoint peers;
    net::endpoint operators;
    net::endpoint platform;
    /// Agents only: name of the service and address of the backend server.
    std::string service;
    std::optional<net::endpoint> backend_server;
    net::address_overrides overrides;
    /// Longest time that a graceful stop waits for requests in progress.
    milliseconds drain_timeout{300'000};
    std::string log_file = "-";
    severity log_level = severity::info;
};

/// Role that a settings file is checked for.
enum class daemon_kind {
    router,
    agent,
};

/// @brief Reads and checks a settings file.
/// @throws format_error with file, JSON path and what was expected
settings read_settings(const std::string& path, daemon_kind kind);

} // namespace dotterelport::process

#endif
