#include "holder_closer.hpp"

#include <algorithm>
#include <utility>

#include "budget_events.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::router {
namespace {

constexpr milliseconds fence_timeout{2'000};
constexpr milliseconds acknowledge_timeout{1'000};

} // namespace

holder_closer::holder_closer(budget_service::impl& service, const incarnation& target)
    : service_(service.weak_from_this()), context_(service.environment), target_(target)
{}

void holder_closer::tick()
{
    const auto snapshot = context_.configuration.current();
    if (finished_ || snapshot == nullptr) {
        return;
    }
    if (shards_.empty()) {
        begin();
        return;
    }
    fence_agents();
    for (auto& [shard, progress] : shards_) {
        if (!progress.busy) {
            progress.busy = true;
            list_batches(shard);
        }
    }
    finish_if_done();
}

void holder_closer::begin()
{
    if (std::exchange(beginning_, true)) {
        return;
    }
    context_.nodes.begin_closing(target_, [self = shared_from_this()](const auto& record) {
        self->beginning_ = false;
        const auto snapshot = self->context_.configuration.current();
        if (!record.has_value() || snapshot == nullptr) {
            return;
        }
        log(events::closing_started,
            {{"holder", to_string(self->target_)}, {"agents", record->agents.size()}});
        self->agents_ = record->agents;
        for (std::uint32_t shard = 0; shard < snapshot->settings().budget_shards; ++shard) {
            self->shards_.emplace(shard, shard_progress(budget::holder_closing(shard, self->target_,
                                                                               record->agents)));
        }
        self->tick();
    });
}

void holder_closer::fence_agents()
{
    for (const auto& agent : agents_) {
        if (context_.nodes.is_gone(agent)) {
            for (auto& [shard, progress] : shards_) {
                progress.state.agent_gone(agent);
            }
            continue;
        }
        const auto record = context_.nodes.find(agent.node);
        const auto service = service_.lock();
        if (!record.has_value() || service == nullptr || !pending_fences_.insert(agent).second) {
            continue;
        }
        service->call(*record, "fence",
                      {{"holder", to_string(target_)}, {"agent", to_string(agent)}}, fence_timeout,
                      [self = shared_from_this(), agent](const net::rpc_result& result) {
                          self->pending_fences_.erase(agent);
                          if (result.ok()) {
                              self->receive_fence_answer(agent, result.value);
                          } else {
                              log(events::closing_delayed, {{"holder", to_string(self->target_)},
                                                            {"agent", to_string(agent)},
                                                            {"message", result.message}});
                          }
                      });
    }
}

void holder_closer::receive_fence_answer(const incarnation& agent, const json& answer)
{
    const auto service = service_.lock();
    if (service == nullptr) {
        return;
    }
    std::map<std::uint32_t, std::vector<budget::fenced_request>> running;
    std::map<std::uint32_t, std::vector<request::outcome>> outcomes;
    auto& reported = reported_outcomes_[agent];
    reported.clear();
    try {
        for (const auto& item : answer.at("running")) {
            const auto key = parse_request_key(item);
            running[service->shard_of(key.workspace)].push_back(
                {key, item.at("budget"), item.at("upper_tokens"), item.at("attempt")});
        }
        for (const auto& item : answer.at("outcomes")) {
            auto outcome = request::parse_outcome(item);
            outcomes[service->shard_of(outcome.key.workspace)].push_back(outcome);
            reported.push_back(std::move(outcome));
        }
    } catch (const std::exception& failure) {
        log(events::message_rejected, {{"agent", to_string(agent)}, {"message", failure.what()}});
        return;
    }
    for (auto& [shard, progress] : shards_) {
        progress.state.agent_answered(agent, running[shard], outcomes[shard]);
    }
    acknowledge(agent);
}

void holder_closer::acknowledge(const incarnation& agent)
{
    const auto service = service_.lock();
    const auto record = context_.nodes.find(agent.node);
    auto& reported = reported_outcomes_[agent];
    if (service == nullptr || !record.has_value() || reported.empty()) {
        return;
    }
    const auto is_unbilled = [&](const request::outcome& outcome) {
        const auto found = shards_.find(service->shard_of(outcome.key.workspace));
        return found == shards_.end() || !found->second.state.is_covered(outcome);
    };
    json keys = json::array();
    for (const auto& outcome : reported) {
        // A key with several outcomes is acknowledged when all of them are billed.
        const bool has_unbilled =
            std::any_of(reported.begin(), reported.end(), [&](const auto& other) {
                return other.key == outcome.key && is_unbilled(other);
            });
        if (!has_unbilled) {
            keys.push_back(to_json(outcome.key));
        }
    }
    if (!keys.empty()) {
        service->call(*record, "acknowledge",
                      {{"holder", to_string(target_)},
                       {"agent", to_string(agent)},
                       {"keys", std::move(keys)}},
                      acknowledge_timeout, [](const net::rpc_result&) {});
    }
}

void holder_closer::list_batches(std::uint32_t shard)
{
    context_.platform.list(
        budget::bill_prefix(shard, target_), 0,
        [self = shared_from_this(), shard](const object_store::listing& listed) {
            auto& progress = self->shards_.at(shard);
            if (!listed.available) {
                progress.busy = false;
                return;
            }
            try {
                for (const auto& object : listed.objects) {
                    progress.state.add_batch(budget::parse_bill_batch(object.value));
                }
            } catch (const error& failure) {
                log(events::object_unreadable, {{"shard", shard}, {"message", failure.what()}});
                progress.busy = false;
                return;
            }
            progress.listed = true;
            self->read_ledger(shard);
        });
}

void holder_closer::read_ledger(std::uint32_t shard)
{
    context_.platform.read(
        budget::shard_object_key(shard),
        [self = shared_from_this(), shard](const object_store::read_result& read) {
            try {
                self->process_ledger(shard, read);
            } catch (const error& failure) {
                log(events::object_unreadable, {{"shard", shard}, {"message", failure.what()}});
                self->shards_.at(shard).busy = false;
            }
        });
}

void holder_closer::process_ledger(std::uint32_t shard, const object_store::read_result& result)
{
    auto& progress = shards_.at(shard);
    if (result.status == object_store::read_status::unavailable) {
        progress.busy = false;
        return;
    }
    const bool found = result.status == object_store::read_status::found;
    auto ledger =
        found ? budget::parse_ledger_shard(result.value.value) : budget::ledger_shard(shard);
    const auto batch = progress.state.next_batch(ledger);
    if (batch.has_value()) {
        write_batch(shard, *batch);
        return;
    }
    if (progress.state.apply(ledger)) {
        write_ledger(shard, ledger, found ? result.value.object_version : 0);
        return;
    }
    const auto& budgets = ledger.budgets();
    progress.grants_removed = std::none_of(budgets.begin(), budgets.end(), [&](const auto& entry) {
        return entry.second.grants.contains(target_);
    });
    progress.busy = false;
}

void holder_closer::write_batch(std::uint32_t shard, const budget::bill_batch& batch)
{
    context_.platform.write(
        budget::bill_object_key(shard, target_, batch.number), budget::to_json(batch).dump(), 0,
        [self = shared_from_this(), shard, batch](const object_store::write_result& result) {
            // After any other result, the next listing shows what the platform has stored.
            auto& progress = self->shards_.at(shard);
            if (result.status == object_store::write_status::applied) {
                progress.state.add_batch(batch);
                self->read_ledger(shard);
                return;
            }
            progress.busy = false;
        });
}

void holder_closer::write_ledger(std::uint32_t shard, const budget::ledger_shard& next,
                                 object_store::version expected)
{
    context_.platform.write(
        budget::shard_object_key(shard), to_json(next).dump(), expected,
        [self = shared_from_this(), shard](const object_store::write_result& result) {
            if (result.status == object_store::write_status::applied) {
                self->read_ledger(shard);
                return;
            }
            self->shards_.at(shard).busy = false;
        });
}

void holder_closer::finish_if_done()
{
    const bool done = std::all_of(shards_.begin(), shards_.end(), [](const auto& item) {
        return item.second.grants_removed && item.second.state.is_finished();
    });
    if (!done || std::exchange(finishing_, true)) {
        return;
    }
    for (const auto& agent : agents_) {
        acknowledge(agent);
    }
    context_.nodes.finish_closing(target_, [self = shared_from_this()](bool success) {
        self->finishing_ = false;
        self->finished_ = success;
        if (success) {
            log(events::closing_finished, {{"holder", to_string(self->target_)}});
        }
    });
}

json holder_closer::dump() const
{
    json missing = json::array();
    for (const auto& [shard, progress] : shards_) {
        for (const auto& agent : progress.state.unanswered_agents()) {
            missing.push_back(to_string(agent));
        }
        break;
    }
    return {{"holder", to_string(target_)},
            {"shards", shards_.size()},
            {"agents", agents_.size()},
            {"missing", std::move(missing)}};
}

} // namespace dotterelport::router
