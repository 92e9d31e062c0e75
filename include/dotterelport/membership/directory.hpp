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

    /// @brief Registers with the next epoch and starts to follow. Retries while the platform is
    /// down.
    /// @param on_registered called once this incarnation is registered, also after rejoin()
    /// @param on_change called after each change of the view
    void start(std::function<void()> on_registered, std::function<void()> on_change);

    /// @brief Tells whether this incarnation is registered and not known to be closed.
    [[nodiscard]] bool is_registered() const;
    [[nodiscard]] const node_record& self() const;

    /// @brief Registers a new incarnation, after this one was closed by another router.
    void rejoin();

    /// @brief Adds agent incarnations to this node's record.
    /// @param done false if this incarnation is closed or the platform is down
    void add_agents(const std::vector<incarnation>& agents, std::function<void(bool)> done);
    void remove_agents(const std::vector<incarnation>& agents, std::function<void(bool)> done);

    /// @brief Writes this node's state, for a graceful stop.
    void set_state(node_state state, std::function<void(bool)> done);

    /// @brief Starts to close another router's incarnation by a conditional update of its record.
    /// @param done the record with its agents, or nothing if it could not be changed
    void begin_closing(const incarnation& other,
                       std::function<void(const std::optional<node_record>&)> done);
    void finish_closing(const incarnation& other, std::function<void(bool)> done);

    /// @brief Reports whether a node answered, from RPCs and requests. Silent nodes leave
    /// live_nodes().
    void report_contact(const std::string& node, bool answered);

    /// @brief Marks a node as leaving by its own word, before its record says so.
    void report_leaving(const std::string& node);

    /// @brief All known records, this node's included.
    [[nodiscard]] std::vector<node_record> nodes() const;

    /// @brief Nodes that are neither leaving, closed, silent nor on a VM that is leaving or gone.
    [[nodiscard]] std::vector<node_record> live_nodes(node_role role) const;

    [[nodiscard]] std::optional<node_record> find(const std::string& node) const;

    /// @brief Tells whether an incarnation can never run again: a newer one registered, or its VM
    /// is gone from the platform's list.
    [[nodiscard]] bool is_gone(const incarnation& other) const;

    /// @brief Routers that did not answer for long and whose grants should be closed by this node.
    [[nodiscard]] std::vector<incarnation> routers_to_close() const;

    /// @brief Routers that this node probes (about once a second, with report_contact() after each
    /// answer), so that a silent router is noticed without every router probing every other.
    [[nodiscard]] std::vector<node_record> routers_to_probe() const;

    /// @brief Router of this node's failure domain, or of another, that owns a budget shard.
    [[nodiscard]] std::optional<node_record> shard_owner(std::uint32_t shard,
                                                         const std::string& failure_domain) const;

    /// @brief Failure domains with at least one live router, this node's first.
    [[nodiscard]] std::vector<std::string> failure_domains() const;

    [[nodiscard]] json dump() const;

    struct native;

private:
    std::unique_ptr<native> native_;
};

} // namespace dotterelport::membership

#endif
