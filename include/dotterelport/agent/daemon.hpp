#ifndef DOTTERELPORT_AGENT_DAEMON_HPP
#define DOTTERELPORT_AGENT_DAEMON_HPP

#include <memory>

#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/process/settings.hpp"

namespace dotterelport::agent {

/// An agent process: registers in the platform, follows the configuration, listens on the peers'
/// and operators' ports, and drains before it stops.
class daemon {
public:
    /// @throws error if a port cannot be bound
    daemon(net::event_loop& loop, const process::settings& settings);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// @brief Refuses new requests, finishes the running ones, waits until the outcomes are
    /// durable, and then stops the loop. The loop is stopped at the latest after the drain timeout.
    void drain();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dotterelport::agent

#endif
