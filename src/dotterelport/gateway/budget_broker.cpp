#include "dotterelport/gateway/budget_broker.hpp"

#include <utility>
#include <vector>

#include "dotterelport/base/error.hpp"
#include "dotterelport/gateway/events.hpp"

namespace dotterelport::gateway {
namespace {

/// Answer to a reserve message that is not an outcome: the owner waits for a larger grant.
constexpr int waiting_for_grant = 3;

json copy_message(std::uint32_t shard, const budget::ledger_copy& copy)
{
    return json::array(
        {shard, copy.era, copy.ledger_version, to_json(copy.ledger), copy.has_all_writes});
}

} // namespace

budget_broker::budget_broker(net::event_loop& loop, peer_link& link, budget_keeper& keeper,
                             const budget_broker_settings& settings)
    : loop_(loop), link_(link), keeper_(keeper), settings_(settings),
      // A new run must not reuse numbers of the previous run, as other gateways may still hold
      // reservations under them.
      first_number_(static_cast<std::uint64_t>(wall_clock_now().count()) << 20U),
      last_number_(first_number_)
{
    link_.on_message(peer_message_kind::reserve,
                     [this](const peer_message& message) { receive_reserve(message); });
    link_.on_message(peer_message_kind::reserved,
                     [this](const peer_message& message) { receive_reserved(message); });
    link_.on_message(peer_message_kind::settle,
                     [this](const peer_message& message) { receive_settle(message); });
    link_.on_message(peer_message_kind::ledger_copy,
                     [this](const peer_message& message) { receive_copy(message); });
    link_.on_message(peer_message_kind::store_returned,
                     [this](const peer_message& message) { receive_store_returned(message); });
    keeper_.follow_store([this](std::uint32_t shard) { return link_.owner(shard) == link_.node(); },
                         [this] { store_returned(); });
    // Copies at the gateways that own the shard next outlive this one.
    keeper_.on_ledger_written([this](std::uint32_t shard) { send_copy(shard, true); });
    link_.on_message(peer_message_kind::leaving,
                     [this](const peer_message& message) { receive_leaving(message); });
    link_.on_message(peer_message_kind::settled, [this](const peer_message& message) {
        const auto found =
            settlements_.find({message.node, message.content.at(0).get<std::uint64_t>()});
        if (found != settlements_.end()) {
            loop_.cancel(found->second.timer);
            settlements_.erase(found);
        }
    });
}

budget_broker::~budget_broker()
{
    for (const auto& [number, item] : reservations_) {
        loop_.cancel(item.timer);
    }
    for (const auto& [number, item] : settlements_) {
        loop_.cancel(item.timer);
    }
}

void budget_broker::begin_era(object_store::store_era era)
{
    // Datagrams may be lost.
    constexpr int messages_per_copy = 2;
    const auto is_owner = [this](std::uint32_t shard) {
        return link_.owner(shard) == link_.node();
    };
    for (std::uint32_t shard = 0; shard < ledger_shards; ++shard) {
        for (int i = 0; i < messages_per_copy && !is_owner(shard); ++i) {
            send_copy(shard, receives_copies(shard));
        }
    }
    keeper_.begin_era(era, is_owner,
                      [this](std::uint32_t shard) { return receives_copies(shard); });
}

bool budget_broker::receives_copies(std::uint32_t shard) const
{
    return link_.hears_most() && link_.is_owner_or_standby(shard, settings_.copies);
}

void budget_broker::store_returned()
{
    if (!is_large_fleet() || !settings_.flushes_on_return) {
        return;
    }
    const milliseconds now = steady_now();
    if (store_returned_at_ && now - *store_returned_at_ < settings_.return_memory) {
        // The flush that was requested then lasts until a round of each shard is complete.
        return;
    }
    log(events::budgets_flushed, {{"noticed_by", link_.node()}, {"announced", true}});
    store_returned_at_ = now;
    link_.announce(peer_message_kind::store_returned, json::array());
    keeper_.store_returned();
}

void budget_broker::receive_store_returned(const peer_message& message)
{
    const milliseconds now = steady_now();
    if (!is_large_fleet() || !settings_.flushes_on_return || link_.is_leaving() ||
        (store_returned_at_ && now - *store_returned_at_ < settings_.return_memory)) {
        return;
    }
    store_returned_at_ = now;
    log(events::budgets_flushed, {{"noticed_by", message.node}, {"announced", false}});
    keeper_.store_returned();
}

void budget_broker::hand_over()
{
    for (std::uint32_t shard = 0; shard < ledger_shards; ++shard) {
        send_copy(shard, receives_copies(shard));
    }
}

void budget_broker::send_copy(std::uint32_t shard, bool has_all_writes)
{
    const auto copy = keeper_.newest_copy(shard, has_all_writes);
    // A store that states no era does not come back from an older copy.
    if (!copy || copy->era == 0) {
        return;
    }
    const json content = copy_message(shard, *copy);
    for (const auto& node : link_.standbys(shard, settings_.copies)) {
        link_.send(node, peer_message_kind::ledger_copy, content);
    }
}

void budget_broker::receive_copy(const peer_message& message)
{
    constexpr std::size_t position = 4;
    const auto shard = message.content.at(0).get<std::uint32_t>();
    if (shard >= ledger_shards) {
        log(events::ledger_copy_unreadable, {{"node", message.node}, {"shard", shard}});
        return;
    }
    try {
        const budget::ledger_copy copy{
            .era = message.content.at(1).get<object_store::store_era>(),
            .ledger_version = message.content.at(2).get<object_store::version>(),
            .ledger = budget::parse_ledger_shard(message.content.at(3).dump()),
            // Gateways of an earlier version do not state it.
            .has_all_writes =
                message.content.size() <= position || message.content.at(position).get<bool>()};
        keeper_.add_copy(shard, copy);
        if (copy.has_all_writes) {
            return;
        }
        // The sender would withhold tokens if it recovered the ledger first, which it does if the
        // gateways that know it are cut off from the store.
        const auto newest = keeper_.newest_copy(shard, receives_copies(shard));
        if (newest && newest->is_better_than(copy) && newest->has_all_writes) {
            link_.send(message.node, peer_message_kind::ledger_copy, copy_message(shard, *newest));
        }
    } catch (const format_error& failure) {
        log(events::ledger_copy_unreadable, {{"node", message.node}, {"error", failure.what()}});
    }
}

std::string budget_broker::owner_of(const std::string& workspace) const
{
    return link_.owner(ledger_shard_of(workspace));
}

std::string budget_broker::key_of(const std::string& node, std::uint64_t number) const
{
    return node + "/" + std::to_string(number);
}

std::uint64_t budget_broker::reserve(const std::string& workspace, tokens upper_tokens,
                                     budget_keeper::reservation_handler done)
{
    const std::uint64_t number = ++last_number_;
    own_reservation item;
    item.workspace = workspace;
    item.upper_tokens = upper_tokens;
    item.done = std::move(done);
    reservations_.emplace(number, std::move(item));
    choose_owner(number);
    return number;
}

milliseconds budget_broker::retry_after(const std::string& workspace, tokens upper_tokens)
{
    grant_refusal refusal = unexplained_refusal();
    if (!refusal.is_large_fleet) {
        return grant_retry_after(refusal);
    }
    if (const auto* stated = statement_of(workspace)) {
        refusal.stated_by_owner = stated->expected_at - steady_now();
    } else {
        refusal.own = keeper_.prospect(workspace, upper_tokens);
    }
    return grant_retry_after(refusal);
}

grant_refusal budget_broker::unexplained_refusal() const
{
    const bool is_large = is_large_fleet();
    return {.is_large_fleet = is_large,
            .is_isolated = is_large && link_.group_size() > 0 && link_.live_peers().empty(),
            .own = {}};
}

const budget_broker::owner_statement*
budget_broker::statement_of(const std::string& workspace) const
{
    const auto stated = statements_.find(workspace);
    return stated != statements_.end() && stated->second.owner == owner_of(workspace)
               ? &stated->second
               : nullptr;
}

broker_forecast budget_broker::forecast(const std::string& workspace, tokens upper_tokens) const
{
    const std::string owner = owner_of(workspace);
    grant_refusal refusal = unexplained_refusal();
    const bool is_unheard = has_too_many_timeouts() && steady_now() < ask_at_;
    if (is_reserved_here(owner, is_unheard)) {
        broker_forecast result{.owner = {},
                               .own = keeper_.forecast(workspace, upper_tokens),
                               .retry_after = std::nullopt};
        if (result.own == reservation_forecast::no_grant) {
            refusal.own =
                keeper_.known_prospect(workspace, upper_tokens).value_or(grant_prospect{});
            result.retry_after = grant_retry_after(refusal);
        }
        return result;
    }
    broker_forecast result{.owner = owner, .own = std::nullopt, .retry_after = std::nullopt};
    const auto* stated = statement_of(workspace);
    if (stated != nullptr && refusal.is_large_fleet) {
        refusal.stated_by_owner = stated->expected_at - steady_now();
        result.retry_after = grant_retry_after(refusal);
    }
    return result;
}

void budget_broker::note_statement(const std::string& workspace, const peer_message& message)
{
    constexpr std::size_t position = 3;
    // Gateways of an earlier version do not state a time.
    if (message.content.size() > position) {
        const milliseconds wait{message.content.at(position).get<std::int64_t>()};
        statements_.insert_or_assign(
            workspace, owner_statement{.owner = message.node, .expected_at = steady_now() + wait});
    } else {
        statements_.erase(workspace);
    }
}

void budget_broker::choose_owner(std::uint64_t number)
{
    auto& item = reservations_.at(number);
    const std::string owner = owner_of(item.workspace);
    // An unconfirmed settlement would also end a second reservation of this number there.
    if (settlements_.contains({owner, number}) ||
        is_reserved_here(owner, owner != link_.node() && is_unheard())) {
        item.owner.clear();
        reserve_locally(number);
        return;
    }
    item.owner = owner;
    item.owner_waits = false;
    item.requested_at = steady_now();
    request_from_owner(number);
}

bool budget_broker::is_unheard()
{
    if (!has_too_many_timeouts()) {
        return false;
    }
    const milliseconds now = steady_now();
    if (now < ask_at_) {
        return true;
    }
    ask_at_ = now + settings_.ask_interval;
    return false;
}

void budget_broker::request_from_owner(std::uint64_t number)
{
    const auto found = reservations_.find(number);
    if (found == reservations_.end()) {
        return;
    }
    auto& item = found->second;
    const milliseconds timeout =
        item.owner_waits ? settings_.waiting_owner_timeout : settings_.owner_timeout;
    if (steady_now() - item.requested_at >= timeout) {
        if (!item.owner_waits) {
            log(events::owner_silent, {{"owner", item.owner}, {"workspace", item.workspace}});
            link_.mark_silent(item.owner);
            link_delay_.record(item.owner, timeout, steady_now());
            if (++timeouts_ == settings_.max_timeouts) {
                ask_at_ = steady_now() + settings_.ask_interval;
            }
        }
        // The owner may have reserved the tokens; the settlement releases them.
        start_settlement(item.owner, number, verdict::not_run, 0, 0);
        item.owner.clear();
        reserve_locally(number);
        return;
    }
    link_.send(item.owner, peer_message_kind::reserve,
               json::array({number, item.workspace, item.upper_tokens}));
    item.timer = loop_.schedule(settings_.reserve_resend_interval,
                                [this, number] { request_from_owner(number); });
}

void budget_broker::reserve_locally(std::uint64_t number)
{
    const auto& item = reservations_.at(number);
    statements_.erase(item.workspace);
    keeper_.reserve(item.workspace, key_of(link_.node(), number), item.upper_tokens,
                    [this, number, workspace = item.workspace](reservation_outcome outcome) {
                        if (reservations_.contains(number)) {
                            finish(number, outcome);
                        } else if (outcome == reservation_outcome::reserved) {
                            // The request ended after its tokens were reserved and before it was
                            // told.
                            keeper_.settle(workspace, key_of(link_.node(), number),
                                           verdict::not_run, 0, 0);
                        }
                    });
}

void budget_broker::finish(std::uint64_t number, reservation_outcome outcome)
{
    const auto found = reservations_.find(number);
    if (found == reservations_.end()) {
        return;
    }
    auto& item = found->second;
    loop_.cancel(std::exchange(item.timer, 0));
    item.waiting = false;
    const auto done = std::exchange(item.done, nullptr);
    if (outcome != reservation_outcome::reserved) {
        reservations_.erase(found);
    }
    done(outcome);
}

void budget_broker::abandon(std::uint64_t reservation)
{
    const auto found = reservations_.find(reservation);
    if (found == reservations_.end()) {
        return;
    }
    auto& item = found->second;
    loop_.cancel(item.timer);
    if (item.owner.empty()) {
        keeper_.abandon(item.workspace, key_of(link_.node(), reservation));
    } else {
        start_settlement(item.owner, reservation, verdict::not_run, 0, 0);
    }
    reservations_.erase(found);
}

void budget_broker::settle(std::uint64_t reservation, verdict ran, tokens prompt_tokens,
                           tokens output_tokens)
{
    const auto found = reservations_.find(reservation);
    if (found == reservations_.end()) {
        return;
    }
    const auto& item = found->second;
    if (item.owner.empty()) {
        keeper_.settle(item.workspace, key_of(link_.node(), reservation), ran, prompt_tokens,
                       output_tokens);
    } else {
        start_settlement(item.owner, reservation, ran, prompt_tokens, output_tokens);
    }
    reservations_.erase(found);
}

void budget_broker::start_settlement(const std::string& owner, std::uint64_t number, verdict ran,
                                     tokens prompt_tokens, tokens output_tokens)
{
    auto& item = settlements_[settlement_key(owner, number)];
    loop_.cancel(item.timer);
    item = settlement{.content = json::array(
                          {number, dotterelport::to_string(ran), prompt_tokens, output_tokens}),
                      .started_at = steady_now()};
    send_settlement({owner, number});
}

void budget_broker::send_settlement(const settlement_key& key)
{
    const auto found = settlements_.find(key);
    if (found == settlements_.end()) {
        return;
    }
    auto& item = found->second;
    const auto& [owner, number] = key;
    if (steady_now() - item.started_at > settings_.lent_timeout) {
        log(events::settlement_lost, {{"owner", owner}, {"reservation", number}});
        settlements_.erase(found);
        return;
    }
    link_.send(owner, peer_message_kind::settle, item.content);
    item.timer =
        loop_.schedule(settings_.settle_resend_interval, [this, key] { send_settlement(key); });
}

void budget_broker::receive_reserve(const peer_message& message)
{
    const auto number = message.content.at(0).get<std::uint64_t>();
    const auto workspace = message.content.at(1).get<std::string>();
    const auto upper_tokens = message.content.at(2).get<tokens>();
    const std::string key = key_of(message.node, number);
    const auto answer_of = [this, number, workspace, upper_tokens](reservation_outcome outcome) {
        json answer = json::array({number, static_cast<int>(outcome), keeper_.generation()});
        if (outcome == reservation_outcome::no_grant && is_large_fleet()) {
            const grant_refusal refusal{.is_large_fleet = true,
                                        .is_isolated = false,
                                        .own = keeper_.prospect(workspace, upper_tokens)};
            answer.push_back(grant_retry_after(refusal).count());
        }
        return answer;
    };
    if (lent_.contains(key)) {
        link_.send(message.node, peer_message_kind::reserved,
                   answer_of(reservation_outcome::reserved));
        return;
    }
    const auto ended = ended_here_.find(key);
    if (ended != ended_here_.end()) {
        // A delayed copy of a message: tokens reserved for it would never be settled.
        if (ended->second.refusal) {
            link_.send(message.node, peer_message_kind::reserved, *ended->second.refusal);
        }
        return;
    }
    if (link_.is_leaving()) {
        // A reservation made now could outlive this process. A gateway outside the group may not
        // know yet that this one is stopping.
        link_.send(message.node, peer_message_kind::leaving, json::array());
        return;
    }
    // A repeated message replaces the reservation that still waits for the first one.
    keeper_.abandon(workspace, key);
    waiting_here_.insert_or_assign(
        key, waiting_reservation{.workspace = workspace, .asked_at = steady_now()});
    keeper_.reserve(workspace, key, upper_tokens,
                    [this, workspace, key, upper_tokens, node = message.node,
                     answer_of](reservation_outcome outcome) {
                        const json answer = answer_of(outcome);
                        if (lend(workspace, key, upper_tokens, outcome, answer)) {
                            link_.send(node, peer_message_kind::reserved, answer);
                        }
                    });
    if (waiting_here_.contains(key)) {
        // Otherwise the asking gateways would consider this one dead and all open grants of their
        // own.
        link_.send(message.node, peer_message_kind::reserved,
                   json::array({number, waiting_for_grant}));
    }
}

bool budget_broker::lend(const std::string& workspace, const std::string& key, tokens upper_tokens,
                         reservation_outcome outcome, const json& answer)
{
    const auto found = waiting_here_.find(key);
    const bool is_cancelled = found == waiting_here_.end();
    const bool is_awaited =
        !is_cancelled && steady_now() - found->second.asked_at <= settings_.asker_timeout;
    if (!is_cancelled) {
        waiting_here_.erase(found);
    }
    if (outcome != reservation_outcome::reserved) {
        if (!is_cancelled) {
            ended_here_.insert_or_assign(
                key, ended_reservation{.ended_at = steady_now(), .refusal = answer});
        }
        return !is_cancelled;
    }
    if (!is_awaited) {
        log(events::reservation_unclaimed,
            {{"workspace", workspace}, {"key", key}, {"cancelled", is_cancelled}});
        keeper_.settle(workspace, key, verdict::not_run, 0, 0);
        return false;
    }
    lent_.emplace(key, lent_reservation{.workspace = workspace,
                                        .upper_tokens = upper_tokens,
                                        .lent_at = steady_now()});
    return true;
}

void budget_broker::receive_leaving(const peer_message& message)
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, item] : reservations_) {
        if (item.waiting && item.owner == message.node) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        auto& item = reservations_.at(number);
        loop_.cancel(std::exchange(item.timer, 0));
        // The stopping owner may have reserved the tokens; the settlement releases them.
        start_settlement(item.owner, number, verdict::not_run, 0, 0);
        choose_owner(number);
    }
}

