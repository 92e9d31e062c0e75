#ifndef DOTTERELPORT_ROUTER_SHARD_OWNER_HPP
#define DOTTERELPORT_ROUTER_SHARD_OWNER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "budget_messages.hpp"
#include "dotterelport/budget/shard_session.hpp"
#include "dotterelport/router/budget_service.hpp"

namespace dotterelport::router {

/// Result of a reservation at one owner.
enum class owner_answer {
    reserved,
    /// The key runs or ran; the holder knows where.
    known,
    /// Neither the grant nor the ledger has room.
    no_room,
    /// The grant has no room and the platform does not answer.
    unreachable,
    /// This incarnation was closed by another router.
    closed,
};

/// Grants of this router incarnation in one shard: runs the rounds of a budget::shard_session
/// against the platform and lets requests wait for them.
class shard_owner : public std::enable_shared_from_this<shard_owner> {
public:
    shard_owner(const budget_service::context& environment, std::uint32_t shard,
                const incarnation& self);

    /// @brief Sets what the configuration in force declares, and writes it.
    void configure(std::shared_ptr<const budget::declaration> value);

    /// @brief Reserves from the own grant.
    owner_answer try_reserve(const reserve_message& message);

    /// @brief Reserves from the own grant, or asks the ledger for a larger one.
    void reserve(const reserve_message& message, std::function<void(owner_answer)> done);

    /// @brief Returns the unused parts of grants to the ledger.
    /// @param done gets the tokens returned by budget
    void recall(const std::vector<std::string>& budgets,
                std::function<void(const std::map<std::string, tokens>&)> done);

    /// @brief Starts a round, or another one after the running one.
    /// @param done called at the end of the first round that starts from now on
    void run_round(std::function<void(budget::round_outcome)> done);

    /// @brief Starts a round unless one runs.
    void tick();

    [[nodiscard]] budget::shard_session& session() { return session_; }
    [[nodiscard]] const budget::shard_session& session() const { return session_; }

private:
    using round_function = std::function<void(budget::round_outcome)>;

    void start();
    void perform(const budget::io_step& step);
    void go_on(std::optional<budget::io_step> step);
    template<typename Result> void resume(const Result& result);
    void finish_waiting(const reserve_message& message, budget::round_outcome outcome,
                        const std::function<void(owner_answer)>& done);

    budget_service::context context_;
    budget::shard_session session_;
    bool running_ = false;
    /// Functions for the round that runs and for the next one.
    std::vector<round_function> current_;
    std::vector<round_function> next_;
};

/// @brief Extracts the budgets of a shard from a configuration.
std::shared_ptr<const budget::declaration> declaration_of(const config::snapshot& snapshot,
                                                          std::uint32_t shard);

} // namespace dotterelport::router

#endif
