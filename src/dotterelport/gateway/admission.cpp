#include "dotterelport/gateway/admission.hpp"

#include <algorithm>

namespace dotterelport::gateway {
namespace {

/// Share of the expected start that is assumed before a request is rejected: the estimate is
/// uncertain, and a rejection is worse than a late answer.
constexpr double optimistic_share = 0.5;

/// Weight of one start in the moving average of the ratio.
constexpr double ratio_weight = 0.2;

/// Number of starts before the ratio is used.
constexpr int min_observations = 4;

/// Time after the last observed start for which the ratio is used. After it, requests are sent
/// again, so that a wrong ratio cannot reject a service's requests for good.
constexpr milliseconds ratio_lifetime{5'000};

/// Time for which the rejection of a request holds back less urgent requests that would start
/// later than it.
constexpr milliseconds rejection_memory{1'000};

/// Shortest wait, and interval at which waiting requests are tried again.
constexpr milliseconds min_wait{20};

/// Time after which a server that was full is likely to have free capacity.
constexpr milliseconds full_server_retry_after{300};

constexpr milliseconds min_retry_after{50};

/// Share of the time left for which a request without a target latency may be held.
constexpr int held_divisor = 8;

double in_ms(milliseconds duration)
{
    return static_cast<double>(duration.count());
}

} // namespace

waiting_place::waiting_place(waiting_counts& counts, std::size_t bytes)
    : counts_(counts), bytes_(bytes)
{
    ++counts_.requests;
    counts_.bytes += bytes_;
}

waiting_place::~waiting_place()
{
    --counts_.requests;
    counts_.bytes -= bytes_;
}

admission::admission(bool is_enabled, std::mt19937_64& random, const waiting_limits& limits)
    : is_enabled_(is_enabled), random_(random), limits_(limits)
{}

bool admission::record_report(const std::string& service, const routing::load_report& report)
{
    return is_enabled_ && report.slowdown && services_.try_emplace(service).second;
}

bool admission::is_active(const std::string& service) const
{
    return services_.contains(service);
}

std::optional<double> admission::start_ratio(const service_state& service, milliseconds now)
{
    if (service.observations < min_observations ||
        now - service.last_observation > ratio_lifetime) {
        return std::nullopt;
    }
    return std::min(1.0, service.start_ratio);
}

void admission::record_start(const std::string& service, double expected_start_ms,
                             milliseconds actual, milliseconds target_latency, milliseconds now)
{
    const auto found = services_.find(service);
    // Short expected starts leave out fixed times, such as that of the network, and would show a
    // ratio that does not hold for a long queue.
    if (found == services_.end() || expected_start_ms < std::max(1.0, in_ms(target_latency))) {
        return;
    }
    service_state& state = found->second;
    if (now - state.last_observation > ratio_lifetime) {
        state.observations = 0;
    }
    const double ratio = in_ms(actual) / expected_start_ms;
    state.start_ratio = state.observations == 0
                            ? ratio
                            : state.start_ratio + ratio_weight * (ratio - state.start_ratio);
    ++state.observations;
    state.last_observation = now;
}

milliseconds admission::spread(double from_ms, double to_ms)
{
    const double value = std::uniform_real_distribution<double>(from_ms, to_ms)(random_);
    return std::max(min_retry_after, milliseconds{static_cast<std::int64_t>(value)});
}

admission_decision admission::decide(const std::string& service, const admission_request& request,
                                     milliseconds now)
{
    const auto found = services_.find(service);
    const auto ratio = found == services_.end() ? std::nullopt : start_ratio(found->second, now);
    if (!ratio) {
        return send_now{};
    }
    const double likely_ms = request.expected_start_ms * *ratio;
    const double optimistic_ms = likely_ms * optimistic_share;
    auto& rejections = found->second.rejections;
    if (optimistic_ms > in_ms(request.time_limit)) {
        rejections[request.priority] = {.time_limit = request.time_limit, .at = now};
    }
    milliseconds limit = request.time_left;
    for (const auto& [priority, last] : rejections) {
        // A less urgent request with a longer time limit must not take the place that a more urgent
        // one could not wait for.
        if (priority < request.priority && now - last.at <= rejection_memory) {
            limit = std::min(limit, last.time_limit);
        }
    }
    if (optimistic_ms <= in_ms(limit)) {
        return send_now{};
    }
    return reject_now{.reason = "starts_too_late", .retry_after = spread(optimistic_ms, likely_ms)};
}

admission_decision admission::decide_after_refusal(const refused_request& request)
{
    const reject_now rejection{.reason = "server_refused",
                               .retry_after = spread(in_ms(full_server_retry_after) / 2,
                                                     in_ms(full_server_retry_after) * 3 / 2)};
    if (waiting_.requests >= limits_.requests || request.bytes > limits_.bytes - waiting_.bytes) {
        return rejection;
    }
    const bool has_target = request.target_latency > milliseconds{0};
    const milliseconds held_limit =
        has_target ? request.target_latency : (request.held + request.time_left) / held_divisor;
    const milliseconds longest = std::min(held_limit - request.held, request.time_left - min_wait);
    // Requests that were refused together must not return to the server together.
    const double slot_ms =
        std::min(request.ms_per_slot, std::max(0.0, in_ms(held_limit) / held_divisor));
    const double spread_factor = std::uniform_real_distribution<double>(1.0, 2.0)(random_);
    const milliseconds wait =
        std::max({min_wait, request.permitted_after,
                  milliseconds{static_cast<std::int64_t>(slot_ms * spread_factor)}});
    if (wait > longest) {
        return rejection;
    }
    return wait_for_slot{wait};
}

json admission::dump(milliseconds now) const
{
    json services = json::object();
    for (const auto& [name, state] : services_) {
        const auto ratio = start_ratio(state, now);
        services[name] = {{"start_ratio", ratio ? json(*ratio) : json()},
                          {"observations", state.observations}};
    }
    return {{"enabled", is_enabled_},
            {"waiting", waiting_.requests},
            {"waiting_bytes", waiting_.bytes},
            {"services", services}};
}

} // namespace dotterelport::gateway
