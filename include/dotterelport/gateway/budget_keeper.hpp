#ifndef DOTTERELPORT_GATEWAY_BUDGET_KEEPER_HPP
#define DOTTERELPORT_GATEWAY_BUDGET_KEEPER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
    /// @brief Version of that configuration; 0 if there was none.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

    /// These calls are forwarded to the shard_keeper of the workspace.
    void reserve(const std::string& workspace, const std::string& id, tokens upper_tokens,
                 reservation_handler done);
    void abandon(const std::string& workspace, const std::string& id);
    void settle(const std::string& workspace, const std::string& id, verdict ran,
                tokens prompt_tokens, tokens output_tokens);
    grant_prospect prospect(const std::string& workspace, tokens upper_tokens);

    /// @brief What reserve() would do now.
    [[nodiscard]] reservation_forecast forecast(const std::string& workspace,
                                                tokens upper_tokens) const;
    /// @brief As prospect(); nothing if this router has not used the shard.
    [[nodiscard]] std::optional<grant_prospect> known_prospect(const std::string& workspace,
                                                               tokens upper_tokens) const;

    /// @brief Begins a new era of the store, in which the ledger is recovered first.
    /// @param is_owner returns whether this gateway owns a shard
    /// @param receives_copies returns whether it receives a copy of a shard after each write
    void begin_era(object_store::store_era era, std::function<bool(std::uint32_t)> is_owner,
                   std::function<bool(std::uint32_t)> receives_copies);

    /// @brief Takes a ledger shard as another gateway last knew it, and recovers the shard if the
    /// store is in a newer era: its owner may be gone.
    void add_copy(std::uint32_t shard, budget::ledger_copy copy);

    /// @brief Newest known state of a shard that this gateway used or received a copy of.
    /// @param receives_copies whether this gateway receives a copy after each write
    [[nodiscard]] std::optional<budget::ledger_copy> newest_copy(std::uint32_t shard,
                                                                 bool receives_copies) const;

    /// @brief Sets a function that is called when this gateway has written a ledger shard.
    void on_ledger_written(std::function<void(std::uint32_t)> handler)
    {
        on_ledger_written_ = std::move(handler);
    }

    /// @brief Sets whether the fleet is large, a function that returns whether this gateway owns a
    /// shard, and one that is called when the store has returned after an outage.
    void follow_store(std::function<bool(std::uint32_t)> is_owner, std::function<void()> on_return);
    void set_large_fleet(bool is_large) { health_->is_large_fleet = is_large; }

    /// @brief Writes the usage of finished requests and returns idle tokens, as the store is back;
    /// budgets with the fewest remaining tokens first.
    void store_returned();

    /// @brief Returns the unused grants. Calls `done` once all changes are in the ledger.
    void drain(std::function<void()> done);

    [[nodiscard]] json dump() const;

private:
    shard_keeper& shard_of(const std::string& workspace);
    shard_keeper& activate(std::uint32_t number);
    [[nodiscard]] recovery_times recovery_of(std::uint32_t shard) const;

    net::event_loop& loop_;
    object_store::conditional_objects& objects_;
    incarnation self_;
    shard_keeper_settings settings_;
    std::shared_ptr<store_health> health_ = std::make_shared<store_health>();
    std::uint64_t generation_ = 0;
    std::map<std::uint32_t, std::shared_ptr<const budget::declaration>> declarations_;
    object_store::store_era era_ = 0;
    milliseconds era_began_{0};
    std::function<bool(std::uint32_t)> is_owner_;
    std::function<bool(std::uint32_t)> receives_copies_;
    std::function<bool(std::uint32_t)> owns_now_;
    std::function<void(std::uint32_t)> on_ledger_written_;
    /// Newest states of shards that other gateways have sent.
    std::map<std::uint32_t, budget::ledger_copy> received_copies_;
    /// Contains only the shards that this router has used.
    std::map<std::uint32_t, std::unique_ptr<shard_keeper>> shards_;
};

} // namespace dotterelport::gateway

#endif
