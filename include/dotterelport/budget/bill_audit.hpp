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

/// Finds requests that are billed twice in one shard. Batches are read in the order of their
/// platform revisions, so that every auditor keeps the same line of a key and voids the others.
class bill_audit {
public:
    /// @param remembered_keys greatest number of keys kept; the oldest are forgotten first, after
    /// which a late duplicate of them stays billed
    explicit bill_audit(std::uint32_t shard, std::size_t remembered_keys = 1'000'000);

    /// @brief Revision from which the next listing of batches should start.
    [[nodiscard]] object_store::version cursor() const { return cursor_; }

    /// @brief Reads listed batches. Stops before one that the ledger does not count yet.
    /// @param objects objects under bill_prefix(shard) that changed after cursor()
    /// @param ledger as read after the listing
    /// @throws format_error if an object is not a bill batch
    void read(const std::vector<object_store::object>& objects, const ledger_shard& ledger);

    /// @brief Result to write, if lines after the ledger's audit cursor are duplicates.
    [[nodiscard]] std::optional<void_batch> result(const ledger_shard& ledger) const;

    /// @brief Tells whether there are findings that the ledger may not count yet.
    [[nodiscard]] bool has_findings() const { return !findings_.empty(); }

    /// @brief Drops findings that the ledger counts.
    void forget_counted(const ledger_shard& ledger);

private:
    struct place {
        incarnation holder;
        std::uint64_t batch = 0;
    };
    struct finding {
        object_store::version at = 0;
        voided_line line;
    };

    void read_batch(const bill_batch& batch, object_store::version at,
                    object_store::version counted);

    std::uint32_t shard_;
    std::size_t remembered_keys_;
    object_store::version cursor_ = 0;
    std::unordered_map<request_key, place> first_lines_;
    std::deque<request_key> order_;
    std::vector<finding> findings_;
};

} // namespace dotterelport::budget

#endif