void budget_broker::receive_reserved(const peer_message& message)
{
    constexpr int last_outcome = static_cast<int>(reservation_outcome::no_grant);
    const auto number = message.content.at(0).get<std::uint64_t>();
    const int outcome = message.content.at(1).get<int>();
    // Gateways of an earlier version do not state the generation.
    const auto generation =
        message.content.size() > 2 ? message.content.at(2).get<std::uint64_t>() : 0;
    const auto found = reservations_.find(number);
    const bool is_from_owner = found != reservations_.end() && found->second.owner == message.node;
    if (!is_from_owner) {
        release_unclaimed(message.node, number, outcome);
        return;
    }
    timeouts_ = 0;
    if (!found->second.waiting) {
        return;
    }
    if (!found->second.owner_waits) {
        const milliseconds now = steady_now();
        link_delay_.record(message.node, now - found->second.requested_at, now);
    }
    found->second.owner_waits = outcome == waiting_for_grant;
    if (outcome < 0 || outcome > last_outcome) {
        return;
    }
    const auto result = static_cast<reservation_outcome>(outcome);
    if (result == reservation_outcome::exhausted && generation < keeper_.generation()) {
        // The owner does not know the configuration in force here, which may declare more tokens.
        log(events::verdict_outdated, {{"owner", message.node},
                                       {"generation", generation},
                                       {"in_force", keeper_.generation()}});
        loop_.cancel(std::exchange(found->second.timer, 0));
        found->second.owner.clear();
        reserve_locally(number);
        return;
    }
    if (result == reservation_outcome::no_grant) {
        note_statement(found->second.workspace, message);
    }
    finish(number, result);
}

