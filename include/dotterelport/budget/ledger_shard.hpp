#ifndef DOTTERELPORT_BUDGET_LEDGER_SHARD_HPP
#define DOTTERELPORT_BUDGET_LEDGER_SHARD_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/budget/bill.hpp"
#include "dotterelport/object_store/conditional_objects.hpp"

namespace dotterelport::budget {

/// Part of a budget that one holder incarnation may spend.
struct grant {
    tokens amount = 0;
    /// Billed or unproved under this grant.
    tokens settled = 0;
    /// Last bill batch of the holder that is counted in settled.
    std::uint64_t applied_batch = 0;

    /// @brief Tokens that the holder may still spend.
    [[nodiscard]] tokens open() const { return amount > settled ? amount - settled : 0; }

    bool operator==(const grant&) const = default;
};

/// State of one budget in the ledger.
struct ledger_entry {
    std::string workspace;
    tokens prepaid = 0;
    /// Configuration generation that declared prepaid.
    std::uint64_t generation = 0;
    /// Upper limit of total(): the prepaid amount, or the tokens that were already used or granted
    /// when the prepaid amount was lowered.
    tokens ceiling = 0;
    /// Billed tokens, less the tokens that the audit voided.
    tokens settled = 0;
    /// Tokens that may have been used but cannot be billed; they count as spent.
    tokens unproved = 0;
    /// Tokens that the audit voided, for information.
    tokens voided = 0;
    /// The invariant was violated, so nothing more is granted.
    bool stopped = false;
    std::map<incarnation, grant> grants;

    [[nodiscard]] tokens open() const;
    [[nodiscard]] tokens total() const { return settled + unproved + open(); }

    /// @brief Tokens that can still be granted.
    [[nodiscard]] tokens grantable() const;

    bool operator==(const ledger_entry&) const = default;
};

/// Budgets of a shard as one configuration generation declares them.
struct declaration {
    struct item {
        std::string workspace;
        std::string budget;
        tokens prepaid = 0;
    };

    std::uint64_t generation = 0;
    std::vector<item> budgets;
};

/// Value of one object "budget/<shard>". Each change checks settled + unproved + open <= ceiling;
/// a violation is logged and stops the budget.
class ledger_shard {
public:
    explicit ledger_shard(std::uint32_t shard) : shard_(shard) {}

    /// @brief Sets the prepaid amounts, if the generation is newer than the last declared one.
    /// Budgets that the generation lacks get a prepaid amount of 0.
    /// @return whether anything changed
    bool declare(const declaration& new_declaration);

    /// @brief Sets the amount of a grant; opens the grant if needed. A grant grows at most by the
    /// tokens that the budget can still grant, and its amount never falls below the tokens settled
    /// under it.
    /// @param last_batch number of the holder's last bill batch, for a grant that is opened
    /// @return the amount after the change
    tokens set_grant(const std::string& budget, const incarnation& holder, tokens amount,
                     std::uint64_t last_batch);

    /// @brief Lowers the amount of a grant, also of a closed holder, but not below the tokens
    /// settled under it.
    void shrink_grant(const std::string& budget, const incarnation& holder, tokens amount);

    /// @brief Removes a grant and returns its open tokens to the budget.
    /// @return whether the grant existed
    bool remove_grant(const std::string& budget, const incarnation& holder);

    /// @brief Applies a bill batch at most once. A budget in which the holder has no grant is
    /// skipped, because it has applied the batch before.
    /// @return whether anything changed
    bool apply_batch(const bill_batch& batch);

    /// @brief Applies a bill batch to a ledger that may lack it, and the grants that it was billed
    /// under, because the store lost them. At most once, as apply_batch().
    /// @return whether anything changed
    bool restore_batch(const bill_batch& batch);

    /// @brief Opens a grant or raises it to an amount that its holder uses already, even if the
    /// budget does not cover it.
    /// @param last_batch number of the holder's last applied bill batch, for a grant that is opened
    /// @return whether anything changed
    bool restore_grant(const std::string& budget, const incarnation& holder, tokens amount,
                       std::uint64_t last_batch);

    /// @brief Counts as spent, once, what other holders may have used since this ledger was
    /// written: three quarters of the grantable tokens, or as many as are open under their grants
    /// if that is more.
    void withhold_unknown(const incarnation& self);

    /// @brief Returns whether a written batch is applied to all its budgets.
    [[nodiscard]] bool is_applied(const bill_batch& batch) const;

    /// @brief Applies the result of an audit at most once.
    /// @return whether anything changed
    bool apply_voids(const void_batch& batch);

    /// @brief Moves the audit cursor forward, after an audit that found nothing.
    bool advance_cursor(std::uint64_t cursor);

    /// @brief Prevents a holder incarnation and earlier incarnations of its node from opening or
    /// growing grants.
    /// @return whether anything changed
    bool mark_closed(const incarnation& holder);
    [[nodiscard]] bool is_closed(const incarnation& holder) const;

    /// @brief Era of the store in which the ledger was written.
    [[nodiscard]] object_store::store_era era() const { return era_; }
    void set_era(object_store::store_era era) { era_ = era; }

    /// @brief Number of a holder's last applied bill batch; 0 if none was.
    [[nodiscard]] std::uint64_t last_batch(const incarnation& holder) const;

    [[nodiscard]] std::uint32_t shard() const { return shard_; }
    [[nodiscard]] std::uint64_t generation() const { return generation_; }
    [[nodiscard]] std::uint64_t audit_cursor() const { return audit_cursor_; }
    [[nodiscard]] std::uint64_t last_void_batch() const { return last_void_batch_; }
    [[nodiscard]] const std::map<std::string, ledger_entry>& budgets() const { return budgets_; }
    [[nodiscard]] const ledger_entry* find(const std::string& budget) const;
    [[nodiscard]] const grant* find_grant(const std::string& budget,
                                          const incarnation& holder) const;

    bool operator==(const ledger_shard&) const = default;

private:
    friend json to_json(const ledger_shard& value);
    friend ledger_shard parse_ledger_shard(std::string_view text);

    void check(const std::string& name, ledger_entry& entry);
    /// @brief Raises the ceiling to what is used and granted, which cannot be undone any more.
    void accept_total(const std::string& name, ledger_entry& entry);

    std::uint32_t shard_;
    object_store::store_era era_ = 0;
    std::uint64_t generation_ = 0;
    std::uint64_t audit_cursor_ = 0;
    std::uint64_t last_void_batch_ = 0;
    /// Highest closed epoch of each router.
    std::map<std::string, std::uint64_t> closed_;
    /// Number of each holder's last applied bill batch, also after its grants were removed.
    std::map<incarnation, std::uint64_t> last_batches_;
    std::map<std::string, ledger_entry> budgets_;
};

json to_json(const ledger_shard& value);

/// @throws format_error if the text is not a ledger shard
ledger_shard parse_ledger_shard(std::string_view text);

} // namespace dotterelport::budget

#endif
