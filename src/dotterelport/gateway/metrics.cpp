#include "metrics.hpp"

namespace dotterelport::gateway {
namespace {

const prometheus::Histogram::BucketBoundaries duration_buckets_s{0.01, 0.025, 0.05, 0.1, 0.2, 0.4,
                                                                 0.8,  1.2,   2,    4,   8,   16};

double seconds(milliseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

metrics::metrics(prometheus::Registry& registry)
    : answers_(prometheus::BuildCounter()
                   .Name("dotterelport_gateway_answers_total")
                   .Help("Answers of backend servers passed on, by service and status")
                   .Register(registry)),
      refusals_(prometheus::BuildCounter()
                    .Name("dotterelport_gateway_refusals_total")
                    .Help("Answers of the gateway itself, by service, status and reason")
                    .Register(registry)),
      abandoned_(prometheus::BuildCounter()
                     .Name("dotterelport_gateway_abandoned_total")
                     .Help("Requests whose caller left before the end, by service")
                     .Register(registry)),
      attempts_(prometheus::BuildCounter()
                    .Name("dotterelport_gateway_attempts_total")
                    .Help("Sends to backend servers, by service and outcome")
                    .Register(registry)),
      second_sends_(prometheus::BuildCounter()
                        .Name("dotterelport_gateway_second_sends_total")
                        .Help("Decisions on second sends of slow requests, by service")
                        .Register(registry)),
      cold_servers_(prometheus::BuildGauge()
                        .Name("dotterelport_gateway_cold_servers")
                        .Help("Servers that get few requests because they have started recently")
                        .Register(registry)
                        .Add({})),
      evacuated_domains_(prometheus::BuildGauge()
                             .Name("dotterelport_gateway_evacuated_domains")
                             .Help("Failure domains that operators have evacuated")
                             .Register(registry)
                             .Add({})),
      waits_(prometheus::BuildCounter()
                 .Name("dotterelport_gateway_waits_total")
                 .Help("Waits of requests for a free slot at full backend servers, by service")
                 .Register(registry)),
      limited_clients_(
          prometheus::BuildCounter()
              .Name("dotterelport_gateway_limited_clients_total")
              .Help("Connections that gave way to the limits of all clients together, by cause")
              .Register(registry)),
      first_byte_seconds_(
          prometheus::BuildHistogram()
              .Name("dotterelport_gateway_first_byte_seconds")
              .Help("Time from the receipt of a request to the first part of its answer")
              .Register(registry)),
      answer_seconds_(prometheus::BuildHistogram()
                          .Name("dotterelport_gateway_answer_seconds")
                          .Help("Time from the receipt of a request to the end of its answer")
                          .Register(registry)),
      delay_seconds_(
          prometheus::BuildGauge()
              .Name("dotterelport_gateway_delay_seconds")
              .Help("Usual delay of the event loop or of the network link, the longer one")
              .Register(registry)
              .Add({})),
      relief_level_(prometheus::BuildGauge()
                        .Name("dotterelport_gateway_relief_level")
                        .Help("0 normal, 1 closes connections, 2 refuses requests, 3 not ready")
                        .Register(registry)
                        .Add({}))
{}

void metrics::record_answer(const std::string& service, int status, milliseconds until_first,
                            milliseconds until_end)
{
    answers_.Add({{"service", service}, {"status", std::to_string(status)}}).Increment();
    first_byte_seconds_.Add({{"service", service}}, duration_buckets_s)
        .Observe(seconds(until_first));
    answer_seconds_.Add({{"service", service}}, duration_buckets_s).Observe(seconds(until_end));
}

void metrics::record_refusal(const std::string& service, int status, const std::string& reason)
{
    refusals_.Add({{"service", service}, {"status", std::to_string(status)}, {"reason", reason}})
        .Increment();
}

void metrics::record_wait(const std::string& service)
{
    waits_.Add({{"service", service}}).Increment();
}

void metrics::record_abandoned(const std::string& service)
{
    abandoned_.Add({{"service", service}}).Increment();
}

void metrics::record_limited_client(const std::string& cause)
{
    limited_clients_.Add({{"cause", cause}}).Increment();
}

void metrics::record_load(milliseconds delay, int relief_level)
{
    delay_seconds_.Set(seconds(delay));
    relief_level_.Set(relief_level);
}

void metrics::record_attempt(const std::string& service, const std::string& outcome)
{
    attempts_.Add({{"service", service}, {"outcome", outcome}}).Increment();
}

void metrics::record_second_send(const std::string& service, const std::string& decision)
{
    second_sends_.Add({{"service", service}, {"decision", decision}}).Increment();
}

void metrics::set_unusable(std::size_t cold_servers, std::size_t evacuated_domains)
{
    cold_servers_.Set(static_cast<double>(cold_servers));
    evacuated_domains_.Set(static_cast<double>(evacuated_domains));
}

} // namespace dotterelport::gateway
