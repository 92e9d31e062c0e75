#include "schedule_model.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace dotterelport::budget {
namespace {

constexpr std::uint32_t shard = 0;
constexpr std::size_t holder_count = 3;
constexpr std::size_t agent_count = 2;
const std::array<std::string, 2> budget_names{"main", "spare"};

void require(bool condition, const std::string& message)
{
    if (!condition) {
        throw std::logic_error(message);
    }
}

template<typename Container> void erase_at(Container& items, std::size_t index)
{
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(index));
}

} // namespace

schedule_model::schedule_model(const sizing_policy& policy)
    : policy_(policy), audit_(std::make_unique<bill_audit>(shard))
{
    declared_ = {.generation = 1,
                 .budgets = {{"w", budget_names[0], 2'000}, {"w", budget_names[1], 500}}};
    highest_prepaid_ = 2'000;
    for (std::size_t i = 0; i < agent_count; ++i) {
        agents_.push_back({.id = {"agent-" + std::to_string(i), 1}, .table = {}, .outcomes = {}});
    }
    for (std::size_t i = 0; i < holder_count; ++i) {
        auto& added = holders_.emplace_back();
        added.id = {"router-" + std::to_string(i), 0};
        replace_holder(added);
        // Grants are open at the start, so that most steps deal with requests.
        for (const auto& name : budget_names) {
            added.session->holder().account(name).wanted = 100;
        }
        do {
            step_session(added, false);
        } while (added.pending.has_value());
    }
}

std::uint32_t schedule_model::draw(std::uint32_t limit)
{
    // SplitMix64, so that one generated number determines a whole step.
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return static_cast<std::uint32_t>((mixed ^ (mixed >> 31U)) % limit);
}

const ledger_shard& schedule_model::ledger()
{
    if (checked_revision_ != store_.revision() || !checked_ledger_.has_value()) {
        checked_revision_ = store_.revision();
        checked_ledger_ = read_ledger();
    }
    return *checked_ledger_;
}

ledger_shard schedule_model::read_ledger() const
{
    const auto found = store_.read(shard_object_key(shard));
    return found.status == object_store::read_status::found ? parse_ledger_shard(found.value.value)
                                                            : ledger_shard(shard);
}

schedule_model::agent* schedule_model::find_agent(const incarnation& id)
{
    const auto found = std::find_if(agents_.begin(), agents_.end(),
                                    [&](const auto& item) { return item.id == id; });
    return found == agents_.end() ? nullptr : &*found;
}

void schedule_model::replace_holder(holder& at)
{
    ++at.id.epoch;
    at.pending.reset();
    at.paused = false;
    at.session = std::make_unique<shard_session>(shard, at.id, policy_);
    at.session->set_declaration(std::make_shared<const declaration>(declared_));
    records_[at.id] = {};
}

void schedule_model::replace_agent(agent& at)
{
    while (!at.table.running().empty()) {
        finish_run(at, true);
    }
    for (const auto& outcome : at.outcomes) {
        if (const auto found = ran_.find(outcome.key);
            outcome.verdict == verdict::ran && found != ran_.end()) {
            ran_.erase(found);
        }
    }
    at = {.id = {at.id.node, at.id.epoch + 1}, .table = {}, .outcomes = {}};
}

void schedule_model::issue(holder& at)
{
    const bool again = draw(3) == 0;
    const request_key key{"w", std::to_string(again ? draw(4) : 4 + draw(1'000))};
    const auto& target = agents_[draw(agent_count)].id;
    auto& known = records_[at.id];
    if (!known.agents.contains(target)) {
        if (known.closing) {
            return;
        }
        known.agents.insert(target);
    }
    const auto& budget = budget_names[draw(4) == 0 ? 1 : 0];
    const tokens upper = 20 + draw(200);
    const std::string router = "router-" + std::to_string(draw(2));
    const reservation wanted{.key = key,
                             .budget = budget,
                             .upper = upper,
                             .agent = target,
                             .digest = "d",
                             .router = router,
                             .now = now_,
                             .attempt = attempts_[key.key] + 1};
    auto& owner = at.session->holder();
    if (at.session->is_closed()) {
        return;
    }
    const auto* running = owner.find(key);
    const bool moves = running != nullptr && running->router == router;
    const auto outcome = moves ? owner.move(wanted, false) : owner.reserve(wanted);
    if (outcome == reserve_outcome::no_room) {
        owner.account(budget).wanted = upper;
    }
    if (outcome != reserve_outcome::reserved) {
        return;
    }
    request::admission message;
    message.key = key;
    message.attempt = ++attempts_[key.key];
    message.agent = target;
    message.holder = at.id;
    message.budget = owner.accounts()[owner.find(key)->account].budget;
    message.upper_tokens = owner.find(key)->upper;
    message.idempotent = true;
    message.deadline = milliseconds{60'000};
    message.digest = "d";
    network_.push_back(message);
}

void schedule_model::deliver_admission()
{
    if (network_.empty()) {
        return;
    }
    const auto index = draw(static_cast<std::uint32_t>(network_.size()));
    const auto message = network_[index];
    // A message can arrive twice.
    if (draw(8) != 0) {
        erase_at(network_, index);
    }
    if (auto* target = find_agent(message.agent)) {
        target->table.admit(message, {.self = target->id});
    }
}

void schedule_model::lose_admission()
{
    if (network_.empty()) {
        return;
    }
    const auto message = network_.back();
    network_.pop_back();
    // The router gives a reservation back only when no other message of it is on its way.
    const bool another = std::any_of(network_.begin(), network_.end(), [&](const auto& other) {
        return other.key == message.key && other.agent == message.agent &&
               other.holder == message.holder;
    });
    auto* target = find_agent(message.agent);
    if (target == nullptr || another ||
        target->table.refuse(message.key, message.attempt).state != request::key_state::refused) {
        return;
    }
    for (auto& owner : holders_) {
        if (owner.id == message.holder) {
            owner.session->holder().release_at(message.key, message.agent, message.attempt);
        }
    }
}

void schedule_model::finish_run(agent& at, bool kill)
{
    if (at.table.running().empty()) {
        return;
    }
    const auto [key, run] = *at.table.running().begin();
    const auto charged =
        static_cast<tokens>(draw(static_cast<std::uint32_t>(run.upper_tokens) + 1));
    used_[run.budget] += charged;
    const auto ended = kill || draw(6) == 0 ? verdict::may_have_run : verdict::ran;
    at.table.finish(key, ended);
    if (kill) {
        return;
    }
    request::outcome result;
    result.key = key;
    result.attempt = run.attempt;
    result.budget = run.budget;
    result.holder = run.holder;
    result.verdict = ended;
    result.charged = charged;
    result.agent = at.id;
    at.outcomes.push_back(result);
    if (ended == verdict::ran) {
        ran_.insert(key);
    }
}

void schedule_model::push_outcomes(agent& at)
{
    for (auto& owner : holders_) {
        if (owner.paused || owner.session->is_closed()) {
            continue;
        }
        auto& target = owner.session->holder();
        for (const auto& outcome : at.outcomes) {
            if (outcome.holder == owner.id) {
                target.settle(outcome);
            }
        }
        std::erase_if(at.outcomes, [&](const auto& outcome) {
            return outcome.holder == owner.id && target.is_durable(outcome);
        });
    }
}

object_store::read_result schedule_model::read(const std::string& key, bool faults)
{
    return faults && draw(16) == 0 ? object_store::read_result{} : store_.read(key);
}

object_store::write_result schedule_model::write(const std::string& key, const std::string& value,
                                                 object_store::version if_version, bool faults)
{
    using object_store::write_status;
    switch (faults ? draw(16) : 16) {
    case 0:
        return {.status = write_status::unavailable, .at = 0};
    case 1:
        return {.status = write_status::unknown, .at = 0};
    case 2:
        store_.write(key, value, if_version);
        return {.status = write_status::unknown, .at = 0};
    case 3:
        delayed_.push_back({key, value, if_version});
        return {.status = write_status::unknown, .at = 0};
    default:
        return store_.write(key, value, if_version);
    }
}

void schedule_model::apply_delayed()
{
    if (!delayed_.empty()) {
        const auto index = draw(static_cast<std::uint32_t>(delayed_.size()));
        const auto late = delayed_[index];
        erase_at(delayed_, index);
        store_.write(late.key, late.value, late.if_version);
    }
}

void schedule_model::step_session(holder& at, bool faults)
{
    if (at.session->is_closed()) {
        replace_holder(at);
        return;
    }
    if (!at.pending.has_value()) {
        at.pending = at.session->start({.now = now_,
                                        .platform_trouble = milliseconds{0},
                                        .failure_domains = holder_count,
                                        .flush = !faults || draw(4) != 0});
    } else if (at.pending->operation == io_step::kind::read) {
        at.pending = at.session->resume(read(at.pending->key, faults));
    } else {
        at.pending = at.session->resume(
            write(at.pending->key, at.pending->value, at.pending->if_version, faults));
    }
    if (!at.session->in_round()) {
        for (auto& account : at.session->holder().accounts()) {
            account.wanted = 0;
        }
    }
}

void schedule_model::begin_closing(const incarnation& target)
{
    auto& known = records_[target];
    if (!known.closed) {
        known.closing = true;
        closers_.push_back({target, holder_closing(shard, target, known.agents)});
    }
}

void schedule_model::step_closing(closer& at, std::uint32_t part, bool faults)
{
    const auto object_key = shard_object_key(shard);
    const auto current = read(object_key, faults);
    auto next = current.status == object_store::read_status::found
                    ? parse_ledger_shard(current.value.value)
                    : ledger_shard(shard);
    switch (part) {
    case 0:
        for (const auto& object : store_.list(bill_prefix(shard, at.target), 0).objects) {
            at.state.add_batch(parse_bill_batch(object.value));
        }
        return;
    case 1: {
        const auto batch = at.state.next_batch(next);
        if (batch.has_value() && current.status == object_store::read_status::found) {
            const auto key = bill_object_key(shard, at.target, batch->number);
            const auto result = write(key, to_json(*batch).dump(), 0, faults);
            if (result.status == object_store::write_status::applied) {
                at.state.add_batch(*batch);
            }
        }
        return;
    }
    case 2:
        if (current.status != object_store::read_status::unavailable && at.state.apply(next)) {
            write(object_key, to_json(next).dump(), current.value.at, faults);
        }
        return;
    case 3:
        for (const auto& id : records_[at.target].agents) {
            if (faults && draw(2) == 0) {
                continue;
            }
            auto* target = find_agent(id);
            if (target == nullptr) {
                at.state.agent_gone(id);
                continue;
            }
            target->table.fence(at.target);
            std::vector<fenced_request> running;
            for (const auto& [key, run] : target->table.running()) {
                if (run.holder == at.target) {
                    running.push_back({key, run.budget, run.upper_tokens, run.attempt});
                }
            }
            std::vector<request::outcome> outcomes;
            std::copy_if(target->outcomes.begin(), target->outcomes.end(),
                         std::back_inserter(outcomes),
                         [&](const auto& outcome) { return outcome.holder == at.target; });
            at.state.agent_answered(id, running, outcomes);
        }
        return;
    case 4:
        for (auto& target : agents_) {
            std::erase_if(target.outcomes, [&](const auto& outcome) {
                return outcome.holder == at.target && at.state.is_billed(outcome);
            });
        }
        return;
    default:
        if (faults) {
            // The closer dies and another one starts over.
            at.state = holder_closing(shard, at.target, records_[at.target].agents);
        }
        return;
    }
}

void schedule_model::run_audit(bool fresh, bool faults)
{
    if (fresh) {
        audit_ = std::make_unique<bill_audit>(shard);
    }
    const auto listed = store_.list(bill_prefix(shard), audit_->cursor());
    const auto& current = ledger();
    audit_->read(listed.objects, current);
    audit_->forget_counted(current);
    auto& session = *holders_[draw(holder_count)].session;
    auto found = audit_->result(current);
    if (!found.has_value()) {
        session.set_audit_cursor(audit_->cursor());
        return;
    }
    const auto key = void_object_key(shard, found->number);
    const auto result = write(key, to_json(*found).dump(), 0, faults);
    const auto written = store_.read(key);
    if (result.status != object_store::write_status::unavailable &&
        written.status == object_store::read_status::found) {
        session.add_voids(parse_void_batch(written.value.value));
    }
}

void schedule_model::change_prepaid()
{
    ++declared_.generation;
    auto& prepaid = declared_.budgets[0].prepaid;
    prepaid = std::max<tokens>(0, prepaid + (draw(2) == 0 ? 700 : -400));
    highest_prepaid_ = std::max(highest_prepaid_, prepaid);
    // The new generation reaches one holder first; a stale one may still declare the old.
    holders_[draw(holder_count)].session->set_declaration(
        std::make_shared<const declaration>(declared_));
}

void schedule_model::check_old(holder& at)
{
    for (const auto& [key, id] : at.session->holder().reserved_before(now_, 100)) {
        auto* target = find_agent(id);
        if (target == nullptr) {
            at.session->holder().agent_gone(id);
        } else {
            at.session->holder().take_report(key, id, target->table.refuse(key).state, now_);
        }
    }
}

void schedule_model::step(std::uint32_t choice)
{
    random_ = choice;
    now_ += milliseconds{50};
    auto& chosen = holders_[draw(holder_count)];
    auto& worker = agents_[draw(agent_count)];
    const auto action = draw(100);
    if (action < 30) {
        if (!chosen.paused) {
            step_session(chosen, true);
        }
    } else if (action < 45) {
        if (!chosen.paused) {
            issue(chosen);
        }
    } else if (action < 58) {
        deliver_admission();
    } else if (action < 68) {
        finish_run(worker, false);
    } else if (action < 76) {
        push_outcomes(worker);
    } else if (action < 78) {
        lose_admission();
    } else if (action < 80) {
        apply_delayed();
    } else if (action < 82) {
        chosen.paused = !chosen.paused;
    } else if (action < 83) {
        const auto dead = chosen.id;
        replace_holder(chosen);
        begin_closing(dead);
    } else if (action < 84) {
        begin_closing(chosen.id);
    } else if (action < 85) {
        replace_agent(worker);
    } else if (action < 93) {
        if (!closers_.empty()) {
            step_closing(closers_[draw(static_cast<std::uint32_t>(closers_.size()))], draw(6),
                         true);
        }
    } else if (action < 95) {
        run_audit(draw(4) == 0, true);
    } else if (action < 97) {
        change_prepaid();
    } else if (action < 98) {
        chosen.session->holder().account(budget_names[0]).recalled = true;
    } else if (action < 99) {
        check_old(chosen);
    } else {
        for (const auto& [key, id] : chosen.session->holder().reserved_before(now_, 100)) {
            if (find_agent(id) == nullptr) {
                chosen.session->holder().agent_gone(id);
            }
        }
    }
    check();
}

void schedule_model::check()
{
    const auto& current = ledger();
    for (const auto& [name, entry] : current.budgets()) {
        require(!entry.stopped, "budget stopped: " + to_json(current).dump());
        require(entry.total() <= entry.ceiling, "above the ceiling");
        require(entry.ceiling <= highest_prepaid_, "ceiling above what was ever prepaid");
    }
    for (const auto& [name, used] : used_) {
        const auto* entry = current.find(name);
        require(entry != nullptr && used - entry->voided <= entry->total(),
                "agents used " + std::to_string(used) + " of " + name + ": " +
                    to_json(current).dump());
    }
    for (const auto& item : holders_) {
        for (const auto& account : item.session->holder().accounts()) {
            require(account.reserved >= 0, "negative reservations");
            require(account.available() >= 0, "reserved more than granted");
        }
    }
}

void schedule_model::finish()
{
    // Greatest number of rounds, and rounds without a change after which nothing is left to do.
    constexpr int rounds = 60;
    constexpr int quiet_rounds = 3;
    int quiet = 0;
    random_ = 1;
    for (auto& item : holders_) {
        item.paused = false;
        item.session->set_declaration(std::make_shared<const declaration>(declared_));
    }
    network_.clear();
    for (int i = 0; i < rounds && quiet < quiet_rounds; ++i) {
        const auto before = store_.revision();
        now_ += milliseconds{700'000};
        while (!delayed_.empty()) {
            apply_delayed();
        }
        for (auto& item : agents_) {
            while (!item.table.running().empty()) {
                finish_run(item, false);
            }
            push_outcomes(item);
        }
        for (auto& item : holders_) {
            check_old(item);
            item.session->set_draining();
            do {
                step_session(item, false);
            } while (item.pending.has_value());
        }
        for (auto& [id, known] : records_) {
            const bool alive = std::any_of(holders_.begin(), holders_.end(),
                                           [&, key = id](const auto& h) { return h.id == key; });
            if (!alive && i == 0) {
                begin_closing(id);
            }
        }
        for (auto& item : closers_) {
            for (const std::uint32_t part : {0U, 2U, 3U, 1U, 4U, 2U}) {
                step_closing(item, part, false);
            }
        }
        run_audit(i == 0, false);
        check();
        // A finding that was given to a session that then closed is given to another one.
        const bool done = store_.revision() == before && !audit_->has_findings();
        quiet = done ? quiet + 1 : 0;
    }
    check_bill();
}

void schedule_model::check_bill()
{
    const auto& current = ledger();
    std::map<request_key, int> lines;
    std::map<std::string, tokens> billed;
    for (const auto& object : store_.list(bill_prefix(shard), 0).objects) {
        for (const auto& line : parse_bill_batch(object.value).lines) {
            ++lines[line.key];
            billed[line.budget] += line.charged;
        }
    }
    for (std::uint64_t number = 1; number <= current.last_void_batch(); ++number) {
        const auto object = store_.read(void_object_key(shard, number));
        for (const auto& line : parse_void_batch(object.value.value).lines) {
            --lines[line.key];
            billed[line.budget] -= line.charged;
        }
    }
    for (const auto& [key, count] : lines) {
        require(count == 1, "key " + key.key + " billed " + std::to_string(count) + " times");
    }
    for (const auto& key : ran_) {
        require(lines.contains(key), "key " + key.key + " ran and is not billed");
    }
    for (const auto& [name, entry] : current.budgets()) {
        require(entry.settled == billed[name], "settled differs from the bill of " + name);
        require(entry.open() == 0, "grants left open: " + to_json(current).dump());
    }
    for (const auto& item : agents_) {
        require(item.outcomes.empty(), "an agent keeps an outcome");
    }
}

} // namespace dotterelport::budget
