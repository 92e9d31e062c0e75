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

/// Result of a reservation at one shard owner.
enum class owner_answer {
    reserved,
    /// The key is reserved for another router's attempt or has finished; the holder records its
    /// agent.
    known,
    /// Neither the grant nor the ledger has enough tokens.
    insufficient_tokens,
    /// The grant has too few tokens and the platform does not answer.
    unreachable,
    /// This incarnation was closed by another router.
    closed,
};

/// Holds the grants of this router incarnation in one shard. Runs the rounds of a
/// budget::shard_session against the platform; requests that need a larger grant wait for a round.
class shard_owner : public std::enable_shared_from_this<shard_owner> {
public:
    shard_owner(const budget_service::context& environment, std::uint32_t shard,
                const incarnation& self);

    /// @brief Sets the budgets that the configuration in force declares, and starts a round that
    /// writes them to the ledger.
    void configure(std::shared_ptr<const budget::declaration> declaration);

    /// @brief Generation of the configuration that declared the budgets; 0 if there was none.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

    /// @brief Reserves from this holder's grant only.
    owner_answer try_reserve(const reserve_message& message);

    /// @brief Reserves from this holder's grant; if that has too few tokens, requests a larger
    /// grant from the ledger.
    void reserve(const reserve_message& message, std::function<void(owner_answer)> done);

    /// @brief Returns unused tokens of grants to the ledger.
    /// @param done receives the number of returned tokens by budget
    void recall(const std::vector<std::string>& budgets,
                std::function<void(const std::map<std::string, tokens>&)> done);

    /// @brief Starts a round; if one is running, the new one follows it.
    /// @param done called at the end of the first round that starts after this call
    void run_round(std::function<void(budget::round_outcome)> done);

    /// @brief Starts a round unless one is running.
    void tick();

    [[nodiscard]] budget::shard_session& session() { return session_; }
    [[nodiscard]] const budget::shard_session& session() const { return session_; }

private:
    using round_callback = std::function<void(budget::round_outcome)>;

    void start();
    void perform(const budget::io_step& step);
    void continue_round(std::optional<budget::io_step> step);
    template<typename Result> void resume(const Result& result);
    void complete_waiting_request(const reserve_message& message, budget::round_outcome outcome,
                                  const std::function<void(owner_answer)>& done);

    budget_service::context context_;
    budget::shard_session session_;
    std::uint64_t generation_ = 0;
    bool running_ = false;
    /// Called at the end of the running round and of the next one.
    std::vector<round_callback> current_callbacks_;
    std::vector<round_callback> next_callbacks_;
};

/// @brief Budgets that a configuration declares in a shard.
std::shared_ptr<const budget::declaration> declaration_of(const config::snapshot& snapshot,
                                                          std::uint32_t shard);

} // namespace dotterelport::router

#endif
