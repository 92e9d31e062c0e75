#include "dotterelport/budget/ledger_shard.hpp"

#include <algorithm>
#include <set>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/settings.hpp"
#include "dotterelport/budget/events.hpp"

namespace dotterelport::budget {
namespace {

constexpr int format_version = 1;

/// Share of a budget's grantable tokens that counts as spent if no live holder knows what was used
/// since the copy that the store came back from.
constexpr double unknown_share = 0.75;

/// Tokens that a batch adds to one budget.
struct batch_sum {
    tokens billed = 0;
    tokens unproved = 0;
};

std::map<std::string, batch_sum> sums_of(const bill_batch& batch)
{
    std::map<std::string, batch_sum> result;
    for (const auto& line : batch.lines) {
        result[line.budget].billed += line.charged;
    }
    for (const auto& use : batch.unproved) {
        result[use.budget].unproved += use.amount;
    }
    return result;
}

/// @brief Lowers the ceiling to the used and granted tokens, but not below the prepaid amount.
void tighten_ceiling(ledger_entry& entry)
{
    entry.ceiling = std::max(entry.prepaid, std::min(entry.ceiling, entry.total()));
}

json grant_to_json(const grant& value)
{
    return {{"amount", value.amount},
            {"settled", value.settled},
            {"applied_batch", value.applied_batch}};
}

json entry_to_json(const ledger_entry& value)
{
    json grants = json::object();
    for (const auto& [holder, holder_grant] : value.grants) {
        grants[to_string(holder)] = grant_to_json(holder_grant);
    }
    return {{"workspace", value.workspace},   {"prepaid", value.prepaid},
            {"generation", value.generation}, {"ceiling", value.ceiling},
            {"settled", value.settled},       {"unproved", value.unproved},
            {"voided", value.voided},         {"stopped", value.stopped},
            {"grants", std::move(grants)}};
}

ledger_entry entry_from_json(const json& value)
{
    ledger_entry result{.workspace = value.at("workspace"),
                        .prepaid = value.at("prepaid"),
                        .generation = value.at("generation"),
                        .ceiling = value.at("ceiling"),
                        .settled = value.at("settled"),
                        .unproved = value.at("unproved"),
                        .voided = value.at("voided"),
                        .stopped = value.at("stopped"),
                        .grants = {}};
    for (const auto& [holder, holder_grant] : value.at("grants").items()) {
        result.grants[parse_incarnation(holder)] = {.amount = holder_grant.at("amount"),
                                                    .settled = holder_grant.at("settled"),
                                                    .applied_batch =
                                                        holder_grant.at("applied_batch")};
    }
    return result;
}

} // namespace

tokens ledger_entry::open() const
{
    tokens result = 0;
    for (const auto& [holder, holder_grant] : grants) {
        result += holder_grant.open();
    }
    return result;
}

tokens ledger_entry::grantable() const
{
    return stopped ? 0 : std::max<tokens>(0, prepaid - total());
}

void ledger_shard::check(const std::string& name, ledger_entry& entry)
{
    const bool overdrawn_grant =
        std::any_of(entry.grants.begin(), entry.grants.end(), [](const auto& item) {
            return item.second.settled > item.second.amount || item.second.settled < 0;
        });
    if (entry.total() > entry.ceiling || entry.settled < 0 || overdrawn_grant) {
        log(events::invariant_violated, {{"budget", name}, {"entry", entry_to_json(entry)}});
        entry.stopped = true;
    }
    tighten_ceiling(entry);
}

bool ledger_shard::declare(const declaration& new_declaration)
{
    if (new_declaration.generation <= generation_) {
        return false;
    }
    generation_ = new_declaration.generation;
    std::set<std::string> declared;
    const auto set_prepaid = [&](const std::string& name, ledger_entry& entry, tokens prepaid) {
        if (entry.generation != 0 && entry.prepaid == prepaid) {
            return;
        }
        log(events::prepaid_declared, {{"budget", name},
                                       {"from", entry.prepaid},
                                       {"to", prepaid},
                                       {"generation", new_declaration.generation}});
        entry.prepaid = prepaid;
        entry.generation = new_declaration.generation;
        entry.ceiling = std::max(prepaid, entry.total());
    };
    for (const auto& item : new_declaration.budgets) {
        auto& entry = budgets_[item.budget];
        entry.workspace = item.workspace;
        set_prepaid(item.budget, entry, item.prepaid);
        declared.insert(item.budget);
    }
    for (auto& [name, entry] : budgets_) {
        if (!declared.contains(name)) {
            set_prepaid(name, entry, 0);
        }
    }
    return true;
}

tokens ledger_shard::set_grant(const std::string& budget, const incarnation& holder, tokens amount,
                               std::uint64_t last_batch)
{
    const auto found = budgets_.find(budget);
    if (found == budgets_.end() || is_closed(holder)) {
        return 0;
    }
    auto& entry = found->second;
    const auto existing = entry.grants.find(holder);
    const tokens old_amount = existing == entry.grants.end() ? 0 : existing->second.amount;
    const tokens settled = existing == entry.grants.end() ? 0 : existing->second.settled;
    const tokens new_amount = std::max(settled, std::min(amount, old_amount + entry.grantable()));
    if (existing == entry.grants.end()) {
        if (new_amount <= 0) {
            return 0;
        }
        entry.grants[holder] = {.amount = new_amount, .settled = 0, .applied_batch = last_batch};
    } else {
        existing->second.amount = new_amount;
    }
    check(budget, entry);
    return new_amount;
}

void ledger_shard::shrink_grant(const std::string& budget, const incarnation& holder, tokens amount)
{
    const auto found = budgets_.find(budget);
    if (found == budgets_.end()) {
        return;
    }
    const auto holder_grant = found->second.grants.find(holder);
    if (holder_grant != found->second.grants.end()) {
        holder_grant->second.amount =
            std::max(holder_grant->second.settled, std::min(holder_grant->second.amount, amount));
        check(budget, found->second);
    }
}

bool ledger_shard::remove_grant(const std::string& budget, const incarnation& holder)
{
    const auto found = budgets_.find(budget);
    if (found == budgets_.end() || found->second.grants.erase(holder) == 0) {
        return false;
    }
    check(budget, found->second);
    return true;
}

bool ledger_shard::apply_batch(const bill_batch& batch)
{
    bool changed = false;
    for (const auto& [name, sum] : sums_of(batch)) {
        const auto found = budgets_.find(name);
        if (found == budgets_.end()) {
            continue;
        }
        auto& entry = found->second;
        const auto holder_grant = entry.grants.find(batch.holder);
        if (holder_grant == entry.grants.end() ||
            holder_grant->second.applied_batch >= batch.number) {
            continue;
        }
        entry.settled += sum.billed;
        entry.unproved += sum.unproved;
        holder_grant->second.settled += sum.billed + sum.unproved;
        holder_grant->second.applied_batch = batch.number;
        if (sum.unproved > 0) {
            log(events::tokens_unproved, {{"budget", name},
                                          {"holder", to_string(batch.holder)},
                                          {"batch", batch.number},
                                          {"tokens", sum.unproved}});
        }
        check(name, entry);
        changed = true;
    }
    if (changed) {
        auto& last = last_batches_[batch.holder];
        last = std::max(last, batch.number);
    }
    return changed;
}

void ledger_shard::accept_total(const std::string& name, ledger_entry& entry)
{
    if (entry.total() > entry.ceiling) {
        log(events::budget_overdrawn,
            {{"budget", name}, {"prepaid", entry.prepaid}, {"total", entry.total()}});
        entry.ceiling = entry.total();
    }
    check(name, entry);
}

bool ledger_shard::restore_batch(const bill_batch& batch)
{
    const std::uint64_t applied = last_batch(batch.holder);
    bool changed = applied < batch.number;
    for (const auto& [name, sum] : sums_of(batch)) {
        const auto found = budgets_.find(name);
        if (found == budgets_.end()) {
            continue;
        }
        auto& entry = found->second;
        const auto holder_grant = entry.grants.find(batch.holder);
        const bool has_grant = holder_grant != entry.grants.end();
        if ((has_grant ? holder_grant->second.applied_batch : applied) >= batch.number) {
            continue;
        }
        changed = true;
        entry.settled += sum.billed;
        entry.unproved += sum.unproved;
        if (has_grant) {
            auto& restored = holder_grant->second;
            restored.settled += sum.billed + sum.unproved;
            restored.amount = std::max(restored.amount, restored.settled);
            restored.applied_batch = batch.number;
        }
        accept_total(name, entry);
    }
    if (applied < batch.number) {
        last_batches_[batch.holder] = batch.number;
    }
    return changed;
}

bool ledger_shard::restore_grant(const std::string& budget, const incarnation& holder,
                                 tokens amount, std::uint64_t last_batch)
{
    const auto found = budgets_.find(budget);
    if (found == budgets_.end()) {
        return false;
    }
    auto& entry = found->second;
    const auto [holder_grant, is_new] = entry.grants.try_emplace(
        holder, grant{.amount = 0, .settled = 0, .applied_batch = last_batch});
    auto& restored = holder_grant->second;
    if (!is_new && restored.amount >= amount) {
        return false;
    }
    log(events::grant_restored, {{"budget", budget},
                                 {"holder", to_string(holder)},
                                 {"from", restored.amount},
                                 {"to", amount}});
    restored.amount = amount;
    accept_total(budget, entry);
    return true;
}

void ledger_shard::withhold_unknown(const incarnation& self)
{
    for (auto& [name, entry] : budgets_) {
        tokens open = 0;
        for (const auto& [holder, holder_grant] : entry.grants) {
            open += holder == self ? 0 : holder_grant.open();
        }
        const tokens grantable = entry.grantable();
        const auto share = static_cast<tokens>(unknown_share * static_cast<double>(grantable));
        const tokens withheld = std::min(std::max(open, share), grantable);
        if (withheld > 0) {
            log(events::tokens_withheld, {{"budget", name}, {"tokens", withheld}});
            entry.unproved += withheld;
            check(name, entry);
        }
    }
}

std::uint64_t ledger_shard::last_batch(const incarnation& holder) const
{
    const auto found = last_batches_.find(holder);
    return found == last_batches_.end() ? 0 : found->second;
}

bool ledger_shard::is_applied(const bill_batch& batch) const
{
    const auto sums = sums_of(batch);
    return std::all_of(sums.begin(), sums.end(), [&](const auto& item) {
        const grant* holder_grant = find_grant(item.first, batch.holder);
        return holder_grant == nullptr || holder_grant->applied_batch >= batch.number;
    });
}

bool ledger_shard::apply_voids(const void_batch& batch)
{
    if (batch.number != last_void_batch_ + 1) {
        return false;
    }
    last_void_batch_ = batch.number;
    audit_cursor_ = std::max(audit_cursor_, batch.cursor);
    for (const auto& line : batch.lines) {
        const auto found = budgets_.find(line.budget);
        if (found == budgets_.end()) {
            continue;
        }
        found->second.settled -= line.charged;
        found->second.voided += line.charged;
        log(events::line_voided, {{"budget", line.budget},
                                  {"workspace", line.key.workspace},
                                  {"key", line.key.key},
                                  {"holder", to_string(line.holder)},
                                  {"batch", line.batch},
                                  {"tokens", line.charged}});
        check(line.budget, found->second);
    }
    return true;
}

bool ledger_shard::advance_cursor(std::uint64_t cursor)
{
    if (cursor <= audit_cursor_) {
        return false;
    }
    audit_cursor_ = cursor;
    return true;
}

bool ledger_shard::mark_closed(const incarnation& holder)
{
    if (is_closed(holder)) {
        return false;
    }
    closed_[holder.node] = holder.epoch;
    std::erase_if(last_batches_, [this](const auto& item) { return is_closed(item.first); });
    return true;
}

bool ledger_shard::is_closed(const incarnation& holder) const
{
    const auto found = closed_.find(holder.node);
    return found != closed_.end() && found->second >= holder.epoch;
}

const ledger_entry* ledger_shard::find(const std::string& budget) const
{
    const auto found = budgets_.find(budget);
    return found == budgets_.end() ? nullptr : &found->second;
}

const grant* ledger_shard::find_grant(const std::string& budget, const incarnation& holder) const
{
    const auto* entry = find(budget);
    if (entry == nullptr) {
        return nullptr;
    }
    const auto found = entry->grants.find(holder);
    return found == entry->grants.end() ? nullptr : &found->second;
}

json to_json(const ledger_shard& value)
{
    json budgets = json::object();
    for (const auto& [name, entry] : value.budgets_) {
        budgets[name] = entry_to_json(entry);
    }
    json last_batches = json::object();
    for (const auto& [holder, number] : value.last_batches_) {
        last_batches[to_string(holder)] = number;
    }
    return {{"format", format_version},
            {"shard", value.shard_},
            {"era", value.era_},
            {"last_batches", std::move(last_batches)},
            {"generation", value.generation_},
            {"audit", {{"cursor", value.audit_cursor_}, {"void_batch", value.last_void_batch_}}},
            {"closed", value.closed_},
            {"budgets", std::move(budgets)}};
}

ledger_shard parse_ledger_shard(std::string_view text)
{
    constexpr const char* source = "ledger shard";
    const json document = parse_json(text, source);
    try {
        if (document.at("format") != format_version) {
            throw format_error(source, "/format", "expected 1");
        }
        ledger_shard result(document.at("shard").get<std::uint32_t>());
        result.generation_ = document.at("generation");
        result.audit_cursor_ = document.at("audit").at("cursor");
        result.last_void_batch_ = document.at("audit").at("void_batch");
        result.closed_ = document.at("closed");
        // Absent in ledgers that earlier versions wrote.
        result.era_ = document.value("era", object_store::store_era{0});
        const json last_batches = document.value("last_batches", json::object());
        for (const auto& [holder, number] : last_batches.items()) {
            result.last_batches_[parse_incarnation(holder)] = number;
        }
        for (const auto& [name, entry] : document.at("budgets").items()) {
            result.budgets_[name] = entry_from_json(entry);
        }
        return result;
    } catch (const json::exception& failure) {
        throw format_error(source, "", failure.what());
    }
}

} // namespace dotterelport::budget
