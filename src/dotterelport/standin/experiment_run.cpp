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

/// Interval at which a server reports its load, and limits of the delay until a router receives
/// the report.
constexpr run_time report_interval = 500;
constexpr run_time min_report_delay = 100;
constexpr run_time max_report_delay = 500;
/// Interval between batches of cache events, their maximum delay, and the share that is lost.
constexpr run_time cache_event_interval = 1'000;
constexpr run_time max_cache_event_delay = 1'500;
constexpr double cache_batch_loss_probability = 0.02;
constexpr run_time resync_delay = 1'000;
/// Time after which a router fails an attempt that the server did not admit, or that it admitted
/// but no longer answers.
constexpr run_time admit_timeout = 1'000;
constexpr run_time silence_timeout = 2'000;
constexpr run_time queue_check_interval = 50;
constexpr int max_attempts = 4;
/// Time after the last arrivals in which requests can still finish.
constexpr run_time completion_grace = 90'000;

milliseconds to_milliseconds(run_time time)
{
    return milliseconds{static_cast<std::int64_t>(time)};
}

struct server {
    std::string name;
    int domain = 0;
    bool is_call = false;
    std::unique_ptr<emulated_engine> engine;
};

/// State of a caller's request.
struct job {
    const planned_request* plan = nullptr;
    const traffic_class* kind = nullptr;
    class_result* result = nullptr;
    bool counted = false;
    int attempts = 0;
    std::uint64_t current_attempt = 0;
    bool admitted = false;
    /// -1 until the first token arrives.
    double first_token_at = -1;
    std::size_t cached_prompt_blocks = 0;
    bool done = false;
    routing::choice_request choice;
};

struct router {
    int domain = 0;
    std::unique_ptr<balancer> backend_balancer;
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
    void receive_request(const planned_request& plan);
    void dispatch_queued(router& sender);
    void dispatch_queued(router& sender, fair_queue& queue, bool is_call_queue);
    void check_queues();
    void dispatch(router& sender, const std::shared_ptr<job>& item);
    void submit(router& sender, const std::shared_ptr<job>& item, server& to,
                std::uint64_t attempt);
    void receive_first_token(router& sender, const std::shared_ptr<job>& item, const server& from,
                             std::uint64_t attempt, std::size_t cached);
    void receive_end(router& sender, const std::shared_ptr<job>& item, const server& from,
                     std::uint64_t attempt);
    void fail_attempt(router& sender, const std::shared_ptr<job>& item, const server& from,
                      std::uint64_t attempt);
    void fail_attempts_if(const std::function<bool(const router&, const server&)>& lost);

    [[nodiscard]] bool is_link_cut(int left, int right) const
    {
        return domain_cut_ && left != right && (left == cut_domain || right == cut_domain);
    }

    static constexpr int cut_domain = 1;

    struct open_attempt {
        router* sender;
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
    std::map<std::uint64_t, open_attempt> open_attempts_;
    std::vector<std::shared_ptr<job>> jobs_;
    std::uint64_t last_id_ = 0;
    bool domain_cut_ = false;
};

emulation::emulation(const run_settings& settings)
    : settings_(settings), random_(settings.seed),
      results_(settings.target_deployment.classes.size())
{
    make_servers();
    make_routers();
    schedule_reports();
    schedule_faults();
}

void emulation::make_servers()
{
    const auto& where = settings_.target_deployment;
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
    const auto domains = static_cast<int>(settings_.target_deployment.domains.size());
    const int count = domains * settings_.target_deployment.routers_per_domain;
    for (int i = 0; i < count; ++i) {
        balancer::settings balancer_settings;
        balancer_settings.policy = settings_.policy;
        balancer_settings.seed = settings_.seed * 1'000 + static_cast<std::uint64_t>(i);
        routers_.push_back({.domain = i % domains,
                            .backend_balancer = std::make_unique<balancer>(balancer_settings),
                            .model_queue = fair_queue(),
                            .call_queue = fair_queue(),
                            .queued = {}});
    }
}

void emulation::schedule_reports()
{
    std::uniform_real_distribution<double> phase(0, report_interval);
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        events_.schedule_at(phase(random_), [this, i] { publish_load(i); });
        events_.schedule_at(phase(random_), [this, i] { publish_cache(i); });
    }
    events_.schedule_at(queue_check_interval, [this] { check_queues(); });
}

