#include "dotterelport/budget/bill_audit.hpp"

#include <algorithm>

namespace dotterelport::budget {

bill_audit::bill_audit(std::uint32_t shard, std::size_t remembered_keys)
    : shard_(shard), remembered_keys_(remembered_keys)
{}

void bill_audit::read(const std::vector<object_store::object>& objects, const ledger_shard& ledger)
{
    std::vector<const object_store::object*> ordered;
    for (const auto& object : objects) {
        if (object.object_version > cursor_) {
            ordered.push_back(&object);
        }
    }
    std::sort(ordered.begin(), ordered.end(), [](const auto* left, const auto* right) {
        return left->object_version < right->object_version;
    });
    for (const auto* object : ordered) {
        const auto batch = parse_bill_batch(object->value);
        if (!ledger.is_applied(batch)) {
            return;
        }
        read_batch(batch, object->object_version, ledger.audit_cursor());
        cursor_ = object->object_version;
    }
}

void bill_audit::read_batch(const bill_batch& batch, object_store::version revision,
                            object_store::version audited_revision)
{
    for (const auto& line : batch.lines) {
        const auto [entry, is_first] =
            first_lines_.emplace(line.key, line_location{batch.holder, batch.number});
        if (is_first) {
            keys_by_age_.push_back(line.key);
        } else if (revision > audited_revision) {
            findings_.push_back({.revision = revision,
                                 .line = {.key = line.key,
                                          .budget = line.budget,
                                          .charged = line.charged,
                                          .holder = batch.holder,
                                          .batch = batch.number}});
        }
    }
    while (keys_by_age_.size() > remembered_keys_) {
        first_lines_.erase(keys_by_age_.front());
        keys_by_age_.pop_front();
    }
}

std::optional<void_batch> bill_audit::result(const ledger_shard& ledger) const
{
    void_batch result{
        .shard = shard_, .number = ledger.last_void_batch() + 1, .cursor = cursor_, .lines = {}};
    for (const auto& item : findings_) {
        if (item.revision > ledger.audit_cursor()) {
            result.lines.push_back(item.line);
        }
    }
    return result.lines.empty() ? std::nullopt : std::optional(result);
}

void bill_audit::forget_counted(const ledger_shard& ledger)
{
    std::erase_if(findings_,
                  [&](const auto& item) { return item.revision <= ledger.audit_cursor(); });
}

} // namespace dotterelport::budget
