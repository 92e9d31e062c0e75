#include "dotterelport/gateway/shard_keeper.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"
#include "dotterelport/gateway/events.hpp"

namespace dotterelport::gateway {
namespace {

constexpr enum_names<reservation_outcome, 3> outcome_names{{
    {reservation_outcome::reserved, "reserved"},
    {reservation_outcome::exhausted, "exhausted"},
    {reservation_outcome::no_grant, "no_grant"},
}};

/// Placeholder for the agent in reservations and settlements; requests that go directly to a
/// backend server have no agent.
const incarnation no_agent{.node = "direct", .epoch = 1};

constexpr enum_names<reservation_forecast, 4> forecast_names{{
    {reservation_forecast::reserved, "reserved"},
    {reservation_forecast::exhausted, "exhausted"},
    {reservation_forecast::no_grant, "no_grant"},
    {reservation_forecast::waits, "waits"},
}};

} // namespace

std::string_view to_string(reservation_outcome value)
{
    return name_of(outcome_names, value);
}

std::string_view to_string(reservation_forecast value)
{
    return name_of(forecast_names, value);
}

budget::demand_share shard_keeper_settings::default_sizing()
{
    budget::demand_share result;
    // Longest time for which a router is usually disconnected from the store.
    result.horizon = milliseconds{8'000};
    result.trouble_factor = 0;
    result.reserve_requests = 0.5;
    result.largest_share = 0.3;
    result.least_prepaid_fraction = 0.003;
    result.near_end_fraction = 1.0;
    result.least_factor = 0.1;
    result.assumed_request = 10'000;
    result.open_early = false;
    // A router that is no longer the owner of a workspace returns its grant after this time.
    result.idle_limit = milliseconds{3'000};
    result.demand_memory = milliseconds{8'000};
    result.grow_below = 0.4;
    result.shrink_above = 1.5;
    return result;
}

shard_keeper::shard_keeper(net::event_loop& loop, object_store::conditional_objects& objects,
                           std::uint32_t shard, incarnation self,
                           std::shared_ptr<store_health> health,
                           const shard_keeper_settings& settings)
    : loop_(loop), objects_(objects), settings_(settings), self_(std::move(self)),
      health_(std::move(health)), session_(shard, self_, settings.sizing),
      alive_(std::make_shared<shard_keeper*>(this))
{
    schedule_round(settings_.round_interval);
}

shard_keeper::~shard_keeper()
{
    for (const auto& item : waiting_) {
        loop_.cancel(item.timer);
    }
    loop_.cancel(round_timer_);
}

void store_health::record_failure(milliseconds now, milliseconds initial_backoff,
                                  milliseconds max_backoff)
{
    // The first retry follows at once, as it takes another path to the store.
    constexpr int max_doublings = 6;
    const int doublings = std::min(failures - 1, max_doublings);
    retry_at =
        failures == 0 ? now : now + std::min(max_backoff, initial_backoff * (1 << doublings));
    probe_at = retry_at;
    ++failures;
}

void shard_keeper::declare(std::shared_ptr<const budget::declaration> declaration)
{
    declaration_ = std::move(declaration);
    is_declaration_pending_ = true;
    if (!is_idle()) {
        pass_declaration();
        schedule_round(settings_.min_round_interval);
    }
}

void shard_keeper::pass_declaration()
{
    if (std::exchange(is_declaration_pending_, false)) {
        session_.set_declaration(declaration_);
    }
}

void shard_keeper::begin_era(object_store::store_era era, std::function<recovery_times()> times)
{
    recovery_ = std::move(times);
    session_.observe_era(era);
    if (session_.needs_recovery() && !session_.in_round()) {
        schedule_round(settings_.min_round_interval);
    }
}

void shard_keeper::add_copy(budget::ledger_copy copy)
{
    session_.add_copy(std::move(copy));
}

bool shard_keeper::is_idle() const
{
    return waiting_.empty() && session_.is_drained();
}

reservation_outcome shard_keeper::try_reserve(const request_key& key, tokens upper_tokens)
{
    const auto outcome = session_.holder().reserve({.key = key,
                                                    .budget = key.workspace,
                                                    .upper_tokens = upper_tokens,
                                                    .agent = no_agent,
                                                    .digest = {},
                                                    .router = self_.node,
                                                    .now = steady_now()});
    // All other outcomes are refused, including a finished key, which must not run again under its
    // old reservation.
    return outcome == budget::reserve_outcome::reserved ? reservation_outcome::reserved
                                                        : reservation_outcome::no_grant;
}

bool shard_keeper::is_exhausted(const std::string& workspace, tokens upper_tokens) const
{
    const auto* ledger = session_.ledger();
    const auto* entry = ledger == nullptr ? nullptr : ledger->find(workspace);
    if (entry == nullptr) {
        return false;
    }
    // Other routers may return open tokens unused, and tokens of runs without an outcome may not
    // have been used, so only settled usage and this router's own reservations are evidence.
    const auto* own_account = session_.holder().find_account(workspace);
    const tokens own_reserved = own_account == nullptr ? 0 : own_account->reserved;
    return entry->settled + own_reserved + upper_tokens > prepaid_of(workspace, *entry);
}

bool shard_keeper::is_ledger_outdated() const
{
    const auto* ledger = session_.ledger();
    return declaration_ != nullptr &&
           (ledger == nullptr || ledger->generation() < declaration_->generation);
}

tokens shard_keeper::prepaid_of(const std::string& workspace,
                                const budget::ledger_entry& entry) const
{
    if (!is_ledger_outdated()) {
        return entry.prepaid;
    }
    const auto& budgets = declaration_->budgets;
    const auto found = std::find_if(budgets.begin(), budgets.end(),
                                    [&](const auto& item) { return item.budget == workspace; });
    return found == budgets.end() ? 0 : found->prepaid;
}

bool shard_keeper::lacks_capacity(const std::string& workspace, tokens upper_tokens) const
{
    const auto* ledger = session_.ledger();
    const auto* entry = ledger == nullptr ? nullptr : ledger->find(workspace);
    const auto* own_account = session_.holder().find_account(workspace);
    if (entry == nullptr || own_account == nullptr || !last_ledger_read_ ||
        steady_now() - *last_ledger_read_ > settings_.max_ledger_age) {
        return false;
    }
    if (is_ledger_outdated() && prepaid_of(workspace, *entry) > entry->prepaid) {
        return false;
    }
    return entry->grantable() + std::max<tokens>(0, own_account->available()) < upper_tokens;
}

void shard_keeper::reserve(const std::string& workspace, const std::string& id, tokens upper_tokens,
                           reservation_handler done)
{
    pass_declaration();
    const request_key key{.workspace = workspace, .key = id};
    if (try_reserve(key, upper_tokens) == reservation_outcome::reserved) {
        done(reservation_outcome::reserved);
        return;
    }
    const auto expected = forecast_without_grant(workspace, upper_tokens);
    if (expected != reservation_forecast::waits) {
        done(expected == reservation_forecast::exhausted ? reservation_outcome::exhausted
                                                         : reservation_outcome::no_grant);
        return;
    }
    waiting_.push_back(
        {.key = key,
         .upper_tokens = upper_tokens,
         .deadline = steady_now() + settings_.grant_wait,
         .done = std::move(done),
         .timer = loop_.schedule(settings_.grant_wait, [this, key] { time_out_waiting(key); })});
    if (!session_.in_round()) {
        const milliseconds next = last_round_ + settings_.min_round_interval;
        schedule_round(std::max(milliseconds{0}, next - steady_now()));
    }
}

reservation_forecast shard_keeper::forecast_without_grant(const std::string& workspace,
                                                          tokens upper_tokens) const
{
    if (is_exhausted(workspace, upper_tokens)) {
        return reservation_forecast::exhausted;
    }
    return lacks_capacity(workspace, upper_tokens) || health_->is_backing_off(steady_now())
               ? reservation_forecast::no_grant
               : reservation_forecast::waits;
}

reservation_forecast shard_keeper::forecast(const std::string& workspace, tokens upper_tokens) const
{
    const auto* account = session_.holder().find_account(workspace);
    return account != nullptr && account->covers(upper_tokens)
               ? reservation_forecast::reserved
               : forecast_without_grant(workspace, upper_tokens);
}

grant_prospect shard_keeper::prospect(const std::string& workspace, tokens upper_tokens) const
{
    const milliseconds now = steady_now();
    const bool is_store_away = health_->is_backing_off(now);
    const milliseconds next =
        is_store_away ? health_->probe_at : last_round_ + settings_.round_interval;
    return {.is_store_away = is_store_away,
            .is_ledger_short = lacks_capacity(workspace, upper_tokens),
            .until_attempt = std::max(milliseconds{0}, next - now)};
}

void shard_keeper::abandon(const std::string& workspace, const std::string& id)
{
    waiting_.remove_if([&](const waiting_reservation& item) {
        const bool matches = item.key.workspace == workspace && item.key.key == id;
        if (matches) {
            loop_.cancel(item.timer);
        }
        return matches;
    });
}

void shard_keeper::time_out_waiting(const request_key& key)
{
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [&key](const waiting_reservation& item) { return item.key == key; });
    if (found != waiting_.end()) {
        const auto done = std::move(found->done);
        waiting_.erase(found);
        done(reservation_outcome::no_grant);
    }
}

void shard_keeper::settle(const std::string& workspace, const std::string& id, verdict ran,
                          tokens prompt_tokens, tokens output_tokens)
{
    session_.holder().settle({.key = {.workspace = workspace, .key = id},
                              .attempt = 1,
                              .budget = workspace,
                              .holder = self_,
                              .verdict = ran,
                              .charged = prompt_tokens + output_tokens,
                              .prompt_tokens = prompt_tokens,
                              .completion_tokens = output_tokens,
                              .service = {},
                              .agent = no_agent});
}

void shard_keeper::update_demand()
{
    for (auto& account : session_.holder().accounts()) {
        account.waiting_tokens = 0;
    }
    for (auto& item : waiting_) {
        session_.holder().account(item.key.workspace).waiting_tokens += item.upper_tokens;
        item.is_in_round = true;
    }
}

void shard_keeper::schedule_round(milliseconds delay)
{
    loop_.cancel(round_timer_);
    round_timer_ = loop_.schedule(delay, [this] {
        round_timer_ = 0;
        start_round();
    });
}

void shard_keeper::start_round()
{
    if (session_.in_round()) {
        return;
    }
    const milliseconds now = steady_now();
    if (!health_->may_probe(now)) {
        schedule_round(health_->probe_at - now);
        return;
    }
    update_demand();
    last_round_ = now;
    // Without a call, a gateway whose grants suffice would not notice the return of the store.
    const bool is_probe = health_->is_large_fleet && health_->failures > 0;
    const bool flush = on_drained_ != nullptr || early_flushes_ > 0 || is_probe ||
                       now - last_flush_ >= settings_.flush_interval;
    if (flush) {
        last_flush_ = now;
    }
    const recovery_times recovery = recovery_ ? recovery_() : recovery_times{};
    const auto step = session_.start({.now = now,
                                      .platform_trouble = milliseconds{0},
                                      .failure_domains = holder_count(),
                                      .flush = flush,
                                      .returned = returned_,
                                      .must_read = is_probe,
                                      .may_recover = now >= recovery.with_copy,
                                      .may_recover_unknown = now >= recovery.without_copy,
                                      .receives_copies = recovery.receives_copies});
    if (!step) {
        round_ended();
        return;
    }
    if (health_->failures > 0) {
        // This round probes whether the store is available again; extending the backoff makes the
        // other shards wait for its result.
        health_->record_failure(now, settings_.initial_backoff, settings_.max_backoff);
    }
    perform(*step);
}

void shard_keeper::perform(const budget::io_step& step)
{
    const bool is_read = step.operation == budget::io_step::kind::read;
    const bool is_ledger_write = !is_read && step.key == budget::shard_object_key(session_.shard());
    const auto resume_round = [this, is_ledger_write,
                               alive = std::weak_ptr<shard_keeper*>(alive_)](const auto& result) {
        if (alive.expired()) {
            return;
        }
        round_reached_store_ = true;
        ledger_written_ = ledger_written_ || is_ledger_write;
        std::optional<budget::io_step> next;
        try {
            next = session_.resume(result);
        } catch (const format_error& failure) {
            log(events::ledger_unavailable,
                {{"shard", session_.shard()}, {"error", failure.what()}});
            next = session_.resume(object_store::read_result{});
        }
        if (next) {
            perform(*next);
        } else {
            round_ended();
        }
    };
    log(events::ledger_step, {{"operation", is_read ? "read" : "write"},
                              {"key", step.key},
                              {"if_version", step.if_version},
                              {"waiting", waiting_.size()}});
    if (is_read) {
        objects_.read(step.key, resume_round);
    } else {
        objects_.write(step.key, step.value, step.if_version, resume_round);
    }
}

void shard_keeper::round_ended()
{
    const bool complete = session_.last_outcome() == budget::round_outcome::complete;
    bool has_returned = false;
    if (session_.last_outcome() == budget::round_outcome::unavailable) {
        log(events::ledger_unavailable,
            {{"shard", session_.shard()}, {"waiting", waiting_.size()}});
        const milliseconds now = steady_now();
        health_->record_failure(now, settings_.initial_backoff, settings_.max_backoff);
        ++health_->failed_rounds;
        if (health_->is_large_fleet) {
            health_->probe_at = std::min(health_->retry_at, now + settings_.probe_interval);
        }
    } else if (round_reached_store_) {
        has_returned = health_->record_answer();
    }
    const bool was_flush = !std::exchange(flushes_after_round_, false);
    if (complete && was_flush && early_flushes_ > 0) {
        early_flushes_ = session_.holder().has_open_lines() ? early_flushes_ - 1 : 0;
        returned_ = budget::idle_return::usual;
    }
    round_reached_store_ = false;
    if (complete && session_.ledger() != nullptr) {
        last_ledger_read_ = steady_now();
    }
    if (std::exchange(ledger_written_, false) && complete && on_ledger_written_) {
        on_ledger_written_();
    }
    log_first_ledger();
    serve_waiting(complete);
    if (on_drained_ && (session_.is_drained() || session_.is_closed())) {
        std::exchange(on_drained_, nullptr)();
        return;
    }
    if (complete && early_flushes_ > 0) {
        schedule_round(milliseconds{0});
    } else if (health_->is_large_fleet && health_->failures > 0 &&
               session_.last_outcome() == budget::round_outcome::unavailable) {
        // A shard that has called the store probes it again; the others wait for its result.
        schedule_round(std::max(settings_.min_round_interval, health_->probe_at - steady_now()));
    } else {
        schedule_round(waiting_.empty() && !on_drained_ ? settings_.round_interval
                                                        : settings_.min_round_interval);
    }
    if (has_returned && health_->on_return) {
        health_->on_return();
    }
}

void shard_keeper::flush(milliseconds delay, budget::idle_return returned)
{
    constexpr int rounds = 2;
    early_flushes_ = rounds;
    returned_ = returned;
    flushes_after_round_ = session_.in_round();
    // A round that is running ends with the next one.
    if (!session_.in_round()) {
        schedule_round(delay);
    }
}

std::optional<tokens> shard_keeper::least_remaining() const
{
    std::optional<tokens> result;
    const auto* ledger = session_.ledger();
    for (const auto& account : session_.holder().accounts()) {
        const auto* entry = ledger == nullptr ? nullptr : ledger->find(account.budget);
        const tokens remaining = entry == nullptr ? 0 : entry->prepaid - entry->settled;
        result = std::min(result.value_or(remaining), remaining);
    }
    return result;
}

void shard_keeper::log_first_ledger()
{
    const auto* ledger = session_.ledger();
    if (ledger_logged_ || ledger == nullptr) {
        return;
    }
    ledger_logged_ = true;
    // Limits the length of the log line.
    constexpr std::size_t max_logged_budgets = 50;
    json budgets = json::object();
    for (const auto& [name, entry] : ledger->budgets()) {
        if (budgets.size() < max_logged_budgets) {
            budgets[name] = {{"prepaid", entry.prepaid},
                             {"settled", entry.settled},
                             {"unproved", entry.unproved},
                             {"open", entry.open()},
                             {"grants", entry.grants.size()}};
        }
    }
    log(events::ledger_read, {{"generation", ledger->generation()}, {"budgets", budgets}});
}

void shard_keeper::serve_waiting(bool round_complete)
{
    const milliseconds now = steady_now();
    std::vector<std::pair<reservation_handler, reservation_outcome>> answers;
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        auto outcome = try_reserve(item->key, item->upper_tokens);
        if (outcome == reservation_outcome::no_grant && round_complete &&
            is_exhausted(item->key.workspace, item->upper_tokens)) {
            outcome = reservation_outcome::exhausted;
        }
        // A complete round has obtained all that the ledger can grant for the requests that it
        // counted, so further waiting is useless for them.
        const bool may_wait = !round_complete || !item->is_in_round || is_ledger_outdated();
        if (outcome == reservation_outcome::no_grant && now < item->deadline && may_wait &&
            !health_->is_backing_off(now)) {
            ++item;
            continue;
        }
        loop_.cancel(item->timer);
        answers.emplace_back(std::move(item->done), outcome);
        item = waiting_.erase(item);
    }
    // The handlers may call reserve(), which changes waiting_.
    for (const auto& [done, outcome] : answers) {
        done(outcome);
    }
}

void shard_keeper::drain(std::function<void()> done)
{
    on_drained_ = std::move(done);
    session_.set_draining();
    schedule_round(milliseconds{0});
}

std::size_t shard_keeper::holder_count() const
{
    const auto* ledger = session_.ledger();
    std::set<std::string_view> nodes{self_.node};
    if (ledger != nullptr) {
        for (const auto& [budget, entry] : ledger->budgets()) {
            for (const auto& [holder, part] : entry.grants) {
                nodes.insert(holder.node);
            }
        }
    }
    return nodes.size();
}

json shard_keeper::dump() const
{
    json result = session_.dump();
    result["waiting"] = waiting_.size();
    result["holders"] = holder_count();
    result["early_flushes"] = early_flushes_;
    result["store_failures"] = health_->failures;
    return result;
}

} // namespace dotterelport::gateway
