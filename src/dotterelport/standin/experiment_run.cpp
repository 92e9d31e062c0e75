#include "experiment_run.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>

#include "dotterelport/routing/balancer.hpp"
#include "dotterelport/routing/fair_queue.hpp"
#include "experiment_engine.hpp"

namespace dotterelport::standin::experiment {
namespace {

using routing::balancer;
using routing::fair_queue;

/// Interval at which a server measures its load, and how late a router learns of it.
constexpr run_time report_interval = 500;
constexpr run_time shortest_report_lag = 100;
constexpr run_time longest_report_lag = 500;
/// Interval of cache events, their lateness, and the part of the batches that is lost.
constexpr run_time cache_event_interval = 1'000;
constexpr run_time longest_cache_lag = 1'500;
constexpr double lost_cache_batches = 0.02;
constexpr run_time resync_delay = 1'000;
/// Time until a router gives up on a server that does not admit, or falls silent afterwards.
constexpr run_time admit_timeout = 1'000;
constexpr run_time silence_timeout = 2'000;
constexpr run_time queue_check_interval = 50;
constexpr int attempt_limit = 4;
/// Time after the last arrival in which requests may still end.
constexpr run_time run_out = 90'000;

milliseconds to_now(run_time time)
{
    return milliseconds{static_cast<std::int64_t>(time)};
}

struct server {
    std::string name;
    int domain = 0;
    bool is_call = false;
    std::unique_ptr<emulated_engine> engine;
};

/// A caller's request on its way.
struct job {
    const planned_request* plan = nullptr;
    const traffic_class* kind = nullptr;
    class_result* result = nullptr;
    bool counted = false;
    int attempts = 0;
    std::uint64_t current = 0;
    bool admitted = false;
    double first = -1;
    std::size_t cached = 0;
    bool done = false;
    routing::choice_request choice;
};

struct router {
    int domain = 0;
    std::unique_ptr<balancer> choices;
    fair_queue model_queue;
    fair_queue call_queue;
    std::map<std::uint64_t, std::shared_ptr<job>> queued;
};

/// One emulation: servers, routers and the messages between them.
class emulation {
public:
    explicit emulation(const run_settings& settings);
    std::vector<class_result> run();

private:
    void make_servers();
    void make_routers();
    void schedule_reports();
    void schedule_faults();
    void publish_load(std::size_t index);
    void publish_cache(std::size_t index);
    void arrive(const planned_request& plan);
    void pump(router& at);
    void pump(router& at, fair_queue& queue, bool calls);
    void check_queues();
    void dispatch(router& at, const std::shared_ptr<job>& item);
    void submit(router& at, const std::shared_ptr<job>& item, server& to, std::uint64_t attempt);
    void take_first(router& at, const std::shared_ptr<job>& item, const server& from,
                    std::uint64_t attempt, std::size_t cached);
    void take_end(router& at, const std::shared_ptr<job>& item, const server& from,
                  std::uint64_t attempt);
    void fail_attempt(router& at, const std::shared_ptr<job>& item, const server& from,
                      std::uint64_t attempt);
    void lose_attempts_of(const std::function<bool(const router&, const server&)>& lost);

    [[nodiscard]] bool is_cut(int left, int right) const
    {
        return cut_ && left != right && (left == cut_domain || right == cut_domain);
    }

    static constexpr int cut_domain = 1;

    struct open_attempt {
        router* at;
        std::shared_ptr<job> item;
        server* to;
    };

