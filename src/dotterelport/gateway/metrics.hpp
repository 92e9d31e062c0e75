#ifndef DOTTERELPORT_GATEWAY_METRICS_HPP
#define DOTTERELPORT_GATEWAY_METRICS_HPP

#include <cstddef>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::gateway {

/// Counters and latency histograms of a gateway.
class metrics {
public:
    explicit metrics(prometheus::Registry& registry);

    void record_answer(const std::string& service, int status, milliseconds until_first,
                       milliseconds until_end);
    void record_refusal(const std::string& service, int status, const std::string& reason);
    void record_abandoned(const std::string& service);
    void record_limited_client(const std::string& cause);
    void record_attempt(const std::string& service, const std::string& outcome);
    void record_second_send(const std::string& service, const std::string& decision);
    void set_unusable(std::size_t cold_servers, std::size_t evacuated_domains);
    void record_wait(const std::string& service);
    void record_load(milliseconds delay, int relief_level);

private:
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& abandoned_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& second_sends_;
    prometheus::Gauge& cold_servers_;
    prometheus::Gauge& evacuated_domains_;
    prometheus::Family<prometheus::Counter>& waits_;
    prometheus::Family<prometheus::Counter>& limited_clients_;
    prometheus::Family<prometheus::Histogram>& first_byte_seconds_;
    prometheus::Family<prometheus::Histogram>& answer_seconds_;
    prometheus::Gauge& delay_seconds_;
    prometheus::Gauge& relief_level_;
};

} // namespace dotterelport::gateway

#endif