void emulation::publish_load(std::size_t index)
{
    const server& from = servers_[index];
    if (from.engine->is_dead()) {
        return;
    }
    std::uniform_real_distribution<double> delay(min_report_delay, max_report_delay);
    for (auto& to : routers_) {
        const auto report = from.engine->load();
        events_.schedule_at(events_.now() + delay(random_), [this, &to, &from, report] {
            if (!is_link_cut(to.domain, from.domain)) {
                to.backend_balancer->record_report(from.name, report,
                                                   to_milliseconds(events_.now()));
                dispatch_queued(to);
            }
        });
    }
    events_.schedule_at(events_.now() + report_interval, [this, index] { publish_load(index); });
}

void emulation::publish_cache(std::size_t index)
{
    const server& from = servers_[index];
    if (from.engine->is_dead() || from.is_call) {
        return;
    }
    const auto events = from.engine->extract_cache_events();
    const auto last = from.engine->cache_sequence();
    std::uniform_real_distribution<double> delay(min_report_delay, max_cache_event_delay);
    std::bernoulli_distribution lost(cache_batch_loss_probability);
    for (auto& to : routers_) {
        if (lost(random_)) {
            continue;
        }
        events_.schedule_at(events_.now() + delay(random_), [this, &to, &from, events, last] {
            if (is_link_cut(to.domain, from.domain) ||
                last < to.backend_balancer->prefixes().sequence(from.name) ||
                to.backend_balancer->prefixes().apply(from.name, last, events)) {
                return;
            }
            events_.schedule_at(events_.now() + resync_delay, [this, &to, &from] {
                if (!is_link_cut(to.domain, from.domain) && !from.engine->is_dead()) {
                    to.backend_balancer->prefixes().replace(
                        from.name, from.engine->cache_sequence(), from.engine->cache_contents());
                }
            });
        });
    }
    events_.schedule_at(events_.now() + cache_event_interval,
                        [this, index] { publish_cache(index); });
}

void emulation::schedule_faults()
{
    // The last server of each kind is faulty, so that the fault affects both kinds of requests.
    const std::vector<server*> faulty{by_name_[model_names_.back()], by_name_[call_names_.back()]};
    constexpr double slow_factor = 4;
    switch (settings_.injected_fault) {
    case fault::none:
    case fault::overload:
        return;
    case fault::dead:
        events_.schedule_at(fault_start, [this, faulty] {
            for (const server* item : faulty) {
                item->engine->kill();
                fail_attempts_if([item](const router& /*sender*/, const server& to) {
                    return to.name == item->name;
                });
            }
        });
        return;
    case fault::slow:
        for (server* item : faulty) {
            events_.schedule_at(fault_start, [item] { item->engine->set_slowdown(slow_factor); });
            events_.schedule_at(fault_end, [item] { item->engine->set_slowdown(1); });
        }
        return;
    case fault::cut:
        events_.schedule_at(fault_start, [this] {
            domain_cut_ = true;
            fail_attempts_if([this](const router& sender, const server& to) {
                return is_link_cut(sender.domain, to.domain);
            });
        });
        events_.schedule_at(fault_end, [this] { domain_cut_ = false; });
        return;
    }
}

void emulation::fail_attempts_if(const std::function<bool(const router&, const server&)>& lost)
{
    for (const auto& [attempt, item] : open_attempts_) {
        if (lost(*item.sender, *item.to)) {
            events_.schedule_at(events_.now() + silence_timeout,
                                [this, attempt = attempt, item = item] {
                                    fail_attempt(*item.sender, item.item, *item.to, attempt);
                                });
        }
    }
}

