#include "dotterelport/agent/agent_metrics.hpp"

#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include "dotterelport/agent/backend_monitor.hpp"
#include "dotterelport/agent/request_runner.hpp"

namespace dotterelport::agent {
namespace {

constexpr milliseconds update_interval{1'000};

template<typename Number> std::function<double()> value_of(const Number& number)
{
    return [&number] { return static_cast<double>(number); };
}

} // namespace

agent_metrics::agent_metrics(net::event_loop& loop, prometheus::Registry& registry,
                             const request_runner& runner, const backend_monitor& monitor)
    : timer_(loop, update_interval, [this] {
          for (const auto& update : updates_) {
              update();
          }
      })
{
    const runner_counts& counts = runner.counts();
    const std::string admissions = "dotterelport_agent_admissions_total";
    const std::string admissions_help = "Admissions by decision";
    add_counter(registry, admissions, admissions_help, {{"decision", "start"}},
                value_of(counts.started));
    add_counter(registry, admissions, admissions_help, {{"decision", "join"}},
                value_of(counts.joined));
    add_counter(registry, admissions, admissions_help, {{"decision", "refuse"}},
                value_of(counts.refused));
    const std::string ended = "dotterelport_agent_requests_ended_total";
    const std::string ended_help = "Requests that ended, by verdict";
    add_counter(registry, ended, ended_help, {{"verdict", "ran"}}, value_of(counts.ran));
    add_counter(registry, ended, ended_help, {{"verdict", "not_run"}}, value_of(counts.not_run));
    add_counter(registry, ended, ended_help, {{"verdict", "may_have_run"}},
                value_of(counts.may_have_run));
    add_counter(registry, "dotterelport_agent_backend_crashes_total",
                "Requests whose backend server went down", {}, value_of(counts.crashes));
    add_counter(registry, "dotterelport_agent_chunks_total", "Chunks from the backend server", {},
                value_of(counts.chunks));
    add_counter(registry, "dotterelport_agent_charged_tokens_total", "Tokens in outcomes", {},
                value_of(counts.charged_tokens));
    add_gauge(registry, "dotterelport_agent_running", "Requests at the backend server",
              [&runner] { return static_cast<double>(runner.running_count()); });
    add_gauge(registry, "dotterelport_agent_readers", "Connections that read frames",
              [&runner] { return static_cast<double>(runner.reader_count()); });
    add_gauge(registry, "dotterelport_agent_unsettled_outcomes", "Outcomes that are not durable",
              [&runner] { return static_cast<double>(runner.outcomes().size()); });
    add_gauge(registry, "dotterelport_agent_replay_bytes", "Memory of the replay buffers",
              [&runner] { return static_cast<double>(runner.replay().bytes()); });
    add_gauge(registry, "dotterelport_agent_known_keys", "Finished and refused keys",
              [&runner] { return static_cast<double>(runner.table().known().size()); });
    add_gauge(registry, "dotterelport_agent_backend_reachable",
              "1 if the last poll of the backend server was answered",
              [&monitor] { return monitor.is_reachable() ? 1.0 : 0.0; });
}

void agent_metrics::add_counter(prometheus::Registry& registry, const std::string& name,
                                const std::string& help,
                                const std::map<std::string, std::string>& labels,
                                value_source read_value)
{
    auto& counter = prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add(labels);
    updates_.emplace_back([&counter, read_value = std::move(read_value)] {
        counter.Increment(read_value() - counter.Value());
    });
}

void agent_metrics::add_gauge(prometheus::Registry& registry, const std::string& name,
                              const std::string& help, value_source read_value)
{
    auto& gauge = prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    updates_.emplace_back(
        [&gauge, read_value = std::move(read_value)] { gauge.Set(read_value()); });
}

} // namespace dotterelport::agent
