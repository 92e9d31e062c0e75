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
    tokens upper_tokens = 0;
    std::uint32_t attempt = 1;
};

/// Closes the grants of a dead holder incarnation in one shard. Decides what to write from the
/// holder's batches and the answers of its agents, so that a grant is released only after its use
/// is proved or counted as unproved. Several closers may work at once, and a closer may start over
/// at any time. Does no I/O.
class holder_closing {
public:
    /// @param agents agent incarnations in the holder's record
    holder_closing(std::uint32_t shard, incarnation holder, const std::set<incarnation>& agents);

    /// @brief Records a batch of the holder that is stored on the platform; batches may be added in
    /// any order.
    void add_batch(const bill_batch& batch);

    /// @brief Records an agent's answer to the request to fence the holder, for budgets of this
    /// shard.
    void agent_answered(const incarnation& agent, const std::vector<fenced_request>& running,
                        const std::vector<request::outcome>& outcomes);

    /// @brief Records that an agent incarnation can no longer run or report requests.
    void agent_gone(const incarnation& agent);

    /// @brief Next batch to write in the holder's sequence, on the condition that its object does
    /// not exist. The first batch may be empty; it prevents the holder from writing further
    /// batches.
    /// @param ledger as last read, with all known batches applied
    [[nodiscard]] std::optional<bill_batch> next_batch(const ledger_shard& ledger) const;

    /// @brief Marks the holder as closed in the ledger, applies the known batches, and shrinks or
    /// removes the grants as far as their use is proved.
    /// @return whether anything changed
    bool apply(ledger_shard& ledger) const;

    /// @brief Returns whether every agent has answered or is gone.
    [[nodiscard]] bool is_proved() const { return unanswered_.empty(); }

    /// @brief Returns whether only the grants remain to be removed.
    [[nodiscard]] bool is_finished() const;

    /// @brief Returns whether an agent may forget an outcome, because no further batch has to count
    /// it.
    [[nodiscard]] bool is_covered(const request::outcome& outcome) const;

    /// @brief Agents that have not answered.
    [[nodiscard]] const std::set<incarnation>& unanswered_agents() const { return unanswered_; }

private:
    using attempt_id = std::tuple<request_key, incarnation, std::uint32_t>;

    /// @brief Returns whether the tokens of an attempt are counted as unproved.
    [[nodiscard]] bool is_unproved(const attempt_id& attempt) const;
    [[nodiscard]] bool has_line(const request_key& key, const incarnation& agent) const;
    /// @brief Returns whether a request that was lost with its agent is billed or unproved.
    [[nodiscard]] bool is_counted(const unproved_use& lost) const;
    [[nodiscard]] bool has_unbilled() const;
    [[nodiscard]] bool needs_remainder() const;
    [[nodiscard]] tokens running_tokens(const std::string& budget) const;
    [[nodiscard]] bool add_outcomes(bill_batch& batch) const;
    [[nodiscard]] bool add_lost(bill_batch& batch, const ledger_shard& ledger) const;
    [[nodiscard]] bool add_remainder(bill_batch& batch, const ledger_shard& ledger) const;

    std::uint32_t shard_;
    incarnation holder_;
    std::set<incarnation> unanswered_;
    /// An agent was gone before it answered, so part of the grant cannot be attributed to requests.
    bool gone_unanswered_ = false;
    std::map<std::uint64_t, bill_batch> batches_;
    /// A closer has written a batch, so the holder can write no further batches.
    bool sealed_ = false;
    bool remainder_written_ = false;
    /// Attempts that were still running when the remainder was counted, and are not part of it.
    std::set<attempt_id> kept_;
    std::map<request_key, incarnation> billed_;
    std::set<attempt_id> unproved_;
    std::map<incarnation, std::vector<fenced_request>> running_;
    std::map<attempt_id, request::outcome> outcomes_;
    /// Attempts that were running at agents that are gone.
    std::map<attempt_id, unproved_use> lost_;
};

} // namespace dotterelport::budget

#endif
