#ifndef DOTTERELPORT_ROUTER_BUDGET_SERVICE_HPP
#define DOTTERELPORT_ROUTER_BUDGET_SERVICE_HPP

#include <functional>
#include <memory>
#include <string>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/budget/sizing.hpp"
#include "dotterelport/config/follower.hpp"
#include "dotterelport/membership/directory.hpp"
#include "dotterelport/net/rpc.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::router {

/// Reservation of tokens for a request, made before the request is sent to an agent.
struct reserve_request {
    request_key key;
    std::string budget;
    tokens upper_tokens = 0;
    /// Agent incarnation that the request will be sent to.
    incarnation agent;
    /// Number of the attempt.
    std::uint32_t attempt = 1;
    /// Hash of the request's content.
    std::string digest;
    /// The key came from the caller, so another attempt may be running.
    bool has_caller_key = false;
};

/// A reservation that is no longer needed.
struct release_request {
    request_key key;
    /// Agent incarnation and attempt that the tokens were reserved for. Tokens that the same key
    /// has reserved for a later attempt stay reserved, as the message may arrive after them.
    incarnation agent;
    std::uint32_t attempt = 1;
};

/// Answer to a reservation.
enum class reserve_status {
    reserved,
    /// The key is running or ran at the agent named in the result.
    key_in_use,
    /// The ledger and the peers prove that the budget has too few tokens left, or the workspace has
    /// no such budget.
    exhausted,
    /// It could not be determined whether the budget has enough tokens, or this router cannot
    /// reserve at present.
    unavailable,
};

struct reserve_result {
    reserve_status status = reserve_status::unavailable;
    /// Router incarnation whose grant covers the request.
    incarnation holder;
    /// Endpoint of the holder for peers.
    std::string holder_address;
    incarnation agent;
};

/// Reserves, settles and bills tokens in a router. Sends each reservation to the owner of the
/// budget's shard; a router is itself the owner of some shards. Holds grants, writes bill batches,
/// closes the grants of dead routers and audits shards.
class budget_service {
public:
    struct context {
        net::event_loop& loop;
        object_store::client& platform;
        net::rpc_client& rpc;
        membership::directory& nodes;
        const config::follower& configuration;
        /// Determines the sizes of the grants that this router holds.
        budget::sizing_policy sizing = budget::small_requests();
    };

    explicit budget_service(const context& environment);
    ~budget_service();
    budget_service(const budget_service&) = delete;
    budget_service& operator=(const budget_service&) = delete;

    /// @brief Adds the RPC methods reserve, release, recall, outcomes and lookup.
    void serve(net::rpc_server& server);

    /// @brief Reserves tokens for a request, or reports where the request already runs. Repeating
    /// the call for the same key with another agent moves the reservation to that agent.
    void reserve(const reserve_request& request, std::function<void(const reserve_result&)> done);

    /// @brief Releases a reservation; allowed only after the verdict not_run.
    void release(const release_request& request);

    /// @brief Returns unused grants and writes open bill batches, for a graceful stop.
    void drain(const std::function<void()>& done);

    [[nodiscard]] json dump() const;

    struct impl;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace dotterelport::router

#endif
