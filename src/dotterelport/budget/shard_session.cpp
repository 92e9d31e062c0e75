#include "dotterelport/budget/shard_session.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/budget/events.hpp"

namespace dotterelport::budget {
namespace {

/// Age of a batch at which a copy of the store can be assumed to have it.
constexpr milliseconds rewrite_memory{60'000};

} // namespace

shard_session::shard_session(std::uint32_t shard, incarnation holder, const sizing_policy& policy,
                             const grant_holder::options& settings)
    : shard_(shard), self_(std::move(holder)), policy_(policy), holder_(settings)
{}

void shard_session::set_declaration(std::shared_ptr<const declaration> new_declaration)
{
    declaration_ = std::move(new_declaration);
    if (opens_early(policy_)) {
        for (const auto& item : declaration_->budgets) {
            holder_.account(item.budget);
        }
    }
}

void shard_session::observe_era(object_store::store_era era)
{
    if (era <= era_) {
        return;
    }
    era_ = era;
    // A round that is running was allowed to recover the ledger in the era before.
    environment_.may_recover = false;
    environment_.may_recover_unknown = false;
    if (!recent_batches_.empty()) {
        first_rewrite_ = recent_batches_.front().batch.number;
        last_rewrite_ = recent_batches_.back().batch.number;
    }
}

void shard_session::add_copy(ledger_copy copy)
{
    if (!received_copy_ || copy.is_better_than(*received_copy_)) {
        received_copy_ = std::move(copy);
    }
}

std::optional<ledger_copy> shard_session::newest_copy(bool receives_copies) const
{
    const bool is_complete = received_copy_ && received_copy_->is_complete(era_, receives_copies);
    if (!ledger_ ||
        (received_copy_ && received_copy_->is_newer_than(ledger_era_, ledger_version_))) {
        auto result = received_copy_;
        if (result) {
            result->has_all_writes = is_complete;
        }
        return result;
    }
    const bool is_received = is_complete && received_copy_->era == ledger_era_ &&
                             received_copy_->ledger_version == ledger_version_;
    return ledger_copy{.era = ledger_era_,
                       .ledger_version = ledger_version_,
                       .ledger = *ledger_,
                       .has_all_writes = receives_copies || is_received};
}

const ledger_shard* shard_session::ledger() const
{
    return ledger_.has_value() ? &*ledger_ : nullptr;
}

bool shard_session::is_drained() const
{
    const auto& accounts = holder_.accounts();
    return phase_ == phase::idle && holder_.reservation_count() == 0 && !holder_.has_open_lines() &&
           !sealed_.has_value() && unapplied_.empty() && next_rewrite() == nullptr &&
           std::all_of(accounts.begin(), accounts.end(),
                       [](const auto& budget_account) { return budget_account.amount == 0; });
}

std::optional<io_step> shard_session::finish(round_outcome outcome)
{
    phase_ = phase::idle;
    outcome_ = outcome;
    for (auto& budget_account : holder_.accounts()) {
        budget_account.recalled = false;
    }
    return std::nullopt;
}

std::optional<io_step> shard_session::close()
{
    log(events::holder_closed, {{"holder", to_string(self_)}, {"shard", shard_}});
    closed_ = true;
    return finish(round_outcome::closed);
}

bool shard_session::has_work() const
{
    const auto& accounts = holder_.accounts();
    const bool declared =
        declaration_ != nullptr &&
        (!ledger_.has_value() || declaration_->generation > ledger_->generation());
    return declared || !unapplied_.empty() || voids_.has_value() ||
           unconfirmed_version_.has_value() ||
           (needs_recovery() && (ledger_.has_value() || received_copy_.has_value())) ||
           std::any_of(accounts.begin(), accounts.end(), [](const auto& budget_account) {
               return budget_account.amount > 0 || budget_account.waiting_tokens > 0;
           });
}

std::optional<io_step> shard_session::start(const round_environment& environment)
{
    if (phase_ != phase::idle) {
        return std::nullopt;
    }
    if (closed_) {
        return finish(round_outcome::closed);
    }
    environment_ = environment;
    fresh_ = false;
    for (auto& budget_account : holder_.accounts()) {
        measure_demand(budget_account);
    }
    if (!sealed_.has_value() && environment_.flush) {
        sealed_ = holder_.seal(shard_, self_);
        if (sealed_.has_value()) {
            sealed_text_ = to_json(*sealed_).dump();
        }
    }
    while (!recent_batches_.empty() && next_rewrite() == nullptr &&
           environment_.now - recent_batches_.front().written_at > rewrite_memory) {
        recent_batches_.pop_front();
    }
    if (sealed_.has_value()) {
        return write_batch();
    }
    const auto* rewrite = next_rewrite();
    if (rewrite != nullptr) {
        return rewrite_batch(*rewrite);
    }
    return has_work() ? plan() : finish(round_outcome::complete);
}

std::optional<io_step> shard_session::write_batch()
{
    phase_ = phase::writing_batch;
    return io_step{.operation = io_step::kind::write,
                   .key = bill_object_key(shard_, self_, sealed_->number),
                   .value = sealed_text_,
                   .if_version = 0};
}

std::optional<io_step> shard_session::on_batch_durable()
{
    holder_.mark_durable(sealed_->number);
    if (era_ != 0) {
        recent_batches_.push_back(
            {.batch = *sealed_, .text = sealed_text_, .written_at = environment_.now});
    }
    unapplied_.push_back(std::move(*sealed_));
    sealed_.reset();
    return plan();
}

const shard_session::written_batch* shard_session::next_rewrite() const
{
    const auto found =
        std::find_if(recent_batches_.begin(), recent_batches_.end(), [this](const auto& item) {
            return item.batch.number >= first_rewrite_ && item.batch.number <= last_rewrite_;
        });
    return found == recent_batches_.end() ? nullptr : &*found;
}

std::optional<io_step> shard_session::rewrite_batch(const written_batch& item)
{
    phase_ = phase::rewriting_batch;
    rewriting_ = item.batch.number;
    rewrite_era_ = era_;
    return io_step{.operation = io_step::kind::write,
                   .key = bill_object_key(shard_, self_, item.batch.number),
                   .value = item.text,
                   .if_version = 0};
}

std::optional<io_step> shard_session::on_batch_rewritten(const object_store::write_result& result)
{
    // A conflict means that the copy has the batch.
    const bool is_stored = result.status == object_store::write_status::applied ||
                           result.status == object_store::write_status::conflict;
    if (!is_stored) {
        return finish(round_outcome::unavailable);
    }
    // A newer era that was seen meanwhile begins with the first batch again.
    if (result.era == rewrite_era_) {
        first_rewrite_ = rewriting_ + 1;
    }
    const auto* rewrite = next_rewrite();
    if (rewrite != nullptr) {
        return rewrite_batch(*rewrite);
    }
    log(events::bills_written_again,
        {{"shard", shard_}, {"holder", to_string(self_)}, {"batches", recent_batches_.size()}});
    return has_work() ? plan() : finish(round_outcome::complete);
}

std::optional<io_step> shard_session::read_shard()
{
    phase_ = phase::reading_shard;
    return io_step{.operation = io_step::kind::read,
                   .key = shard_object_key(shard_),
                   .value = {},
                   .if_version = 0};
}

std::optional<io_step> shard_session::resume(const object_store::read_result& result)
{
    observe_era(result.era);
    if (result.status == object_store::read_status::unavailable) {
        return finish(round_outcome::unavailable);
    }
    const bool found = result.status == object_store::read_status::found;
    if (phase_ == phase::reading_batch) {
        if (!found) {
            // The write may still be in flight; the next round repeats it.
            return finish(round_outcome::unavailable);
        }
        return result.value.value == sealed_text_ ? on_batch_durable() : close();
    }
    const auto ledger_version = found ? result.value.object_version : object_store::version{0};
    auto stored = found ? parse_ledger_shard(result.value.value) : ledger_shard(shard_);
    // A write of an earlier era can still take effect in this one.
    if (needs_recovery() || is_recovered_unwritten_ || stored.era() != era_) {
        return recover(std::move(stored), ledger_version, found);
    }
    if (!adopt(stored, ledger_version)) {
        return close();
    }
    return plan();
}

std::optional<io_step> shard_session::recover(ledger_shard stored,
                                              object_store::version ledger_version, bool found)
{
    if (stored.is_closed(self_)) {
        return close();
    }
    const auto copy = newest_copy(environment_.receives_copies);
    const bool is_new = !found && !copy;
    // A ledger that states no era was written before the store stated one.
    const bool is_of_no_era = stored.era() == 0 && !copy;
    // Another holder has recovered it, or nothing is lost: it was written in this era.
    const bool is_current = is_new || is_of_no_era || stored.era() == era_;
    ledger_shard base = std::move(stored);
    if (!is_current) {
        if (!environment_.may_recover) {
            return finish(round_outcome::recovering);
        }
        const bool is_copy_newer = copy && copy->is_newer_than(base.era(), ledger_version);
        const bool is_copy_equal =
            copy && copy->era == base.era() && copy->ledger_version == ledger_version;
        const bool is_known = copy && copy->has_all_writes && (is_copy_newer || is_copy_equal);
        if (!is_known && !environment_.may_recover_unknown) {
            return finish(round_outcome::recovering);
        }
        if (is_copy_newer) {
            base = copy->ledger;
        }
        if (!is_known) {
            base.withhold_unknown(self_);
        }
        log(events::ledger_recovered, {{"shard", shard_},
                                       {"era", era_},
                                       {"stored_version", ledger_version},
                                       {"copy_era", copy ? copy->era : 0},
                                       {"copy_version", copy ? copy->ledger_version : 0},
                                       {"used_copy", is_copy_newer},
                                       {"has_all_writes", is_known}});
    }
    base.set_era(era_);
    bool changed = !is_current || is_of_no_era;
    if (declaration_ != nullptr) {
        changed |= base.declare(*declaration_);
    }
    changed |= restore_own(base);
    is_recovered_unwritten_ = changed;
    ledger_ = std::move(base);
    ledger_version_ = ledger_version;
    ledger_era_ = era_;
    current_era_ = era_;
    fresh_ = true;
    return plan();
}

bool shard_session::restore_own(ledger_shard& base)
{
    bool changed = false;
    for (const auto& item : recent_batches_) {
        changed |= base.restore_batch(item.batch);
    }
    for (const auto& batch : unapplied_) {
        changed |= base.restore_batch(batch);
    }
    const std::uint64_t applied = sealed_ ? sealed_->number - 1 : holder_.last_batch();
    for (auto& budget_account : holder_.accounts()) {
        const grant* holder_grant = base.find_grant(budget_account.budget, self_);
        const tokens pending = holder_.open_charges(budget_account.budget) +
                               (sealed_ ? charged_to(*sealed_, budget_account.budget) : tokens{0});
        budget_account.accounted =
            pending + (holder_grant == nullptr ? tokens{0} : holder_grant->settled);
        const tokens used = budget_account.accounted + budget_account.reserved;
        if (used > (holder_grant == nullptr ? tokens{0} : holder_grant->amount)) {
            changed |= base.restore_grant(budget_account.budget, self_, used, applied);
            holder_grant = base.find_grant(budget_account.budget, self_);
        }
        const tokens confirmed = holder_grant == nullptr ? tokens{0} : holder_grant->amount;
        // The ledger may have a grant that this holder has returned, and others have used since.
        const tokens usable =
            std::min(std::max(used, budget_account.amount),
                     budget_account.least_amount.value_or(std::numeric_limits<tokens>::max()));
        budget_account.amount = confirmed;
        budget_account.least_amount = confirmed > usable ? std::optional(usable) : std::nullopt;
    }
    return changed;
}

std::optional<io_step> shard_session::resume(const object_store::write_result& result)
{
    observe_era(result.era);
    if (result.status == object_store::write_status::too_large) {
        log(events::shard_too_large, {{"shard", shard_}, {"holder", to_string(self_)}});
    }
    if (phase_ == phase::rewriting_batch) {
        return on_batch_rewritten(result);
    }
    return phase_ == phase::writing_batch ? on_batch_written(result) : on_shard_written(result);
}

std::optional<io_step> shard_session::on_batch_written(const object_store::write_result& result)
{
    switch (result.status) {
    case object_store::write_status::applied:
        return on_batch_durable();
    case object_store::write_status::conflict:
    case object_store::write_status::unknown:
        phase_ = phase::reading_batch;
        return io_step{.operation = io_step::kind::read,
                       .key = bill_object_key(shard_, self_, sealed_->number),
                       .value = {},
                       .if_version = 0};
    case object_store::write_status::unavailable:
    case object_store::write_status::too_large:
        break;
    }
    return finish(round_outcome::unavailable);
}

void shard_session::resolve_proposals()
{
    unconfirmed_version_.reset();
    proposals_.clear();
    for (auto& budget_account : holder_.accounts()) {
        budget_account.least_amount.reset();
        budget_account.removing = false;
    }
}

std::optional<io_step> shard_session::on_shard_written(const object_store::write_result& result)
{
    if (needs_recovery() && result.status != object_store::write_status::unavailable) {
        // Planned with the ledger of an earlier era; recover() resolves the proposals.
        return read_shard();
    }
    switch (result.status) {
    case object_store::write_status::applied:
        for (const auto& change : proposals_) {
            auto& budget_account = holder_.accounts()[change.account];
            budget_account.amount = change.amount;
            if (change.removed) {
                budget_account.accounted = 0;
            }
        }
        resolve_proposals();
        ledger_ = std::move(next_ledger_);
        ledger_version_ = result.object_version;
        is_recovered_unwritten_ = false;
        fresh_ = true;
        unapplied_.clear();
        voids_.reset();
        return finish(round_outcome::complete);
    case object_store::write_status::conflict:
        return read_shard();
    case object_store::write_status::unknown:
        unconfirmed_version_ = ledger_version_;
        return read_shard();
    case object_store::write_status::unavailable:
    case object_store::write_status::too_large:
        if (!unconfirmed_version_.has_value()) {
            resolve_proposals();
        }
        break;
    }
    return finish(round_outcome::unavailable);
}

bool shard_session::adopt(const ledger_shard& stored_ledger, object_store::version ledger_version)
{
    if (stored_ledger.is_closed(self_)) {
        return false;
    }
    // As long as the ledger has the version that a write with a lost answer was conditional on,
    // that write can still take effect.
    const bool resolved =
        !unconfirmed_version_.has_value() || ledger_version != *unconfirmed_version_;
    for (auto& budget_account : holder_.accounts()) {
        const grant* holder_grant = stored_ledger.find_grant(budget_account.budget, self_);
        if (holder_grant != nullptr) {
            budget_account.amount = holder_grant->amount;
        } else if (budget_account.amount > 0 && !budget_account.removing) {
            log(events::grant_missing,
                {{"budget", budget_account.budget}, {"holder", to_string(self_)}});
            return false;
        } else {
            budget_account.amount = 0;
            budget_account.accounted = 0;
        }
    }
    if (resolved) {
        resolve_proposals();
    }
    ledger_ = stored_ledger;
    ledger_version_ = ledger_version;
    fresh_ = true;
    return true;
}

void shard_session::measure_demand(holder_account& budget_account) const
{
    constexpr milliseconds shortest_period{250};
    const auto elapsed = environment_.now - budget_account.period_start;
    if (elapsed < shortest_period) {
        return;
    }
    if (budget_account.spent_in_period > 0 || budget_account.reserved > 0 ||
        budget_account.waiting_tokens > 0) {
        budget_account.last_used = environment_.now;
        if (!budget_account.first_used) {
            budget_account.first_used = budget_account.period_start;
        }
    }
    const double weight = demand_weight(
        policy_, elapsed, environment_.now - budget_account.first_used.value_or(environment_.now));
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double rate = static_cast<double>(budget_account.spent_in_period) / seconds;
    budget_account.tokens_per_second += weight * (rate - budget_account.tokens_per_second);
    budget_account.spent_in_period = 0;
    budget_account.period_start = environment_.now;
}

tokens shard_session::target_open_tokens(const ledger_entry& entry,
                                         const holder_account& budget_account,
                                         tokens open_now) const
{
    const bool moves = allows_lending(policy_);
    const tokens needed = budget_account.reserved + (moves ? budget_account.waiting_tokens : 0);
    const bool idle = environment_.now - budget_account.last_used > idle_limit(policy_);
    if (draining_ || budget_account.recalled || idle || entry.total() > entry.prepaid ||
        environment_.returned == idle_return::all) {
        return needed;
    }
    const tokens target =
        target_open(policy_, {.prepaid = entry.prepaid,
                              .remaining = entry.grantable() + std::max<tokens>(0, open_now),
                              .accounted = budget_account.accounted,
                              .reserved = needed,
                              .largest_request = budget_account.largest_request,
                              .tokens_per_second = budget_account.tokens_per_second,
                              .platform_trouble = environment_.platform_trouble,
                              .failure_domains = environment_.failure_domains});
    if (!moves) {
        return std::max(target, needed);
    }
    // The reserved tokens change with each request, so only the tokens for new requests are
    // compared.
    const bool must_shrink =
        environment_.returned == idle_return::above_target && open_now > target;
    const bool keep = open_now >= needed && !must_shrink &&
                      is_near_target(policy_, open_now - needed, target - needed);
    return keep ? open_now : std::max(target, needed);
}

bool shard_session::size_grant(ledger_shard& next, std::size_t index)
{
    auto& budget_account = holder_.accounts()[index];
    const auto* entry = next.find(budget_account.budget);
    if (entry == nullptr) {
        return budget_account.waiting_tokens == 0;
    }
    const auto* holder_grant = next.find_grant(budget_account.budget, self_);
    const tokens amount = holder_grant == nullptr ? 0 : holder_grant->amount;
    const tokens open =
        target_open_tokens(*entry, budget_account, amount - budget_account.accounted);
    if (open == 0 && holder_grant != nullptr && holder_grant->settled == budget_account.accounted) {
        next.remove_grant(budget_account.budget, self_);
        proposals_.push_back({.account = index, .amount = 0, .removed = true});
        return true;
    }
    if (amount - budget_account.accounted != open) {
        const tokens granted = next.set_grant(
            budget_account.budget, self_, budget_account.accounted + open, holder_.last_batch());
        if (granted != amount) {
            proposals_.push_back({.account = index, .amount = granted, .removed = false});
        }
        return granted >=
               budget_account.accounted + budget_account.reserved + budget_account.waiting_tokens;
    }
    return true;
}

std::optional<io_step> shard_session::plan()
{
    if (!ledger_.has_value() || needs_recovery() || (environment_.must_read && !fresh_)) {
        return read_shard();
    }
    ledger_shard next = *ledger_;
    bool changed = is_recovered_unwritten_;
    changed |= declaration_ != nullptr && next.declare(*declaration_);
    for (const auto& batch : unapplied_) {
        changed |= next.apply_batch(batch);
    }
    proposals_.clear();
    bool satisfied = true;
    for (std::size_t index = 0; index < holder_.accounts().size(); ++index) {
        satisfied &= size_grant(next, index);
    }
    if (voids_.has_value()) {
        changed |= next.apply_voids(*voids_);
    }
    if (!satisfied && !fresh_) {
        proposals_.clear();
        return read_shard();
    }
    changed |= !proposals_.empty();
    if (!changed && !unconfirmed_version_.has_value()) {
        unapplied_.clear();
        voids_.reset();
        return finish(round_outcome::complete);
    }
    next.advance_cursor(audit_cursor_);
    return write_shard(next);
}

std::optional<io_step> shard_session::write_shard(const ledger_shard& next)
{
    for (const auto& change : proposals_) {
        auto& budget_account = holder_.accounts()[change.account];
        const tokens least = change.removed ? budget_account.accounted : change.amount;
        budget_account.least_amount =
            std::min(budget_account.least_amount.value_or(budget_account.amount), least);
        budget_account.removing = budget_account.removing || change.removed;
    }
    next_ledger_ = next;
    phase_ = phase::writing_shard;
    return io_step{.operation = io_step::kind::write,
                   .key = shard_object_key(shard_),
                   .value = to_json(next).dump(),
                   .if_version = ledger_version_};
}

json shard_session::dump() const
{
    json budgets = json::object();
    for (const auto& budget_account : holder_.accounts()) {
        budgets[budget_account.budget] = {{"amount", budget_account.amount},
                                          {"accounted", budget_account.accounted},
                                          {"reserved", budget_account.reserved},
                                          {"available", budget_account.available()},
                                          {"tokens_per_second", budget_account.tokens_per_second}};
    }
    return {{"shard", shard_},
            {"holder", to_string(self_)},
            {"closed", closed_},
            {"ledger_version", ledger_version_},
            {"reservations", holder_.reservation_count()},
            {"last_batch", holder_.last_batch()},
            {"unapplied_batches", unapplied_.size()},
            {"budgets", std::move(budgets)}};
}

} // namespace dotterelport::budget
