#include "metrics.hpp"

namespace dotterelport::router {
namespace {

const prometheus::Histogram::BucketBoundaries duration_buckets_s{0.005, 0.025, 0.1, 0.5, 1,
                                                                 2.5,   5,     10,  30,  120};

constexpr double ms_per_s = 1000.0;

} // namespace

metrics::metrics(prometheus::Registry& registry)
    : requests_(prometheus::BuildCounter()
                    .Name("dotterelport_router_requests_total")
                    .Help("Requests of callers that ended, by service and code")
                    .Register(registry)),
      retries_(prometheus::BuildCounter()
                   .Name("dotterelport_router_retries_total")
                   .Help("Further attempts counted against the retry budget, by service")
                   .Register(registry)),
      duration_(prometheus::BuildHistogram()
                    .Name("dotterelport_router_request_duration_seconds")
                    .Help("Time from the receipt of a request to the end of its answer")
                    .Register(registry)
                    .Add({}, duration_buckets_s)),
      in_progress_(prometheus::BuildGauge()
                       .Name("dotterelport_router_requests_in_progress")
                       .Help("Requests of callers in progress")
                       .Register(registry)
                       .Add({}))
{}

void metrics::count_request(const std::string& service, const std::string& code,
                            milliseconds duration)
{
    requests_.Add({{"service", service}, {"code", code}}).Increment();
    duration_.Observe(static_cast<double>(duration.count()) / ms_per_s);
}

void metrics::count_retry(const std::string& service)
{
    retries_.Add({{"service", service}}).Increment();
}

void metrics::set_in_progress(std::size_t requests)
{
    in_progress_.Set(static_cast<double>(requests));
}

} // namespace dotterelport::router