void budget_broker::release_unclaimed(const std::string& node, std::uint64_t number, int outcome)
{
    const bool is_reserved = outcome == static_cast<int>(reservation_outcome::reserved);
    // A previous run of this gateway may have sent the request before it ended.
    if (is_reserved && is_own_number(number) && !settlements_.contains({node, number})) {
        log(events::reservation_unclaimed, {{"owner", node}, {"reservation", number}});
        start_settlement(node, number, verdict::not_run, 0, 0);
    }
}

void budget_broker::receive_settle(const peer_message& message)
{
    const auto number = message.content.at(0).get<std::uint64_t>();
    const auto ran = parse_verdict(message.content.at(1).get<std::string>());
    const auto prompt_tokens = message.content.at(2).get<tokens>();
    const auto output_tokens = message.content.at(3).get<tokens>();
    const std::string key = key_of(message.node, number);
    const auto lent = lent_.find(key);
    const auto waiting = waiting_here_.find(key);
    if (lent != lent_.end()) {
        keeper_.settle(lent->second.workspace, key, ran.value_or(verdict::may_have_run),
                       prompt_tokens, output_tokens);
        lent_.erase(lent);
    } else if (!ended_here_.contains(key)) {
        // A repeated settlement is not logged: an overloaded owner gets many of them.
        log(events::settlement_unmatched,
            {{"key", key},
             {"state", waiting != waiting_here_.end() ? "waiting" : "unknown"},
             {"verdict", message.content.at(1)}});
    }
    if (waiting != waiting_here_.end()) {
        keeper_.abandon(waiting->second.workspace, key);
        waiting_here_.erase(waiting);
    }
    // Also for an unknown reservation: the message that asks for it may arrive later.
    ended_here_.insert_or_assign(key, ended_reservation{.ended_at = steady_now(), .refusal = {}});
    link_.send(message.node, peer_message_kind::settled, json::array({number}));
}

