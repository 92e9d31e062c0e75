#include "dotterelport/budget/grant_holder.hpp"

#include <algorithm>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/budget/events.hpp"

namespace dotterelport::budget {
namespace {

/// Number of batches for which settled attempts are remembered, so that an agent that missed the
/// answer can report them again.
constexpr std::uint64_t attempt_memory_batches = 1'000;

/// Agents report outcomes within seconds. If a request finished at an agent and no outcome has
/// arrived after this time, the agent ran it for another holder's reservation of the same key.
constexpr milliseconds missing_outcome_timeout{600'000};

/// @brief Limits a charge to the tokens reserved for it.
tokens limited_charge(const request::outcome& outcome, tokens upper)
{
    if (outcome.charged > upper) {
        log(events::charge_above_reservation, {{"workspace", outcome.key.workspace},
                                               {"key", outcome.key.key},
                                               {"charged", outcome.charged},
                                               {"reserved", upper}});
    }
    return std::clamp<tokens>(outcome.charged, 0, upper);
}

} // namespace

std::size_t grant_holder::text_hash::operator()(std::string_view text) const noexcept
{
    return hash64(text);
}

grant_holder::grant_holder() : grant_holder(options{}) {}

grant_holder::grant_holder(const options& settings) : options_(settings)
{
    requests_.reserve(options_.expected_reservations + options_.remembered_requests);
    free_nodes_.reserve(options_.expected_reservations);
    lines_.reserve(options_.expected_reservations);
}

std::uint32_t grant_holder::account_index(std::string_view budget)
{
    const auto found = account_of_.find(budget);
    if (found != account_of_.end()) {
        return found->second;
    }
    const auto index = static_cast<std::uint32_t>(accounts_.size());
    accounts_.emplace_back().budget = budget;
    account_of_.emplace(std::string(budget), index);
    return index;
}

holder_account& grant_holder::account(std::string_view budget)
{
    return accounts_[account_index(budget)];
}

const holder_account* grant_holder::find_account(std::string_view budget) const
{
    const auto found = account_of_.find(budget);
    return found == account_of_.end() ? nullptr : &accounts_[found->second];
}

const known_request* grant_holder::find(const request_key& key) const
{
    const auto found = requests_.find(key);
    return found == requests_.end() ? nullptr : &found->second;
}

reserve_outcome grant_holder::insert(const reservation& request)
{
    const std::uint32_t index = account_index(request.budget);
    auto& budget_account = accounts_[index];
    budget_account.largest_request = std::max(budget_account.largest_request, request.upper_tokens);
    if (!budget_account.covers(request.upper_tokens)) {
        return reserve_outcome::insufficient_tokens;
    }
    budget_account.reserved += request.upper_tokens;
    ++reservation_count_;
    known_request* entry = nullptr;
    if (free_nodes_.empty()) {
        entry = &requests_[request.key];
    } else {
        auto node = std::move(free_nodes_.back());
        free_nodes_.pop_back();
        node.key().workspace.assign(request.key.workspace);
        node.key().key.assign(request.key.key);
        entry = &requests_.insert(std::move(node)).position->second;
    }
    entry->account = index;
    entry->finished = false;
    entry->upper_tokens = request.upper_tokens;
    entry->agent.node.assign(request.agent.node);
    entry->agent.epoch = request.agent.epoch;
    entry->attempt = request.attempt;
    entry->digest.assign(request.digest);
    entry->router.assign(request.router);
    entry->confirmed_at = request.now;
    entry->batch = 0;
    entry->next_finished = nullptr;
    return reserve_outcome::reserved;
}

reserve_outcome grant_holder::reserve(const reservation& request)
{
    const auto found = requests_.find(request.key);
    if (found == requests_.end()) {
        return insert(request);
    }
    const auto& entry = found->second;
    const bool repeated = !entry.finished && entry.agent == request.agent &&
                          entry.attempt == request.attempt && entry.router == request.router;
    return repeated ? reserve_outcome::reserved : reserve_outcome::known;
}

reserve_outcome grant_holder::move(const reservation& request, bool previous_not_run)
{
    const auto found = requests_.find(request.key);
    if (found == requests_.end()) {
        return insert(request);
    }
    auto& entry = found->second;
    if (entry.finished) {
        return reserve_outcome::known;
    }
    if (entry.agent == request.agent && entry.attempt == request.attempt) {
        return reserve_outcome::reserved;
    }
    auto& budget_account = accounts_[entry.account];
    const auto earlier = find_open_other(request.key, request.agent, request.attempt);
    if (earlier != other_attempts_.end()) {
        // The request is moved back to an attempt that still has tokens reserved.
        if (previous_not_run) {
            budget_account.reserved -= entry.upper_tokens;
            --reservation_count_;
            entry.upper_tokens = earlier->second.upper;
            other_attempts_.erase(earlier);
        } else {
            std::swap(entry.agent, earlier->second.agent);
            std::swap(entry.upper_tokens, earlier->second.upper);
            std::swap(entry.attempt, earlier->second.attempt);
        }
    } else if (!previous_not_run) {
        if (budget_account.available() < entry.upper_tokens) {
            return reserve_outcome::insufficient_tokens;
        }
        budget_account.reserved += entry.upper_tokens;
        ++reservation_count_;
        other_attempts_.emplace(request.key, other_attempt{.account = entry.account,
                                                           .agent = entry.agent,
                                                           .upper = entry.upper_tokens,
                                                           .since = entry.confirmed_at,
                                                           .attempt = entry.attempt});
    }
    entry.agent = request.agent;
    entry.attempt = request.attempt;
    entry.router.assign(request.router);
    entry.confirmed_at = request.now;
    return reserve_outcome::reserved;
}

void grant_holder::recycle(request_table::iterator entry)
{
    free_nodes_.push_back(requests_.extract(entry));
}

void grant_holder::remember_finished(request_table::iterator entry)
{
    if (last_finished_ == nullptr) {
        first_finished_ = &entry->first;
    } else {
        last_finished_->next_finished = &entry->first;
    }
    last_finished_ = &entry->second;
    ++finished_count_;
    while (finished_count_ > options_.remembered_requests) {
        const auto oldest = requests_.find(*first_finished_);
        if (oldest->second.batch > durable_batch_) {
            break;
        }
        first_finished_ = oldest->second.next_finished;
        if (first_finished_ == nullptr) {
            last_finished_ = nullptr;
        }
        --finished_count_;
        recycle(oldest);
    }
}

std::uint64_t grant_holder::add_line(const request::outcome& outcome, std::uint32_t account,
                                     tokens charged)
{
    if (line_count_ == lines_.size()) {
        lines_.emplace_back();
    }
    auto& line = lines_[line_count_];
    line.key.workspace.assign(outcome.key.workspace);
    line.key.key.assign(outcome.key.key);
    line.budget.assign(accounts_[account].budget);
    line.charged = charged;
    line.prompt_tokens = outcome.prompt_tokens;
    line.completion_tokens = outcome.completion_tokens;
    line.service.assign(outcome.service);
    line.agent.node.assign(outcome.agent.node);
    line.agent.epoch = outcome.agent.epoch;
    accounts_[account].accounted += charged;
    accounts_[account].spent_in_period += charged;
    return last_batch_ + 1 + line_count_++ / options_.lines_per_batch;
}

void grant_holder::add_unproved(const request_key& key, std::uint32_t account,
                                const incarnation& agent, std::uint32_t attempt, tokens amount)
{
    // An amount of 0 is recorded too: the outcome is durable only with a batch that names it.
    accounts_[account].accounted += amount;
    unproved_.push_back({.key = key,
                         .budget = accounts_[account].budget,
                         .amount = amount,
                         .agent = agent,
                         .attempt = attempt});
}

const grant_holder::other_attempt*
grant_holder::find_settled_other(const request::outcome& outcome) const
{
    const auto [first, last] = other_attempts_.equal_range(outcome.key);
    const auto other = std::find_if(first, last, [&](const auto& item) {
        return item.second.agent == outcome.agent && item.second.batch != 0 &&
               item.second.attempt == outcome.attempt;
    });
    return other == last ? nullptr : &other->second;
}

settle_outcome grant_holder::settle(const request::outcome& outcome)
{
    if (!other_attempts_.empty() && find_settled_other(outcome) != nullptr) {
        return settle_outcome::ignored;
    }
    const auto found = requests_.find(outcome.key);
    if (found == requests_.end() || found->second.finished ||
        found->second.agent != outcome.agent || found->second.attempt != outcome.attempt) {
        return settle_other(outcome);
    }
    auto& entry = found->second;
    const std::uint32_t account = entry.account;
    accounts_[account].reserved -= entry.upper_tokens;
    --reservation_count_;
    const tokens charged = limited_charge(outcome, entry.upper_tokens);
    switch (outcome.verdict) {
    case verdict::ran:
        entry.finished = true;
        entry.batch = add_line(outcome, account, charged);
        remember_finished(found);
        break;
    case verdict::may_have_run:
        // The key stays free for another attempt, whose run is then billed.
        add_unproved(outcome.key, account, outcome.agent, outcome.attempt, charged);
        other_attempts_.emplace(outcome.key, other_attempt{.account = account,
                                                           .agent = outcome.agent,
                                                           .upper = 0,
                                                           .attempt = outcome.attempt,
                                                           .batch = last_batch_ + 1});
        recycle(found);
        break;
    case verdict::not_run:
        recycle(found);
        break;
    }
    return settle_outcome::settled;
}

void grant_holder::make_current(attempt_table::iterator other)
{
    const request_key key = other->first;
    const other_attempt attempt = other->second;
    other_attempts_.erase(other);
    auto& entry = requests_[key];
    if (!entry.agent.node.empty()) {
        other_attempts_.emplace(key, other_attempt{.account = entry.account,
                                                   .agent = entry.agent,
                                                   .upper = entry.upper_tokens,
                                                   .since = entry.confirmed_at,
                                                   .attempt = entry.attempt,
                                                   .batch = 0});
    }
    entry.account = attempt.account;
    entry.agent = attempt.agent;
    entry.attempt = attempt.attempt;
    entry.upper_tokens = attempt.upper;
    entry.confirmed_at = attempt.since;
}

settle_outcome grant_holder::settle_other(const request::outcome& outcome)
{
    const auto other = find_open_other(outcome.key, outcome.agent, outcome.attempt);
    if (other != other_attempts_.end()) {
        auto& attempt = other->second;
        const auto* current = find(outcome.key);
        if (outcome.verdict == verdict::ran && (current == nullptr || !current->finished)) {
            make_current(other);
            return settle(outcome);
        }
        accounts_[attempt.account].reserved -= attempt.upper;
        --reservation_count_;
        const tokens charged =
            outcome.verdict == verdict::not_run ? 0 : limited_charge(outcome, attempt.upper);
        add_unproved(outcome.key, attempt.account, outcome.agent, outcome.attempt, charged);
        attempt.upper = 0;
        attempt.batch = last_batch_ + 1;
        return settle_outcome::settled;
    }
    const auto* entry = find(outcome.key);
    const bool repeated = entry != nullptr && entry->finished && entry->agent == outcome.agent &&
                          entry->attempt == outcome.attempt;
    if (!repeated && outcome.verdict != verdict::not_run) {
        log(events::unexpected_outcome, {{"workspace", outcome.key.workspace},
                                         {"key", outcome.key.key},
                                         {"agent", to_string(outcome.agent)},
                                         {"charged", outcome.charged}});
    }
    return settle_outcome::ignored;
}

bool grant_holder::release(const request_key& key)
{
    const auto found = requests_.find(key);
    if (found == requests_.end() || found->second.finished) {
        return false;
    }
    accounts_[found->second.account].reserved -= found->second.upper_tokens;
    --reservation_count_;
    recycle(found);
    return true;
}

bool grant_holder::release_at(const request_key& key, const incarnation& agent,
                              std::uint32_t attempt)
{
    const auto* entry = find(key);
    if (entry != nullptr && !entry->finished && entry->agent == agent &&
        entry->attempt == attempt) {
        return release(key);
    }
    const auto other = find_open_other(key, agent, attempt);
    if (other == other_attempts_.end()) {
        return false;
    }
    release_other(other);
    return true;
}

grant_holder::attempt_table::iterator grant_holder::find_open_other(const request_key& key,
                                                                    const incarnation& agent,
                                                                    std::uint32_t attempt)
{
    const auto [first, last] = other_attempts_.equal_range(key);
    const auto found = std::find_if(first, last, [&](const auto& item) {
        return item.second.agent == agent && item.second.attempt == attempt &&
               item.second.batch == 0;
    });
    return found == last ? other_attempts_.end() : found;
}

grant_holder::attempt_table::iterator grant_holder::find_open_other(const request_key& key,
                                                                    const incarnation& agent)
{
    const auto [first, last] = other_attempts_.equal_range(key);
    const auto found = std::find_if(first, last, [&](const auto& item) {
        return item.second.agent == agent && item.second.batch == 0;
    });
    return found == last ? other_attempts_.end() : found;
}

void grant_holder::release_other(attempt_table::iterator other)
{
    accounts_[other->second.account].reserved -= other->second.upper;
    --reservation_count_;
    other_attempts_.erase(other);
}

void grant_holder::move_to_unproved(request_table::iterator entry)
{
    const auto& request = entry->second;
    accounts_[request.account].reserved -= request.upper_tokens;
    --reservation_count_;
    add_unproved(entry->first, request.account, request.agent, request.attempt,
                 request.upper_tokens);
    recycle(entry);
}

void grant_holder::move_to_unproved(attempt_table::iterator other)
{
    const auto& attempt = other->second;
    accounts_[attempt.account].reserved -= attempt.upper;
    --reservation_count_;
    add_unproved(other->first, attempt.account, attempt.agent, attempt.attempt, attempt.upper);
    other_attempts_.erase(other);
}

void grant_holder::agent_gone(const incarnation& agent)
{
    for (auto entry = requests_.begin(); entry != requests_.end();) {
        const auto current = entry++;
        if (!current->second.finished && current->second.agent == agent) {
            move_to_unproved(current);
        }
    }
    for (auto other = other_attempts_.begin(); other != other_attempts_.end();) {
        const auto current = other++;
        if (current->second.agent != agent) {
            continue;
        }
        if (current->second.batch == 0) {
            move_to_unproved(current);
        } else {
            other_attempts_.erase(current);
        }
    }
}

bool grant_holder::is_durable(const request::outcome& outcome) const
{
    if (const auto* other = find_settled_other(outcome)) {
        return other->batch <= durable_batch_;
    }
    const auto [first, last] = other_attempts_.equal_range(outcome.key);
    if (std::any_of(first, last, [&](const auto& item) {
            return item.second.agent == outcome.agent && item.second.attempt == outcome.attempt &&
                   item.second.batch == 0;
        })) {
        return false;
    }
    const auto* entry = find(outcome.key);
    if (entry == nullptr || entry->agent != outcome.agent || entry->attempt != outcome.attempt) {
        return true;
    }
    return entry->finished && entry->batch <= durable_batch_;
}

std::vector<std::pair<request_key, incarnation>>
grant_holder::reserved_before(milliseconds time, std::size_t limit) const
{
    std::vector<std::pair<request_key, incarnation>> result;
    for (const auto& [key, entry] : requests_) {
        if (result.size() >= limit) {
            break;
        }
        if (!entry.finished && entry.confirmed_at < time) {
            result.emplace_back(key, entry.agent);
        }
    }
    for (const auto& [key, attempt] : other_attempts_) {
        if (attempt.batch == 0 && attempt.since < time && result.size() < limit) {
            result.emplace_back(key, attempt.agent);
        }
    }
    return result;
}

void grant_holder::mark_confirmed(const request_key& key, const incarnation& agent,
                                  milliseconds now)
{
    const auto found = requests_.find(key);
    if (found != requests_.end() && found->second.agent == agent) {
        found->second.confirmed_at = now;
    }
    const auto [first, last] = other_attempts_.equal_range(key);
    for (auto other = first; other != last; ++other) {
        if (other->second.agent == agent) {
            other->second.since = now;
        }
    }
}

bool grant_holder::release_all_at(const request_key& key, const incarnation& agent)
{
    bool released = false;
    const auto entry = requests_.find(key);
    if (entry != requests_.end() && !entry->second.finished && entry->second.agent == agent) {
        released = release(key);
    }
    for (auto other = find_open_other(key, agent); other != other_attempts_.end();
         other = find_open_other(key, agent)) {
        release_other(other);
        released = true;
    }
    return released;
}

bool grant_holder::apply_key_state(const request_key& key, const incarnation& agent,
                                   request::key_state state, milliseconds now)
{
    switch (state) {
    case request::key_state::refused:
        return release_all_at(key, agent);
    case request::key_state::running:
        mark_confirmed(key, agent, now);
        return false;
    case request::key_state::unknown:
        return false;
    case request::key_state::finished:
        break;
    }
    const auto entry = requests_.find(key);
    if (entry != requests_.end() && !entry->second.finished && entry->second.agent == agent) {
        if (now - entry->second.confirmed_at >= missing_outcome_timeout) {
            move_to_unproved(entry);
        }
        return false;
    }
    const auto other = find_open_other(key, agent);
    if (other != other_attempts_.end() && now - other->second.since >= missing_outcome_timeout) {
        move_to_unproved(other);
    }
    return false;
}

bool grant_holder::has_open_lines() const
{
    return line_count_ > 0 || !unproved_.empty();
}

tokens grant_holder::open_charges(std::string_view budget) const
{
    tokens result = 0;
    for (std::size_t i = 0; i < line_count_; ++i) {
        result += lines_[i].budget == budget ? lines_[i].charged : 0;
    }
    for (const auto& use : unproved_) {
        result += use.budget == budget ? use.amount : 0;
    }
    return result;
}

std::optional<bill_batch> grant_holder::seal(std::uint32_t shard, const incarnation& self)
{
    if (!has_open_lines()) {
        return std::nullopt;
    }
    const auto batch_line_count = std::min(line_count_, options_.lines_per_batch);
    const auto end = lines_.begin() + static_cast<std::ptrdiff_t>(batch_line_count);
    bill_batch result{.shard = shard,
                      .holder = self,
                      .number = ++last_batch_,
                      .by_closer = false,
                      .lines = {lines_.begin(), end},
                      .unproved = std::move(unproved_),
                      .kept = {}};
    unproved_.clear();
    std::rotate(lines_.begin(), end, lines_.begin() + static_cast<std::ptrdiff_t>(line_count_));
    line_count_ -= batch_line_count;
    return result;
}

void grant_holder::mark_durable(std::uint64_t batch)
{
    durable_batch_ = batch;
    std::erase_if(other_attempts_, [&](const auto& item) {
        return item.second.batch != 0 &&
               item.second.batch + attempt_memory_batches <= durable_batch_;
    });
}

tokens grant_holder::total_reserved() const
{
    tokens result = 0;
    for (const auto& budget_account : accounts_) {
        result += budget_account.reserved;
    }
    return result;
}

} // namespace dotterelport::budget