void emulation::receive_request(const planned_request& plan)
{
    auto item = std::make_shared<job>();
    item->plan = &plan;
    item->kind = &settings_.target_deployment.classes[plan.class_index];
    item->result = &results_[plan.class_index];
    item->counted = plan.arrival >= warm_up;
    item->choice = {.service = item->kind->is_call ? "calls" : "models",
                    .priority = item->kind->priority,
                    .prefix = plan.prefix,
                    .prompt_tokens = plan.prompt_tokens,
                    .excluded = {}};
    item->result->counted += item->counted ? 1 : 0;
    jobs_.push_back(item);

    std::uniform_int_distribution<std::size_t> index(0, routers_.size() - 1);
    router& sender = routers_[index(random_)];
    const std::uint64_t id = ++last_id_;
    const double cost =
        item->kind->is_call ? plan.call_ms : plan.prompt_tokens / 8.0 + plan.output_tokens;
    auto& queue = item->kind->is_call ? sender.call_queue : sender.model_queue;
    const auto push_result =
        queue.push({.id = id,
                    .workspace = plan.workspace,
                    .priority = item->kind->priority,
                    .cost = cost,
                    .deadline = to_milliseconds(plan.arrival + item->kind->queue_timeout)},
                   to_milliseconds(events_.now()));
    if (push_result.status != routing::push_status::queued) {
        item->result->refused += item->counted ? 1 : 0;
        item->done = true;
        return;
    }
    sender.queued.emplace(id, item);
    dispatch_queued(sender);
}

void emulation::check_queues()
{
    for (auto& sender : routers_) {
        dispatch_queued(sender);
    }
    events_.schedule_at(events_.now() + queue_check_interval, [this] { check_queues(); });
}

void emulation::dispatch_queued(router& sender)
{
    dispatch_queued(sender, sender.model_queue, false);
    dispatch_queued(sender, sender.call_queue, true);
}

void emulation::dispatch_queued(router& sender, fair_queue& queue, bool is_call_queue)
{
    const milliseconds now = to_milliseconds(events_.now());
    for (const auto& expired_entry : queue.take_expired(now)) {
        const auto found = sender.queued.find(expired_entry.id);
        found->second->result->expired += found->second->counted ? 1 : 0;
        found->second->done = true;
        sender.queued.erase(found);
    }
    const auto& names = is_call_queue ? call_names_ : model_names_;
    while (!queue.empty()) {
        std::optional<priority> lowest_priority;
        for (const auto level : {priority::interactive, priority::normal, priority::batch}) {
            if (sender.backend_balancer->has_capacity(names, level, now)) {
                lowest_priority = level;
            }
        }
        const auto next = lowest_priority ? queue.pop(now, *lowest_priority) : std::nullopt;
        if (!next) {
            return;
        }
        const auto found = sender.queued.find(next->id);
        const auto item = found->second;
        sender.queued.erase(found);
        dispatch(sender, item);
    }
}

void emulation::dispatch(router& sender, const std::shared_ptr<job>& item)
{
    const auto& names = item->kind->is_call ? call_names_ : model_names_;
    const milliseconds now = to_milliseconds(events_.now());
    server& to = *by_name_[sender.backend_balancer->choose(item->choice, names, now).value()];
    const std::uint64_t attempt = ++last_id_;
    item->current_attempt = attempt;
    item->admitted = false;
    ++item->attempts;
    sender.backend_balancer->sent(to.name, attempt, item->choice, now);
    open_attempts_.emplace(attempt, open_attempt{&sender, item, &to});
    const bool lost = to.engine->is_dead() || is_link_cut(sender.domain, to.domain);
    if (lost) {
        events_.schedule_at(events_.now() + admit_timeout, [this, &sender, item, &to, attempt] {
            fail_attempt(sender, item, to, attempt);
        });
        return;
    }
    const run_time latency = sender.domain == to.domain ? 0.1 : settings_.target_deployment.latency;
    events_.schedule_at(events_.now() + latency,
                        [this, &sender, item, &to, attempt] { submit(sender, item, to, attempt); });
}

