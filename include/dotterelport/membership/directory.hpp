#ifndef DOTTERELPORT_MEMBERSHIP_DIRECTORY_HPP
#define DOTTERELPORT_MEMBERSHIP_DIRECTORY_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/membership/node_record.hpp"
#include "dotterelport/membership/rendezvous.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::membership {

/// Registers this node in the platform and follows the records of all nodes and the VM list.
class directory {
public:
    directory(net::event_loop& loop, object_store::client& platform, const node_record& self);
    ~directory();
    directory(const directory&) = delete;
    directory& operator=(const directory&) = delete;

    /// @brief Registers a new incarnation with the next epoch and starts polling the node records
    /// and the VM list. Retries while the platform is unavailable.
    /// @param on_registered called once this incarnation is registered, also after rejoin()
    /// @param on_change called after each change of the view
    void start(std::function<void()> on_registered, std::function<void()> on_change);

    /// @brief Returns whether this incarnation is registered and not known to be closed.
    [[nodiscard]] bool is_registered() const;
    [[nodiscard]] const node_record& self() const;

    /// @brief Registers a new incarnation after another router closed the current one.
    void rejoin();

    /// @brief Adds agent incarnations to this node's record.
    /// @param done false if this incarnation is closed or the change could not be written
    void add_agents(const std::vector<incarnation>& agents, std::function<void(bool)> done);
    void remove_agents(const std::vector<incarnation>& agents, std::function<void(bool)> done);

    /// @brief Writes this node's state, for a graceful stop.
    void set_state(node_state state, std::function<void(bool)> done);

    /// @brief Starts to close another router's incarnation by a conditional update of its record.
    /// @param done the record with its agents, or nothing if it could not be changed
    void begin_closing(const incarnation& other,
                       std::function<void(const std::optional<node_record>&)> done);
    void finish_closing(const incarnation& other, std::function<void(bool)> done);

    /// @brief Records whether a node answered an RPC or a request. A node that stops answering
    /// becomes silent and is left out of live_nodes().
    void report_contact(const std::string& node, bool answered);

    /// @brief Marks a node as leaving after the node announced it, before its record shows it.
    void report_leaving(const std::string& node);

    /// @brief All known records, this node's included.
    [[nodiscard]] std::vector<node_record> nodes() const;

    /// @brief Nodes that are not leaving, closing, closed or silent, and whose VM is neither
    /// leaving nor gone.
    [[nodiscard]] std::vector<node_record> live_nodes(node_role role) const;

    [[nodiscard]] std::optional<node_record> find(const std::string& node) const;

    /// @brief Returns whether an incarnation can never run again: a newer one registered, or its VM
    /// is gone from the platform's list.
    [[nodiscard]] bool is_gone(const incarnation& other) const;

    /// @brief Router incarnations whose grants this node should close: they were replaced by a
    /// newer incarnation, lost their VM, were silent for too long, or were left in state closing.
    [[nodiscard]] std::vector<incarnation> routers_to_close() const;

    /// @brief Routers that this node should probe about once a second, with a call to
    /// report_contact() after each probe. Each router is probed by a few others only, so that
    /// silent routers are detected without every router probing every other.
    [[nodiscard]] std::vector<node_record> routers_to_probe() const;

    /// @brief Router of this node's failure domain, or of another, that owns a budget shard.
    [[nodiscard]] std::optional<node_record> shard_owner(std::uint32_t shard,
                                                         const std::string& failure_domain) const;

    /// @brief Failure domains with at least one live router, this node's first.
    [[nodiscard]] std::vector<std::string> failure_domains() const;

    [[nodiscard]] json dump() const;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace dotterelport::membership

#endif
