#ifndef DOTTERELPORT_AGENT_AGENT_METRICS_HPP
#define DOTTERELPORT_AGENT_AGENT_METRICS_HPP

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <prometheus/registry.h>

#include "dotterelport/net/event_loop.hpp"

namespace dotterelport::agent {

class request_runner;
class backend_monitor;

/// Metrics of an agent, updated once a second.
class agent_metrics {
public:
    agent_metrics(net::event_loop& loop, prometheus::Registry& registry,
                  const request_runner& runner, const backend_monitor& monitor);

private:
    using value_source = std::function<double()>;

    void add_counter(prometheus::Registry& registry, const std::string& name,
                     const std::string& help, const std::map<std::string, std::string>& labels,
                     value_source read_value);
    void add_gauge(prometheus::Registry& registry, const std::string& name, const std::string& help,
                   value_source read_value);

    std::vector<std::function<void()>> updates_;
    net::periodic_timer timer_;
};

} // namespace dotterelport::agent

#endif