void emulation::submit(router& sender, const std::shared_ptr<job>& item, server& to,
                       std::uint64_t attempt)
{
    if (to.engine->is_dead() || item->current_attempt != attempt) {
        return;
    }
    item->admitted = true;
    const run_time latency = sender.domain == to.domain ? 0.1 : settings_.target_deployment.latency;
    const auto deliver = [this, &sender, item, &to, attempt, latency](const auto& receive) {
        if (is_link_cut(sender.domain, to.domain)) {
            events_.schedule_at(
                events_.now() + silence_timeout,
                [this, &sender, item, &to, attempt] { fail_attempt(sender, item, to, attempt); });
            return;
        }
        events_.schedule_at(events_.now() + latency, receive);
    };
    to.engine->submit(
        {.id = attempt,
         .request = item->plan,
         .level = item->kind->priority,
         .on_first_token =
             [=, this, &sender, &to](std::size_t cached) {
                 deliver([=, this, &sender, &to] {
                     receive_first_token(sender, item, to, attempt, cached);
                 });
             },
         .on_end =
             [=, this, &sender, &to] {
                 deliver([=, this, &sender, &to] { receive_end(sender, item, to, attempt); });
             }});
}

void emulation::receive_first_token(router& sender, const std::shared_ptr<job>& item,
                                    const server& from, std::uint64_t attempt, std::size_t cached)
{
    if (item->current_attempt != attempt || item->done) {
        return;
    }
    sender.backend_balancer->answered(from.name, attempt, to_milliseconds(events_.now()));
    item->cached_prompt_blocks = cached;
    if (item->first_token_at < 0) {
        item->first_token_at = events_.now();
    }
}

void emulation::receive_end(router& sender, const std::shared_ptr<job>& item, const server& from,
                            std::uint64_t attempt)
{
    if (item->current_attempt != attempt || item->done) {
        return;
    }
    open_attempts_.erase(attempt);
    item->done = true;
    const double units = item->kind->is_call ? 1 : item->plan->output_tokens;
    sender.backend_balancer->finished(from.name, attempt, units, to_milliseconds(events_.now()));
    if (item->counted) {
        class_result& result = *item->result;
        result.first_token_ms.push_back(item->first_token_at - item->plan->arrival);
        result.total_ms.push_back(events_.now() - item->plan->arrival);
        result.blocks += item->plan->prefix.size();
        result.cached_blocks += item->cached_prompt_blocks;
        result.retries += static_cast<std::uint64_t>(item->attempts - 1);
    }
    dispatch_queued(sender);
}

void emulation::fail_attempt(router& sender, const std::shared_ptr<job>& item, const server& from,
                             std::uint64_t attempt)
{
    if (item->current_attempt != attempt || item->done) {
        return;
    }
    open_attempts_.erase(attempt);
    sender.backend_balancer->failed(from.name, attempt, to_milliseconds(events_.now()));
    const bool may_retry = item->kind->idempotent || !item->admitted;
    if (!may_retry || item->attempts >= max_attempts) {
        item->done = true;
        item->result->failed += item->counted ? 1 : 0;
        return;
    }
    item->choice.excluded.push_back(from.name);
    dispatch(sender, item);
}

std::vector<class_result> emulation::run()
{
    const auto plans =
        plan_requests(settings_.target_deployment, settings_.injected_fault, settings_.seed);
    for (const auto& plan : plans) {
        events_.schedule_at(plan.arrival, [this, &plan] { receive_request(plan); });
    }
    events_.run_until(run_length + completion_grace);
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