    run_settings settings_;
    event_queue events_;
    std::mt19937_64 random_;
    std::vector<server> servers_;
    std::vector<std::string> model_names_;
    std::vector<std::string> call_names_;
    std::map<std::string, server*> by_name_;
    std::vector<router> routers_;
    std::vector<class_result> results_;
    std::map<std::uint64_t, open_attempt> open_;
    std::vector<std::shared_ptr<job>> jobs_;
    std::uint64_t last_id_ = 0;
    bool cut_ = false;
};

emulation::emulation(const run_settings& settings)
    : settings_(settings), random_(settings.seed), results_(settings.where.classes.size())
{
    make_servers();
    make_routers();
    schedule_reports();
    schedule_faults();
}

void emulation::make_servers()
{
    const auto& where = settings_.where;
    const auto domains = static_cast<int>(where.domains.size());
    for (int i = 0; i < where.model_engines + where.call_engines; ++i) {
        const bool is_call = i >= where.model_engines;
        servers_.push_back(
            {.name = (is_call ? "call-" : "model-") + std::to_string(i),
             .domain = i % domains,
             .is_call = is_call,
             .engine = std::make_unique<emulated_engine>(events_, is_call, engine_model{})});
        (is_call ? call_names_ : model_names_).push_back(servers_.back().name);
    }
    for (auto& item : servers_) {
        by_name_[item.name] = &item;
    }
}

void emulation::make_routers()
{
    const auto domains = static_cast<int>(settings_.where.domains.size());
    const int count = domains * settings_.where.routers_per_domain;
    for (int i = 0; i < count; ++i) {
        balancer::settings values;
        values.policy = settings_.policy;
        values.seed = settings_.seed * 1'000 + static_cast<std::uint64_t>(i);
        routers_.push_back({.domain = i % domains,
                            .choices = std::make_unique<balancer>(values),
                            .model_queue = fair_queue(),
                            .call_queue = fair_queue(),
                            .queued = {}});
    }
}

void emulation::schedule_reports()
{
    std::uniform_real_distribution<double> phase(0, report_interval);
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        events_.at(phase(random_), [this, i] { publish_load(i); });
        events_.at(phase(random_), [this, i] { publish_cache(i); });
    }
    events_.at(queue_check_interval, [this] { check_queues(); });
}

void emulation::publish_load(std::size_t index)
{
    const server& from = servers_[index];
    if (from.engine->is_dead()) {
        return;
    }
    std::uniform_real_distribution<double> lag(shortest_report_lag, longest_report_lag);
    for (auto& to : routers_) {
        const auto report = from.engine->load();
        events_.at(events_.now() + lag(random_), [this, &to, &from, report] {
            if (!is_cut(to.domain, from.domain)) {
                to.choices->take_report(from.name, report, to_now(events_.now()));
                pump(to);
            }
        });
    }
    events_.at(events_.now() + report_interval, [this, index] { publish_load(index); });
}

void emulation::publish_cache(std::size_t index)
{
    const server& from = servers_[index];
    if (from.engine->is_dead() || from.is_call) {
        return;
    }
    const auto events = from.engine->take_cache_events();
    const auto last = from.engine->cache_sequence();
    std::uniform_real_distribution<double> lag(shortest_report_lag, longest_cache_lag);
    std::bernoulli_distribution lost(lost_cache_batches);
    for (auto& to : routers_) {
        if (lost(random_)) {
            continue;
        }
        events_.at(events_.now() + lag(random_), [this, &to, &from, events, last] {
            if (is_cut(to.domain, from.domain) ||
                last < to.choices->prefixes().sequence(from.name) ||
                to.choices->prefixes().apply(from.name, last, events)) {
                return;
            }
            events_.at(events_.now() + resync_delay, [this, &to, &from] {
                if (!is_cut(to.domain, from.domain) && !from.engine->is_dead()) {
                    to.choices->prefixes().replace(from.name, from.engine->cache_sequence(),
                                                   from.engine->cache_contents());
                }
            });
        });
    }
    events_.at(events_.now() + cache_event_interval, [this, index] { publish_cache(index); });
}

void emulation::schedule_faults()
{
    // The last server of each kind fails, so that both kinds of requests meet the fault.
    const std::vector<server*> faulty{by_name_[model_names_.back()], by_name_[call_names_.back()]};
    constexpr double slow_factor = 4;
    switch (settings_.what) {
    case fault::none:
    case fault::overload:
        return;
    case fault::dead:
        events_.at(fault_start, [this, faulty] {
            for (const server* item : faulty) {
                item->engine->kill();
                lose_attempts_of([item](const router& /*at*/, const server& to) {
                    return to.name == item->name;
                });
            }
        });
        return;
    case fault::slow:
        for (server* item : faulty) {
            events_.at(fault_start, [item] { item->engine->set_slowdown(slow_factor); });
            events_.at(fault_end, [item] { item->engine->set_slowdown(1); });
        }
        return;
    case fault::cut:
        events_.at(fault_start, [this] {
            cut_ = true;
            lose_attempts_of([this](const router& at, const server& to) {
                return is_cut(at.domain, to.domain);
            });
        });
        events_.at(fault_end, [this] { cut_ = false; });
        return;
    }
}

void emulation::lose_attempts_of(const std::function<bool(const router&, const server&)>& lost)
{
    for (const auto& [attempt, item] : open_) {
        if (lost(*item.at, *item.to)) {
            events_.at(events_.now() + silence_timeout, [this, attempt = attempt, item = item] {
                fail_attempt(*item.at, item.item, *item.to, attempt);
            });
        }
    }
}

void emulation::arrive(const planned_request& plan)
{
    auto item = std::make_shared<job>();
    item->plan = &plan;
    item->kind = &settings_.where.classes[plan.kind];
    item->result = &results_[plan.kind];
    item->counted = plan.arrival >= warm_up;
    item->choice = {.service = item->kind->is_call ? "calls" : "models",
                    .priority = item->kind->priority,
                    .prefix = plan.prefix,
                    .prompt_tokens = plan.prompt_tokens,
                    .excluded = {}};
    item->result->counted += item->counted ? 1 : 0;
    jobs_.push_back(item);

    std::uniform_int_distribution<std::size_t> index(0, routers_.size() - 1);
    router& at = routers_[index(random_)];
    const std::uint64_t id = ++last_id_;
    const double cost =
        item->kind->is_call ? plan.call_ms : plan.prompt_tokens / 8.0 + plan.output_tokens;
    auto& queue = item->kind->is_call ? at.call_queue : at.model_queue;
    const auto pushed = queue.push({.id = id,
                                    .workspace = plan.workspace,
                                    .priority = item->kind->priority,
                                    .cost = cost,
                                    .deadline = to_now(plan.arrival + item->kind->patience)},
                                   to_now(events_.now()));
    if (pushed.status != routing::push_status::queued) {
        item->result->refused += item->counted ? 1 : 0;
        item->done = true;
        return;
    }
    at.queued.emplace(id, item);
    pump(at);
}

void emulation::check_queues()
{
    for (auto& at : routers_) {
        pump(at);
    }
    events_.at(events_.now() + queue_check_interval, [this] { check_queues(); });
}

void emulation::pump(router& at)
{
    pump(at, at.model_queue, false);
    pump(at, at.call_queue, true);
}

void emulation::pump(router& at, fair_queue& queue, bool calls)
{
    const milliseconds now = to_now(events_.now());
    for (const auto& late : queue.take_expired(now)) {
        const auto found = at.queued.find(late.id);
        found->second->result->expired += found->second->counted ? 1 : 0;
        found->second->done = true;
        at.queued.erase(found);
    }
    const auto& names = calls ? call_names_ : model_names_;
    while (!queue.empty()) {
        std::optional<priority> lowest;
        for (const auto value : {priority::interactive, priority::normal, priority::batch}) {
            if (at.choices->has_room(names, value, now)) {
                lowest = value;
            }
        }
        const auto next = lowest ? queue.pop(now, *lowest) : std::nullopt;
        if (!next) {
            return;
        }
        const auto found = at.queued.find(next->id);
        const auto item = found->second;
        at.queued.erase(found);
        dispatch(at, item);
    }
}

void emulation::dispatch(router& at, const std::shared_ptr<job>& item)
{
    const auto& names = item->kind->is_call ? call_names_ : model_names_;
    const milliseconds now = to_now(events_.now());
    server& to = *by_name_[at.choices->choose(item->choice, names, now).value()];
    const std::uint64_t attempt = ++last_id_;
    item->current = attempt;
    item->admitted = false;
    ++item->attempts;
    at.choices->sent(to.name, attempt, item->choice, now);
    open_.emplace(attempt, open_attempt{&at, item, &to});
    const bool lost = to.engine->is_dead() || is_cut(at.domain, to.domain);
    if (lost) {
        events_.at(events_.now() + admit_timeout,
                   [this, &at, item, &to, attempt] { fail_attempt(at, item, to, attempt); });
        return;
    }
    const run_time latency = at.domain == to.domain ? 0.1 : settings_.where.latency;
    events_.at(events_.now() + latency,
               [this, &at, item, &to, attempt] { submit(at, item, to, attempt); });
}

void emulation::submit(router& at, const std::shared_ptr<job>& item, server& to,
                       std::uint64_t attempt)
{
    if (to.engine->is_dead() || item->current != attempt) {
        return;
    }
    item->admitted = true;
    const run_time latency = at.domain == to.domain ? 0.1 : settings_.where.latency;
    const auto deliver = [this, &at, item, &to, attempt, latency](const auto& take) {
        if (is_cut(at.domain, to.domain)) {
            events_.at(events_.now() + silence_timeout,
                       [this, &at, item, &to, attempt] { fail_attempt(at, item, to, attempt); });
            return;
        }
        events_.at(events_.now() + latency, take);
    };
    to.engine->submit(
        {.id = attempt,
         .request = item->plan,
         .value = item->kind->priority,
         .on_first =
             [=, this, &at, &to](std::size_t cached) {
                 deliver([=, this, &at, &to] { take_first(at, item, to, attempt, cached); });
             },
         .on_end = [=, this, &at,
                    &to] { deliver([=, this, &at, &to] { take_end(at, item, to, attempt); }); }});
}

void emulation::take_first(router& at, const std::shared_ptr<job>& item, const server& from,
                           std::uint64_t attempt, std::size_t cached)
{
    if (item->current != attempt || item->done) {
        return;
    }
    at.choices->answered(from.name, attempt, to_now(events_.now()));
    item->cached = cached;
    if (item->first < 0) {
        item->first = events_.now();
    }
}

void emulation::take_end(router& at, const std::shared_ptr<job>& item, const server& from,
                         std::uint64_t attempt)
{
    if (item->current != attempt || item->done) {
        return;
    }
    open_.erase(attempt);
    item->done = true;
    const double units = item->kind->is_call ? 1 : item->plan->output_tokens;
    at.choices->finished(from.name, attempt, units, to_now(events_.now()));
    if (item->counted) {
        class_result& result = *item->result;
        result.first_token_ms.push_back(item->first - item->plan->arrival);
        result.total_ms.push_back(events_.now() - item->plan->arrival);
        result.blocks += item->plan->prefix.size();
        result.cached_blocks += item->cached;
        result.retries += static_cast<std::uint64_t>(item->attempts - 1);
    }
    pump(at);
}

void emulation::fail_attempt(router& at, const std::shared_ptr<job>& item, const server& from,
                             std::uint64_t attempt)
{
    if (item->current != attempt || item->done) {
        return;
    }
    open_.erase(attempt);
    at.choices->failed(from.name, attempt, to_now(events_.now()));
    const bool may_retry = item->kind->idempotent || !item->admitted;
    if (!may_retry || item->attempts >= attempt_limit) {
        item->done = true;
        item->result->failed += item->counted ? 1 : 0;
        return;
    }
    item->choice.excluded.push_back(from.name);
    dispatch(at, item);
}

std::vector<class_result> emulation::run()
{
    const auto plans = plan_requests(settings_.where, settings_.what, settings_.seed);
    for (const auto& plan : plans) {
        events_.at(plan.arrival, [this, &plan] { arrive(plan); });
    }
    events_.run_until(run_length + run_out);
    for (const auto& item : jobs_) {
        item->result->unfinished += !item->done && item->counted ? 1 : 0;
    }
    return std::move(results_);
}

} // namespace

std::vector<class_result> run(const run_settings& settings)
{
    return emulation(settings).run();
}

} // namespace dotterelport::standin::experiment
