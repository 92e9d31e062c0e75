#include "dotterelport/budget/holder_closing.hpp"

#include <algorithm>
#include <utility>

namespace dotterelport::budget {
namespace {

/// Maximum number of entries in a batch; keeps the batch below the platform's limit on the size of
/// a value.
constexpr std::size_t entries_per_batch = 2'000;

bill_line to_bill_line(const request::outcome& outcome)
{
    return {.key = outcome.key,
            .budget = outcome.budget,
            .charged = outcome.charged,
            .prompt_tokens = outcome.prompt_tokens,
            .completion_tokens = outcome.completion_tokens,
            .service = outcome.service,
            .agent = outcome.agent};
}

} // namespace

holder_closing::holder_closing(std::uint32_t shard, incarnation holder,
                               const std::set<incarnation>& agents)
    : shard_(shard), holder_(std::move(holder)), unanswered_(agents)
{}

void holder_closing::add_batch(const bill_batch& batch)
{
    if (!batches_.emplace(batch.number, batch).second) {
        return;
    }
    sealed_ = sealed_ || batch.by_closer;
    for (const auto& line : batch.lines) {
        billed_.emplace(line.key, line.agent);
    }
    for (const auto& use : batch.unproved) {
        if (use.key.key.empty()) {
            remainder_written_ = true;
        } else {
            unproved_.emplace(use.key, use.agent, use.attempt);
        }
    }
    for (const auto& request : batch.kept) {
        kept_.emplace(request.key, request.agent, request.attempt);
    }
}

void holder_closing::agent_answered(const incarnation& agent,
                                    const std::vector<fenced_request>& running,
                                    const std::vector<request::outcome>& outcomes)
{
    unanswered_.erase(agent);
    running_[agent] = running;
    for (const auto& outcome : outcomes) {
        outcomes_.emplace(attempt_id{outcome.key, outcome.agent, outcome.attempt}, outcome);
    }
}

void holder_closing::agent_gone(const incarnation& agent)
{
    if (unanswered_.erase(agent) > 0) {
        gone_unanswered_ = true;
        return;
    }
    const auto found = running_.find(agent);
    if (found == running_.end()) {
        return;
    }
    for (const auto& request : found->second) {
        lost_.emplace(attempt_id{request.key, agent, request.attempt},
                      unproved_use{.key = request.key,
                                   .budget = request.budget,
                                   .amount = request.upper_tokens,
                                   .agent = agent,
                                   .attempt = request.attempt});
    }
    running_.erase(found);
}

bool holder_closing::is_unproved(const attempt_id& attempt) const
{
    return unproved_.contains(attempt) || (remainder_written_ && !kept_.contains(attempt));
}

bool holder_closing::has_line(const request_key& key, const incarnation& agent) const
{
    // An agent starts no further attempt of a key after one has run there, so the line bills the
    // last attempt.
    const auto line = billed_.find(key);
    return line != billed_.end() && line->second == agent;
}

bool holder_closing::is_counted(const unproved_use& lost) const
{
    return has_line(lost.key, lost.agent) || is_unproved({lost.key, lost.agent, lost.attempt});
}

bool holder_closing::is_covered(const request::outcome& outcome) const
{
    const bool covered = is_unproved({outcome.key, outcome.agent, outcome.attempt});
    if (outcome.verdict == verdict::not_run || outcome.charged <= 0) {
        return outcome.verdict != verdict::ran || billed_.contains(outcome.key) || covered;
    }
    return (outcome.verdict == verdict::ran && has_line(outcome.key, outcome.agent)) || covered;
}

bool holder_closing::has_unbilled() const
{
    return std::any_of(outcomes_.begin(), outcomes_.end(),
                       [&](const auto& item) { return !is_covered(item.second); }) ||
           std::any_of(lost_.begin(), lost_.end(),
                       [&](const auto& item) { return !is_counted(item.second); });
}

bool holder_closing::needs_remainder() const
{
    return gone_unanswered_ && !remainder_written_;
}

tokens holder_closing::running_tokens(const std::string& budget) const
{
    tokens result = 0;
    for (const auto& [agent, requests] : running_) {
        for (const auto& request : requests) {
            result += request.budget == budget ? request.upper_tokens : 0;
        }
    }
    return result;
}

bool holder_closing::add_outcomes(bill_batch& batch) const
{
    std::set<request_key> lines;
    for (const auto& [id, outcome] : outcomes_) {
        if (batch.lines.size() + batch.unproved.size() >= entries_per_batch) {
            return true;
        }
        if (is_covered(outcome)) {
            continue;
        }
        // Only an attempt that ran is billed with the key's line. An attempt that may have run is
        // counted as unproved, so that a run can still be billed.
        if (outcome.verdict == verdict::ran && !billed_.contains(outcome.key) &&
            lines.insert(outcome.key).second) {
            batch.lines.push_back(to_bill_line(outcome));
        } else {
            batch.unproved.push_back({.key = outcome.key,
                                      .budget = outcome.budget,
                                      .amount = outcome.charged,
                                      .agent = outcome.agent,
                                      .attempt = outcome.attempt});
        }
    }
    return !batch.lines.empty() || !batch.unproved.empty();
}

bool holder_closing::add_lost(bill_batch& batch, const ledger_shard& ledger) const
{
    std::map<std::string, tokens> open_tokens;
    for (const auto& [name, entry] : ledger.budgets()) {
        const auto* holder_grant = ledger.find_grant(name, holder_);
        open_tokens[name] =
            holder_grant == nullptr ? 0 : holder_grant->open() - running_tokens(name);
    }
    for (const auto& [id, use] : lost_) {
        if (is_counted(use)) {
            continue;
        }
        // Before it died, the holder may have received the outcome and lowered its grant, so the
        // amount is limited to the open tokens of the grant.
        auto counted = use;
        auto& open_in_budget = open_tokens[use.budget];
        counted.amount = std::clamp<tokens>(use.amount, 0, std::max<tokens>(0, open_in_budget));
        open_in_budget -= counted.amount;
        batch.unproved.push_back(std::move(counted));
    }
    return !batch.unproved.empty();
}

bool holder_closing::add_remainder(bill_batch& batch, const ledger_shard& ledger) const
{
    for (const auto& [name, entry] : ledger.budgets()) {
        const auto* holder_grant = ledger.find_grant(name, holder_);
        const tokens remainder =
            holder_grant == nullptr ? 0 : holder_grant->open() - running_tokens(name);
        if (remainder > 0) {
            batch.unproved.push_back({.key = {entry.workspace, ""},
                                      .budget = name,
                                      .amount = remainder,
                                      .agent = {"", 0},
                                      .attempt = 0});
        }
    }
    for (const auto& [agent, requests] : running_) {
        for (const auto& request : requests) {
            batch.kept.push_back({.key = request.key, .agent = agent, .attempt = request.attempt});
        }
    }
    return !batch.unproved.empty();
}

std::optional<bill_batch> holder_closing::next_batch(const ledger_shard& ledger) const
{
    if (!ledger.is_closed(holder_)) {
        // Until the ledger marks the holder as closed, the holder may remove a grant to which this
        // batch would have to be applied.
        return std::nullopt;
    }
    bill_batch result{.shard = shard_,
                      .holder = holder_,
                      .number = batches_.empty() ? 1 : batches_.rbegin()->first + 1,
                      .by_closer = true,
                      .lines = {},
                      .unproved = {},
                      .kept = {}};
    if (add_outcomes(result)) {
        return result;
    }
    if (!sealed_) {
        return result;
    }
    // The remainder of a grant is known only after the ledger has applied all written batches.
    const bool counted = std::all_of(batches_.begin(), batches_.end(), [&](const auto& item) {
        return ledger.is_applied(item.second);
    });
    if (!counted) {
        return std::nullopt;
    }
    if (add_lost(result, ledger) ||
        (is_proved() && needs_remainder() && add_remainder(result, ledger))) {
        return result;
    }
    return std::nullopt;
}

bool holder_closing::apply(ledger_shard& ledger) const
{
    bool changed = ledger.mark_closed(holder_);
    for (const auto& [number, batch] : batches_) {
        changed |= ledger.apply_batch(batch);
    }
    if (!is_proved() || !sealed_ || has_unbilled()) {
        return changed;
    }
    std::vector<std::string> names;
    for (const auto& [name, entry] : ledger.budgets()) {
        if (entry.grants.contains(holder_)) {
            names.push_back(name);
        }
    }
    for (const auto& name : names) {
        const auto* holder_grant = ledger.find_grant(name, holder_);
        const tokens running = running_tokens(name);
        if (needs_remainder() && holder_grant->open() > running) {
            continue;
        }
        if (running == 0) {
            changed |= ledger.remove_grant(name, holder_);
        } else if (holder_grant->open() > running) {
            ledger.shrink_grant(name, holder_, holder_grant->settled + running);
            changed = true;
        }
    }
    return changed;
}

bool holder_closing::is_finished() const
{
    const bool none_running = std::all_of(running_.begin(), running_.end(),
                                          [](const auto& item) { return item.second.empty(); });
    return is_proved() && sealed_ && none_running && !has_unbilled();
}

} // namespace dotterelport::budget