void budget_broker::expire()
{
    const milliseconds now = steady_now();
    keeper_.set_large_fleet(is_large_fleet());
    if (now - copies_sent_at_ >= settings_.copy_interval && !link_.is_leaving()) {
        copies_sent_at_ = now;
        for (std::uint32_t shard = 0; shard < ledger_shards; ++shard) {
            if (link_.owner(shard) == link_.node()) {
                send_copy(shard, receives_copies(shard));
            }
        }
    }
    std::erase_if(ended_here_, [&](const auto& item) {
        return now - item.second.ended_at > settings_.ended_memory;
    });
    std::vector<std::string> unsettled;
    for (const auto& [key, item] : lent_) {
        if (now - item.lent_at > settings_.lent_timeout) {
            unsettled.push_back(key);
        }
    }
    for (const auto& key : unsettled) {
        const auto& item = lent_.at(key);
        log(events::reservation_left_behind,
            {{"workspace", item.workspace}, {"key", key}, {"tokens", item.upper_tokens}});
        keeper_.settle(item.workspace, key, verdict::may_have_run, item.upper_tokens, 0);
        ended_here_.insert_or_assign(key, ended_reservation{.ended_at = now, .refusal = {}});
        lent_.erase(key);
    }
}

milliseconds budget_broker::network_delay() const
{
    return link_.live_peers().empty() ? milliseconds{0} : link_delay_.current(steady_now());
}

json budget_broker::dump() const
{
    return {{"reservations", reservations_.size()},
            {"unconfirmed_settlements", settlements_.size()},
            {"lent", lent_.size()},
            {"waiting_for_others", waiting_here_.size()},
            {"ended_for_others", ended_here_.size()},
            {"store_returned_ms_ago",
             store_returned_at_ ? json((steady_now() - *store_returned_at_).count()) : json()},
            {"owners_without_tokens", statements_.size()},
            {"network_delay_ms", network_delay().count()}};
}

} // namespace dotterelport::gateway
