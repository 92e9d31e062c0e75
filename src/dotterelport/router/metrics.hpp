#ifndef DOTTERELPORT_ROUTER_METRICS_HPP
#define DOTTERELPORT_ROUTER_METRICS_HPP

#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::router {

/// Metrics of a router's requests.
class metrics {
public:
    explicit metrics(prometheus::Registry& registry);

    /// @brief Counts a request that ended.
    /// @param code "ok", or the code of the error that the caller received
    void count_request(const std::string& service, const std::string& code, milliseconds duration);

    void count_retry(const std::string& service);

    void set_in_progress(std::size_t requests);

private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Histogram& duration_;
    prometheus::Gauge& in_progress_;
};

} // namespace dotterelport::router

#endif
