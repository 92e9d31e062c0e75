#ifndef DOTTERELPORT_BUDGET_HOLDER_CLOSING_HPP
#define DOTTERELPORT_BUDGET_HOLDER_CLOSING_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/budget/bill.hpp"
#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::budget {

/// A request that an agent still runs under a fenced holder.
struct fenced_request {
    request_key key;
    std::string budget;
    tokens upper = 0;
    std::uint32_t attempt = 1;
};

/// Closes the grants of a dead holder incarnation in one shard by proof: decides what to write
/// from the holder's batches and the answers of its agents. Several closers may work at once, and
/// a closer may start over at any time. Does no I/O.
class holder_closing {
public:
    /// @param agents agent incarnations in the holder's record
    holder_closing(std::uint32_t shard, incarnation holder, const std::set<incarnation>& agents);

    /// @brief Notes a batch of the holder that the platform has; batches come in any order.
    void add_batch(const bill_batch& batch);

    /// @brief Takes an agent's answer to the fence of the holder, for budgets of this shard.
    void agent_answered(const incarnation& agent, const std::vector<fenced_request>& running,
                        const std::vector<request::outcome>& outcomes);

    /// @brief Notes that an agent incarnation can never run or report anything again.
    void agent_gone(const incarnation& agent);

    /// @brief Next batch to write, only if absent, in the holder's sequence. The first one, which
    /// may be empty, bars the holder from writing batches.
    /// @param ledger as last read, with all known batches applied
    [[nodiscard]] std::optional<bill_batch> next_batch(const ledger_shard& ledger) const;

    /// @brief Brings the ledger in line with what is proved so far.
    /// @return whether anything changed
    bool apply(ledger_shard& ledger) const;

    /// @brief Tells whether every agent has answered or is gone.
    [[nodiscard]] bool is_proved() const { return missing_.empty(); }

    /// @brief Tells whether nothing is left but to remove the grants.
    [[nodiscard]] bool is_finished() const;

    /// @brief Tells whether an agent may forget an outcome.
    [[nodiscard]] bool is_billed(const request::outcome& outcome) const;

    /// @brief Agents that have not answered.
    [[nodiscard]] const std::set<incarnation>& missing() const { return missing_; }

private:
    using attempt_id = std::tuple<request_key, incarnation, std::uint32_t>;

    /// @brief Tells whether the tokens of an attempt are counted as unproved.
    [[nodiscard]] bool is_unproved(const attempt_id& attempt) const;
    [[nodiscard]] bool has_line(const request_key& key, const incarnation& agent) const;
    /// @brief Tells whether a request that was lost with its agent is billed or unproved.
    [[nodiscard]] bool is_counted(const unproved_use& lost) const;
    [[nodiscard]] bool has_unbilled() const;
    [[nodiscard]] bool needs_rest() const;
    [[nodiscard]] tokens running_under(const std::string& budget) const;
    [[nodiscard]] bool add_outcomes(bill_batch& batch) const;
    [[nodiscard]] bool add_lost(bill_batch& batch, const ledger_shard& ledger) const;
    [[nodiscard]] bool add_rest(bill_batch& batch, const ledger_shard& ledger) const;

    std::uint32_t shard_;
    incarnation holder_;
    std::set<incarnation> missing_;
    /// An agent that never answered is gone, so part of the grant cannot be accounted for.
    bool gone_unheard_ = false;
    std::map<std::uint64_t, bill_batch> batches_;
    /// Number of a batch of a closer; the holder can write none from there on.
    bool sealed_ = false;
    bool rest_written_ = false;
    /// Attempts that still ran when the rest was counted, and are not part of it.
    std::set<attempt_id> kept_;
    std::map<request_key, incarnation> billed_;
    std::set<attempt_id> unproved_;
    std::map<incarnation, std::vector<fenced_request>> running_;
    std::map<attempt_id, request::outcome> outcomes_;
    /// Requests that ran at an agent when it went.
    std::map<attempt_id, unproved_use> lost_;
};

} // namespace dotterelport::budget

#endif
