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
        // Grants are opened at the start, so that most steps handle requests.
        for (const auto& name : budget_names) {
            added.session->holder().account(name).waiting_tokens = 100;
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

void schedule_model::replace_holder(holder& model_holder)
{
    ++model_holder.id.epoch;
    model_holder.pending.reset();
    model_holder.paused = false;
    model_holder.session = std::make_unique<shard_session>(shard, model_holder.id, policy_);
    model_holder.session->set_declaration(std::make_shared<const declaration>(declared_));
    records_[model_holder.id] = {};
}

void schedule_model::replace_agent(agent& model_agent)
{
    while (!model_agent.table.running().empty()) {
        finish_run(model_agent, true);
    }
    for (const auto& outcome : model_agent.outcomes) {
        if (const auto found = ran_.find(outcome.key);
            outcome.verdict == verdict::ran && found != ran_.end()) {
            ran_.erase(found);
        }
    }
    model_agent = {
        .id = {model_agent.id.node, model_agent.id.epoch + 1}, .table = {}, .outcomes = {}};
}

void schedule_model::issue_request(holder& model_holder)
{
    const bool repeated = draw(3) == 0;
    const request_key key{"w", std::to_string(repeated ? draw(4) : 4 + draw(1'000))};
    const auto& target = agents_[draw(agent_count)].id;
    auto& router_record = records_[model_holder.id];
    if (!router_record.agents.contains(target)) {
        if (router_record.closing) {
            return;
        }
        router_record.agents.insert(target);
    }
    const auto& budget = budget_names[draw(4) == 0 ? 1 : 0];
    const tokens upper = 20 + draw(200);
    const std::string router = "router-" + std::to_string(draw(2));
    const reservation new_reservation{.key = key,
                                      .budget = budget,
                                      .upper_tokens = upper,
                                      .agent = target,
                                      .digest = "d",
                                      .router = router,
                                      .now = now_,
                                      .attempt = attempts_[key.key] + 1};
    auto& grants = model_holder.session->holder();
    if (model_holder.session->is_closed()) {
        return;
    }
    const auto* previous = grants.find(key);
    const bool moves = previous != nullptr && previous->router == router;
    const auto outcome =
        moves ? grants.move(new_reservation, false) : grants.reserve(new_reservation);
    if (outcome == reserve_outcome::insufficient_tokens) {
        grants.account(budget).waiting_tokens = upper;
    }
    if (outcome != reserve_outcome::reserved) {
        return;
    }
    request::admission message;
    message.key = key;
    message.attempt = ++attempts_[key.key];
    message.agent = target;
    message.holder = model_holder.id;
    message.budget = grants.accounts()[grants.find(key)->account].budget;
    message.upper_tokens = grants.find(key)->upper_tokens;
    message.idempotent = true;
    message.time_left = milliseconds{60'000};
    message.digest = "d";
    admissions_in_flight_.push_back(message);
}

void schedule_model::deliver_admission()
{
    if (admissions_in_flight_.empty()) {
        return;
    }
    const auto index = draw(static_cast<std::uint32_t>(admissions_in_flight_.size()));
    const auto message = admissions_in_flight_[index];
    // A message can be delivered twice.
    if (draw(8) != 0) {
        erase_at(admissions_in_flight_, index);
    }
    if (auto* target = find_agent(message.agent)) {
        target->table.admit(message, {.self = target->id});
    }
}

void schedule_model::lose_admission()
{
    if (admissions_in_flight_.empty()) {
        return;
    }
    const auto message = admissions_in_flight_.back();
    admissions_in_flight_.pop_back();
    // The router releases a reservation only if no other message for it is in flight.
    const bool other_in_flight = std::any_of(
        admissions_in_flight_.begin(), admissions_in_flight_.end(), [&](const auto& other) {
            return other.key == message.key && other.agent == message.agent &&
                   other.holder == message.holder;
        });
    auto* target = find_agent(message.agent);
    if (target == nullptr || other_in_flight ||
        target->table.refuse(message.key, message.attempt).state != request::key_state::refused) {
        return;
    }
    for (auto& owner : holders_) {
        if (owner.id == message.holder) {
            owner.session->holder().release_at(message.key, message.agent, message.attempt);
        }
    }
}

void schedule_model::finish_run(agent& model_agent, bool agent_killed)
{
    if (model_agent.table.running().empty()) {
        return;
    }
    const auto [key, run] = *model_agent.table.running().begin();
    const auto charged =
        static_cast<tokens>(draw(static_cast<std::uint32_t>(run.upper_tokens) + 1));
    used_[run.budget] += charged;
    const auto ended = agent_killed || draw(6) == 0 ? verdict::may_have_run : verdict::ran;
    model_agent.table.finish(key, ended);
    if (agent_killed) {
        return;
    }
    request::outcome result;
    result.key = key;
    result.attempt = run.attempt;
    result.budget = run.budget;
    result.holder = run.holder;
    result.verdict = ended;
    result.charged = charged;
    result.agent = model_agent.id;
    model_agent.outcomes.push_back(result);
    if (ended == verdict::ran) {
        ran_.insert(key);
    }
}

void schedule_model::push_outcomes(agent& model_agent)
{
    for (auto& owner : holders_) {
        if (owner.paused || owner.session->is_closed()) {
            continue;
        }
        auto& target = owner.session->holder();
        for (const auto& outcome : model_agent.outcomes) {
            if (outcome.holder == owner.id) {
                target.settle(outcome);
            }
        }
        std::erase_if(model_agent.outcomes, [&](const auto& outcome) {
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
        return {.status = write_status::unavailable, .object_version = 0};
    case 1:
        return {.status = write_status::unknown, .object_version = 0};
    case 2:
        store_.write(key, value, if_version);
        return {.status = write_status::unknown, .object_version = 0};
    case 3:
        delayed_writes_.push_back({key, value, if_version});
        return {.status = write_status::unknown, .object_version = 0};
    default:
        return store_.write(key, value, if_version);
    }
}

void schedule_model::apply_delayed()
{
    if (!delayed_writes_.empty()) {
        const auto index = draw(static_cast<std::uint32_t>(delayed_writes_.size()));
        const auto late_write = delayed_writes_[index];
        erase_at(delayed_writes_, index);
        store_.write(late_write.key, late_write.value, late_write.if_version);
    }
}

void schedule_model::step_session(holder& model_holder, bool faults)
{
    if (model_holder.session->is_closed()) {
        replace_holder(model_holder);
        return;
    }
    if (!model_holder.pending.has_value()) {
        model_holder.pending = model_holder.session->start({.now = now_,
                                                            .platform_trouble = milliseconds{0},
                                                            .failure_domains = holder_count,
                                                            .flush = !faults || draw(4) != 0});
    } else if (model_holder.pending->operation == io_step::kind::read) {
        model_holder.pending =
            model_holder.session->resume(read(model_holder.pending->key, faults));
    } else {
        model_holder.pending = model_holder.session->resume(
            write(model_holder.pending->key, model_holder.pending->value,
                  model_holder.pending->if_version, faults));
    }
    if (!model_holder.session->in_round()) {
        for (auto& account : model_holder.session->holder().accounts()) {
            account.waiting_tokens = 0;
        }
    }
}

void schedule_model::begin_closing(const incarnation& target)
{
    auto& router_record = records_[target];
    if (!router_record.closed) {
        router_record.closing = true;
        closers_.push_back({target, holder_closing(shard, target, router_record.agents)});
    }
}

void schedule_model::step_closing(closer& model_closer, std::uint32_t closing_step, bool faults)
{
    const auto object_key = shard_object_key(shard);
    const auto current = read(object_key, faults);
    auto next = current.status == object_store::read_status::found
                    ? parse_ledger_shard(current.value.value)
                    : ledger_shard(shard);
    switch (closing_step) {
    case 0:
        for (const auto& object : store_.list(bill_prefix(shard, model_closer.target), 0).objects) {
            model_closer.state.add_batch(parse_bill_batch(object.value));
        }
        return;
    case 1: {
        const auto batch = model_closer.state.next_batch(next);
        if (batch.has_value() && current.status == object_store::read_status::found) {
            const auto key = bill_object_key(shard, model_closer.target, batch->number);
            const auto result = write(key, to_json(*batch).dump(), 0, faults);
            if (result.status == object_store::write_status::applied) {
                model_closer.state.add_batch(*batch);
            }
        }
        return;
    }
    case 2:
        if (current.status != object_store::read_status::unavailable &&
            model_closer.state.apply(next)) {
            write(object_key, to_json(next).dump(), current.value.object_version, faults);
        }
        return;
    case 3:
        for (const auto& id : records_[model_closer.target].agents) {
            if (faults && draw(2) == 0) {
                continue;
            }
            auto* target = find_agent(id);
            if (target == nullptr) {
                model_closer.state.agent_gone(id);
                continue;
            }
            target->table.fence(model_closer.target);
            std::vector<fenced_request> running;
            for (const auto& [key, run] : target->table.running()) {
                if (run.holder == model_closer.target) {
                    running.push_back({key, run.budget, run.upper_tokens, run.attempt});
                }
            }
            std::vector<request::outcome> outcomes;
            std::copy_if(
                target->outcomes.begin(), target->outcomes.end(), std::back_inserter(outcomes),
                [&](const auto& outcome) { return outcome.holder == model_closer.target; });
            model_closer.state.agent_answered(id, running, outcomes);
        }
        return;
    case 4:
        for (auto& target : agents_) {
            std::erase_if(target.outcomes, [&](const auto& outcome) {
                return outcome.holder == model_closer.target &&
                       model_closer.state.is_covered(outcome);
            });
        }
        return;
    default:
        if (faults) {
            // The closer dies and another closer starts over.
            model_closer.state =
                holder_closing(shard, model_closer.target, records_[model_closer.target].agents);
        }
        return;
    }
}

void schedule_model::run_audit(bool restart, bool faults)
{
    if (restart) {
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
    // One holder receives the new generation first; other holders may still declare the old one.
    holders_[draw(holder_count)].session->set_declaration(
        std::make_shared<const declaration>(declared_));
}

void schedule_model::check_old_reservations(holder& model_holder)
{
    for (const auto& [key, id] : model_holder.session->holder().reserved_before(now_, 100)) {
        auto* target = find_agent(id);
        if (target == nullptr) {
            model_holder.session->holder().agent_gone(id);
        } else {
            model_holder.session->holder().apply_key_state(key, id, target->table.refuse(key).state,
                                                           now_);
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
            issue_request(chosen);
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
        check_old_reservations(chosen);
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
        require(entry.total() <= entry.ceiling, "total is above the ceiling");
        require(entry.ceiling <= highest_prepaid_, "ceiling is above the highest prepaid amount");
    }
    for (const auto& [name, used] : used_) {
        const auto* entry = current.find(name);
        require(entry != nullptr && used - entry->voided <= entry->total(),
                "agents used more tokens (" + std::to_string(used) + ") than counted for " + name +
                    ": " + to_json(current).dump());
    }
    for (const auto& item : holders_) {
        for (const auto& account : item.session->holder().accounts()) {
            require(account.reserved >= 0, "reserved tokens are negative");
            require(account.available() >= 0, "more tokens are reserved than granted");
        }
    }
}

void schedule_model::finish()
{
    // Maximum number of rounds, and number of consecutive rounds without a change after which all
    // work is complete.
    constexpr int round_limit = 60;
    constexpr int required_unchanged_rounds = 3;
    int unchanged_rounds = 0;
    random_ = 1;
    for (auto& item : holders_) {
        item.paused = false;
        item.session->set_declaration(std::make_shared<const declaration>(declared_));
    }
    admissions_in_flight_.clear();
    for (int i = 0; i < round_limit && unchanged_rounds < required_unchanged_rounds; ++i) {
        const auto before = store_.revision();
        now_ += milliseconds{700'000};
        while (!delayed_writes_.empty()) {
            apply_delayed();
        }
        for (auto& item : agents_) {
            while (!item.table.running().empty()) {
                finish_run(item, false);
            }
            push_outcomes(item);
        }
        for (auto& item : holders_) {
            check_old_reservations(item);
            item.session->set_draining();
            do {
                step_session(item, false);
            } while (item.pending.has_value());
        }
        for (auto& [id, router_record] : records_) {
            const bool alive = std::any_of(holders_.begin(), holders_.end(),
                                           [&, key = id](const auto& h) { return h.id == key; });
            if (!alive && i == 0) {
                begin_closing(id);
            }
        }
        for (auto& item : closers_) {
            for (const std::uint32_t closing_step : {0U, 2U, 3U, 1U, 4U, 2U}) {
                step_closing(item, closing_step, false);
            }
        }
        run_audit(i == 0, false);
        check();
        // A finding that the ledger lacks keeps the loop running: if the session that received it
        // is closed, another session receives it.
        const bool unchanged = store_.revision() == before && !audit_->has_findings();
        unchanged_rounds = unchanged ? unchanged_rounds + 1 : 0;
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
        require(entry.open() == 0, "grants are still open: " + to_json(current).dump());
    }
    for (const auto& item : agents_) {
        require(item.outcomes.empty(), "an agent still has an outcome");
    }
}

} // namespace dotterelport::budget
