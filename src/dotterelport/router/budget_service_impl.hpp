#ifndef DOTTERELPORT_ROUTER_BUDGET_SERVICE_IMPL_HPP
#define DOTTERELPORT_ROUTER_BUDGET_SERVICE_IMPL_HPP

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
#include "reserve_calls.hpp"
#include "shard_owner.hpp"

namespace dotterelport::router {

class holder_closer;
class shard_auditor;

/// Outcomes in an agent's RPC, whose reply waits until they are durable.
struct outcome_report {
    std::vector<request::outcome> outcomes;
    net::rpc_server::reply reply;
    milliseconds deadline{0};
};

/// State and internal operations of the budget service.
struct budget_service::impl : std::enable_shared_from_this<budget_service::impl> {
    explicit impl(const context& environment);

    void start();
    void tick();
    void run_maintenance();
    void audit();

    /// @brief Discards the shard owners if this router has a new incarnation.
    void update_incarnation();
    /// @brief Holder of this router's grants in a shard, created if necessary; null while this
    /// router is not registered or has no configuration.
    std::shared_ptr<shard_owner> owner_of(std::uint32_t shard);
    /// @brief Holder of this router's grants in a shard; null if there is none.
    [[nodiscard]] std::shared_ptr<shard_owner> existing_owner(std::uint32_t shard) const;
    [[nodiscard]] agent_registry::owner_list all_owners() const;
    [[nodiscard]] std::uint32_t shard_of(const std::string& workspace) const;

    /// @brief Owners of a shard in the other failure domains, in random order.
    [[nodiscard]] std::vector<membership::node_record> peers(std::uint32_t shard);

    /// @brief Sends a reservation to the owner of the budget's shard in this failure domain.
    void reserve_at_owner(const reserve_message& message,
                          std::function<void(const reserve_result&)> done);
    /// @brief Reserves from this router's grants in the shard.
    void reserve_here(const reserve_message& message,
                      std::function<void(const reserve_result&)> done);
    /// @brief Sends a reserve message to another router and cancels it there if no answer arrives.
    void call_reserve(const membership::node_record& to, reserve_message message,
                      milliseconds timeout, std::function<void(const net::rpc_result&)> done);
    void cancel_reserve(const membership::node_record& to, const cancel_message& message,
                        int attempts);
    /// @brief Serves a reserve message of another router.
    void serve_reserve(const reserve_message& message,
                       std::function<void(const reserve_result&)> done);
    /// @brief Replaces the verdict that a budget is exhausted if the asking router has a newer
    /// configuration, which may declare more tokens.
    [[nodiscard]] reserve_result judged_by_newest(const reserve_message& message,
                                                  const reserve_result& result) const;
    /// @brief Ends the call of a router that no longer waits for the answer.
    void serve_cancel(const cancel_message& message);
    void release_at_owner(const release_request& request);
    bool release_here(const release_request& request);
    [[nodiscard]] json lookup_here(const request_key& key) const;
    /// @brief Result with the given holder and this router's endpoint for peers.
    [[nodiscard]] reserve_result own_result(reserve_status status, const incarnation& holder,
                                            const incarnation& agent) const;

    void serve(net::rpc_server& server);
    void receive_outcomes(const json& parameters, net::rpc_server::reply reply);
    void complete_waiting_reports();
    void check_stale_reservations();

    /// @brief Calls another node and reports to the directory whether it answered.
    void call(const membership::node_record& to, const std::string& method, const json& parameters,
              milliseconds timeout, std::function<void(const net::rpc_result&)> done);

    context environment;
    incarnation current_incarnation;
    std::uint64_t configured_generation = 0;
    bool draining = false;
    std::map<std::uint32_t, std::shared_ptr<shard_owner>> owners;
    std::shared_ptr<agent_registry> agents;
    std::map<incarnation, std::shared_ptr<holder_closer>> closers;
    std::map<std::uint32_t, std::shared_ptr<shard_auditor>> auditors;
    std::vector<outcome_report> waiting_reports;
    reserve_calls calls;
    std::uint64_t last_call = 0;
    std::mt19937_64 random;
    std::unique_ptr<net::periodic_timer> flush_timer;
    std::unique_ptr<net::periodic_timer> maintenance_timer;
};

} // namespace dotterelport::router

#endif
