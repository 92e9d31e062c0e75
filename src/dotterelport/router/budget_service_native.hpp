#ifndef DOTTERELPORT_ROUTER_BUDGET_SERVICE_NATIVE_HPP
#define DOTTERELPORT_ROUTER_BUDGET_SERVICE_NATIVE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "agent_registry.hpp"
#include "budget_messages.hpp"
#include "dotterelport/budget/bill.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/request/messages.hpp"
#include "dotterelport/router/budget_service.hpp"
#include "shard_owner.hpp"

namespace dotterelport::router {

class holder_closer;
class shard_auditor;

/// An RPC of an agent that waits until its outcomes are durable.
struct waiting_outcomes {
    std::vector<request::outcome> outcomes;
    net::rpc_server::reply reply;
    milliseconds deadline{0};
};

/// State that the parts of the budget service share.
struct budget_service::native : std::enable_shared_from_this<budget_service::native> {
    explicit native(const context& environment);

    void start();
    void tick();
    void slow_tick();
    void audit();

    /// @brief Replaces the owners after this router took a new incarnation.
    void follow_incarnation();
    /// @brief Own grants in a shard; null while this router is not registered or has no
    /// configuration.
    std::shared_ptr<shard_owner> owner_of(std::uint32_t shard);
    /// @brief Own grants in a shard, if this router has any.
    [[nodiscard]] std::shared_ptr<shard_owner> existing_owner(std::uint32_t shard) const;
    [[nodiscard]] agent_registry::owner_list all_owners() const;
    [[nodiscard]] std::uint32_t shard_of(const std::string& workspace) const;

    /// @brief Owners of a shard in the other failure domains, in random order.
    [[nodiscard]] std::vector<membership::node_record> peers(std::uint32_t shard);

    /// @brief Asks the owner of the budget's shard in this failure domain.
    void reserve_at_owner(const reserve_message& message,
                          std::function<void(const reserve_result&)> done);
    /// @brief Reserves as owner of the shard.
    void reserve_here(const reserve_message& message,
                      std::function<void(const reserve_result&)> done);
    void release_at_owner(const request_key& key);
    bool release_here(const request_key& key);
    [[nodiscard]] json lookup_here(const request_key& key) const;
    /// @brief Result that names the holder an owner reserves for.
    [[nodiscard]] reserve_result own_result(reserve_status status, const incarnation& holder,
                                            const incarnation& agent) const;

    void serve(net::rpc_server& server);
    void take_outcomes(const json& parameters, net::rpc_server::reply reply);
    void answer_durable();
    void check_old_reservations();

    /// @brief Calls another router and reports the contact.
    void call(const membership::node_record& to, const std::string& method, const json& parameters,
              milliseconds timeout, std::function<void(const net::rpc_result&)> done);

    context environment;
    incarnation current;
    std::uint64_t generation = 0;
    bool draining = false;
    std::map<std::uint32_t, std::shared_ptr<shard_owner>> owners;
    std::shared_ptr<agent_registry> agents;
    std::map<incarnation, std::shared_ptr<holder_closer>> closers;
    std::map<std::uint32_t, std::shared_ptr<shard_auditor>> auditors;
    std::vector<waiting_outcomes> waiting;
    std::mt19937_64 random;
    std::unique_ptr<net::periodic_timer> timer;
    std::unique_ptr<net::periodic_timer> slow_timer;
};

} // namespace dotterelport::router

#endif
