#ifndef DOTTERELPORT_GATEWAY_BUDGET_KEEPER_HPP
#define DOTTERELPORT_GATEWAY_BUDGET_KEEPER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "dotterelport/gateway/service_catalogue.hpp"
#include "dotterelport/gateway/shard_keeper.hpp"

namespace dotterelport::gateway {

/// Number of ledger objects among which the workspaces are distributed, so that routers that change
/// the budgets of different workspaces rarely conflict.
inline constexpr std::uint32_t ledger_shards = 16;

/// @brief Shard whose ledger object holds the budget of a workspace.
std::uint32_t ledger_shard_of(const std::string& workspace);

/// Manages the grants of this router in all shards of the ledger.
class budget_keeper {
public:
    using reservation_handler = shard_keeper::reservation_handler;

    budget_keeper(net::event_loop& loop, object_store::conditional_objects& objects,
                  incarnation self, const shard_keeper_settings& settings = {});

    /// @brief Sets the prepaid totals from a configuration.
    void declare(const service_catalogue& catalogue);

    /// These calls are forwarded to the shard_keeper of the workspace.
    void reserve(const std::string& workspace, const std::string& id, tokens upper_tokens,
                 reservation_handler done);
    void abandon(const std::string& workspace, const std::string& id);
    void settle(const std::string& workspace, const std::string& id, verdict ran,
                tokens prompt_tokens, tokens output_tokens);

    /// @brief Returns the unused grants. Calls `done` once all changes are in the ledger.
    void drain(std::function<void()> done);

    [[nodiscard]] json dump() const;

private:
    shard_keeper& shard_of(const std::string& workspace);

    net::event_loop& loop_;
    object_store::conditional_objects& objects_;
    incarnation self_;
    shard_keeper_settings settings_;
    std::shared_ptr<store_health> health_ = std::make_shared<store_health>();
    std::map<std::uint32_t, std::shared_ptr<const budget::declaration>> declarations_;
    /// Contains only the shards that this router has used.
    std::map<std::uint32_t, std::unique_ptr<shard_keeper>> shards_;
};

} // namespace dotterelport::gateway

#endif
