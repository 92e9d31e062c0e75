#include "dotterelport/budget/shard_session.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/budget/events.hpp"

namespace dotterelport::budget {

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

const ledger_shard* shard_session::ledger() const
{
    return ledger_.has_value() ? &*ledger_ : nullptr;
}

bool shard_session::is_drained() const
{
    const auto& accounts = holder_.accounts();
    return phase_ == phase::idle && holder_.reservation_count() == 0 && !holder_.has_open_lines() &&
           !sealed_.has_value() && unapplied_.empty() &&
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
    if (sealed_.has_value()) {
        return write_batch();
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
    unapplied_.push_back(std::move(*sealed_));
    sealed_.reset();
    return plan();
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
    if (!adopt(found ? parse_ledger_shard(result.value.value) : ledger_shard(shard_),
               ledger_version)) {
        return close();
    }
    return plan();
}

std::optional<io_step> shard_session::resume(const object_store::write_result& result)
{
    if (result.status == object_store::write_status::too_large) {
        log(events::shard_too_large, {{"shard", shard_}, {"holder", to_string(self_)}});
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
    if (draining_ || budget_account.recalled || idle || entry.total() > entry.prepaid) {
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
    const bool keep =
        open_now >= needed && is_near_target(policy_, open_now - needed, target - needed);
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
    if (!ledger_.has_value()) {
        return read_shard();
    }
    ledger_shard next = *ledger_;
    bool changed = declaration_ != nullptr && next.declare(*declaration_);
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
