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

void shard_session::set_declaration(std::shared_ptr<const declaration> value)
{
    declaration_ = std::move(value);
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

bool shard_session::is_settled() const
{
    const auto& accounts = holder_.accounts();
    return phase_ == phase::idle && holder_.reservation_count() == 0 && !holder_.has_open_lines() &&
           !sealed_.has_value() && unapplied_.empty() &&
           std::all_of(accounts.begin(), accounts.end(),
                       [](const auto& owner) { return owner.amount == 0; });
}

std::optional<io_step> shard_session::finish(round_outcome outcome)
{
    phase_ = phase::idle;
    outcome_ = outcome;
    for (auto& owner : holder_.accounts()) {
        owner.recalled = false;
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
    return declared || !unapplied_.empty() || voids_.has_value() || unresolved_.has_value() ||
           std::any_of(accounts.begin(), accounts.end(),
                       [](const auto& owner) { return owner.amount > 0 || owner.wanted > 0; });
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
    for (auto& owner : holder_.accounts()) {
        measure_demand(owner);
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

std::optional<io_step> shard_session::batch_is_durable()
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
            // The write may still be on its way; it is repeated in the next round.
            return finish(round_outcome::unavailable);
        }
        return result.value.value == sealed_text_ ? batch_is_durable() : close();
    }
    const auto at = found ? result.value.at : object_store::version{0};
    if (!adopt(found ? parse_ledger_shard(result.value.value) : ledger_shard(shard_), at)) {
        return close();
    }
    return plan();
}

std::optional<io_step> shard_session::resume(const object_store::write_result& result)
{
    if (result.status == object_store::write_status::too_large) {
        log(events::shard_too_large, {{"shard", shard_}, {"holder", to_string(self_)}});
    }
    return phase_ == phase::writing_batch ? batch_written(result) : shard_written(result);
}

std::optional<io_step> shard_session::batch_written(const object_store::write_result& result)
{
    switch (result.status) {
    case object_store::write_status::applied:
        return batch_is_durable();
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
    unresolved_.reset();
    proposals_.clear();
    for (auto& owner : holder_.accounts()) {
        owner.least_amount.reset();
        owner.removing = false;
    }
}

std::optional<io_step> shard_session::shard_written(const object_store::write_result& result)
{
    switch (result.status) {
    case object_store::write_status::applied:
        for (const auto& change : proposals_) {
            auto& owner = holder_.accounts()[change.account];
            owner.amount = change.amount;
            if (change.removed) {
                owner.accounted = 0;
            }
        }
        resolve_proposals();
        ledger_ = std::move(next_ledger_);
        ledger_version_ = result.at;
        fresh_ = true;
        unapplied_.clear();
        voids_.reset();
        return finish(round_outcome::complete);
    case object_store::write_status::conflict:
        return read_shard();
    case object_store::write_status::unknown:
        unresolved_ = ledger_version_;
        return read_shard();
    case object_store::write_status::unavailable:
    case object_store::write_status::too_large:
        if (!unresolved_.has_value()) {
            resolve_proposals();
        }
        break;
    }
    return finish(round_outcome::unavailable);
}

bool shard_session::adopt(const ledger_shard& value, object_store::version at)
{
    if (value.is_closed(self_)) {
        return false;
    }
    // While the version is the one that a lost write was conditional on, that write can still
    // take effect.
    const bool resolved = !unresolved_.has_value() || at != *unresolved_;
    for (auto& owner : holder_.accounts()) {
        const grant* part = value.find_grant(owner.budget, self_);
        if (part != nullptr) {
            owner.amount = part->amount;
        } else if (owner.amount > 0 && !owner.removing) {
            log(events::grant_missing, {{"budget", owner.budget}, {"holder", to_string(self_)}});
            return false;
        } else {
            owner.amount = 0;
            owner.accounted = 0;
        }
    }
    if (resolved) {
        resolve_proposals();
    }
    ledger_ = value;
    ledger_version_ = at;
    fresh_ = true;
    return true;
}

void shard_session::measure_demand(holder_account& owner) const
{
    constexpr milliseconds shortest_period{250};
    const auto elapsed = environment_.now - owner.period_start;
    if (elapsed < shortest_period) {
        return;
    }
    if (owner.spent_in_period > 0 || owner.reserved > 0 || owner.wanted > 0) {
        owner.last_used = environment_.now;
        if (!owner.first_used) {
            owner.first_used = owner.period_start;
        }
    }
    const double weight = demand_weight(
        policy_, elapsed, environment_.now - owner.first_used.value_or(environment_.now));
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double rate = static_cast<double>(owner.spent_in_period) / seconds;
    owner.tokens_per_second += weight * (rate - owner.tokens_per_second);
    owner.spent_in_period = 0;
    owner.period_start = environment_.now;
}

tokens shard_session::wanted_open(const ledger_entry& entry, const holder_account& owner,
                                  tokens open_now) const
{
    const bool moves = moves_tokens(policy_);
    const tokens needed = owner.reserved + (moves ? owner.wanted : 0);
    const bool idle = environment_.now - owner.last_used > idle_limit(policy_);
    if (draining_ || owner.recalled || idle || entry.total() > entry.prepaid) {
        return needed;
    }
    const tokens target =
        target_open(policy_, {.prepaid = entry.prepaid,
                              .remaining = entry.room() + std::max<tokens>(0, open_now),
                              .accounted = owner.accounted,
                              .reserved = needed,
                              .largest_request = owner.largest_request,
                              .tokens_per_second = owner.tokens_per_second,
                              .platform_trouble = environment_.platform_trouble,
                              .failure_domains = environment_.failure_domains});
    if (!moves) {
        return std::max(target, needed);
    }
    // What is reserved comes and goes with each request; only the room for new ones is compared.
    const bool keep =
        open_now >= needed && is_near_target(policy_, open_now - needed, target - needed);
    return keep ? open_now : std::max(target, needed);
}

bool shard_session::size_grant(ledger_shard& next, std::size_t index)
{
    auto& owner = holder_.accounts()[index];
    const auto* entry = next.find(owner.budget);
    if (entry == nullptr) {
        return owner.wanted == 0;
    }
    const auto* part = next.find_grant(owner.budget, self_);
    const tokens amount = part == nullptr ? 0 : part->amount;
    const tokens open = wanted_open(*entry, owner, amount - owner.accounted);
    if (open == 0 && part != nullptr && part->settled == owner.accounted) {
        next.remove_grant(owner.budget, self_);
        proposals_.push_back({.account = index, .amount = 0, .removed = true});
        return true;
    }
    if (amount - owner.accounted != open) {
        const tokens granted =
            next.set_grant(owner.budget, self_, owner.accounted + open, holder_.last_batch());
        if (granted != amount) {
            proposals_.push_back({.account = index, .amount = granted, .removed = false});
        }
        return granted >= owner.accounted + owner.reserved + owner.wanted;
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
    if (!changed && !unresolved_.has_value()) {
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
        auto& owner = holder_.accounts()[change.account];
        const tokens least = change.removed ? owner.accounted : change.amount;
        owner.least_amount = std::min(owner.least_amount.value_or(owner.amount), least);
        owner.removing = owner.removing || change.removed;
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
    for (const auto& owner : holder_.accounts()) {
        budgets[owner.budget] = {{"amount", owner.amount},
                                 {"accounted", owner.accounted},
                                 {"reserved", owner.reserved},
                                 {"available", owner.available()},
                                 {"tokens_per_second", owner.tokens_per_second}};
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
