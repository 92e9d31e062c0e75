#ifndef DOTTERELPORT_BUDGET_BILL_AUDIT_HPP
#define DOTTERELPORT_BUDGET_BILL_AUDIT_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dotterelport/budget/bill.hpp"
#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::budget {

/// Finds requests that are billed more than once in one shard. Batches are read in the order of
/// their platform revisions, so that every auditor keeps the same line of a key and voids the
/// others.
class bill_audit {
public:
    /// @param remembered_keys maximum number of keys to remember; the oldest keys are evicted
    /// first, and a later duplicate of an evicted key stays billed
    explicit bill_audit(std::uint32_t shard, std::size_t remembered_keys = 1'000'000);

    /// @brief Revision from which the next listing of batches should start.
    [[nodiscard]] object_store::version cursor() const { return cursor_; }

    /// @brief Reads listed batches. Stops before the first batch that the ledger has not applied
    /// yet.
    /// @param objects objects under bill_prefix(shard) that changed after cursor()
    /// @param ledger ledger, read after the listing
    /// @throws format_error if an object is not a bill batch
    void read(const std::vector<object_store::object>& objects, const ledger_shard& ledger);

    /// @brief Voided lines to write, if there are duplicates after the ledger's audit cursor.
    [[nodiscard]] std::optional<void_batch> result(const ledger_shard& ledger) const;

    /// @brief Returns whether there are findings that the ledger may not have applied yet.
    [[nodiscard]] bool has_findings() const { return !findings_.empty(); }

    /// @brief Drops the findings that the ledger has applied.
    void forget_counted(const ledger_shard& ledger);

private:
    struct line_location {
        incarnation holder;
        std::uint64_t batch = 0;
    };
    struct finding {
        object_store::version revision = 0;
        voided_line line;
    };

    void read_batch(const bill_batch& batch, object_store::version revision,
                    object_store::version audited_revision);

    std::uint32_t shard_;
    std::size_t remembered_keys_;
    object_store::version cursor_ = 0;
    std::unordered_map<request_key, line_location> first_lines_;
    std::deque<request_key> keys_by_age_;
    std::vector<finding> findings_;
};

} // namespace dotterelport::budget

#endif
