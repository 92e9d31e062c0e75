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

milliseconds admission::spread(const retry_range& range)
{
    const double value =
        std::uniform_real_distribution<double>(range.from_ms, range.to_ms)(random_);
    return std::max(min_retry_after, milliseconds{static_cast<std::int64_t>(value)});
}

std::optional<start_assessment> admission::assess_start(const std::string& service,
                                                        const admission_request& request,
                                                        milliseconds now) const
{
    const auto found = services_.find(service);
    const auto ratio = found == services_.end() ? std::nullopt : start_ratio(found->second, now);
    if (!ratio) {
        return std::nullopt;
    }
    start_assessment result{.likely_ms = request.expected_start_ms * *ratio,
                            .optimistic_ms = 0,
                            .limit = request.time_left};
    result.optimistic_ms = result.likely_ms * optimistic_share;
    for (const auto& [priority, last] : found->second.rejections) {
        // A less urgent request with a longer time limit must not take the place that a more urgent
        // one could not wait for.
        if (priority < request.priority && now - last.at <= rejection_memory) {
            result.limit = std::min(result.limit, last.time_limit);
        }
    }
    return result;
}

retry_range admission::too_late_retry(const start_assessment& assessment)
{
    return {.from_ms = assessment.optimistic_ms, .to_ms = assessment.likely_ms};
}

admission_decision admission::decide(const std::string& service, const admission_request& request,
                                     milliseconds now)
{
    const auto assessment = assess_start(service, request, now);
    if (!assessment) {
        return send_now{};
    }
    if (assessment->optimistic_ms > in_ms(request.time_limit)) {
        services_.find(service)->second.rejections[request.priority] = {
            .time_limit = request.time_limit, .at = now};
    }
    if (!assessment->is_too_late()) {
        return send_now{};
    }
    return reject_now{.reason = "starts_too_late",
                      .retry_after = spread(too_late_retry(*assessment))};
}

milliseconds admission::longest_wait(milliseconds held, milliseconds target_latency,
                                     milliseconds time_left)
{
    const milliseconds limit =
        target_latency > milliseconds{0} ? target_latency : (held + time_left) / held_divisor;
    return std::max(milliseconds{0}, std::min(limit - held, time_left - min_wait));
}

milliseconds admission::closed_for(const std::string& service, milliseconds now) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? milliseconds{0}
                                    : std::max(milliseconds{0}, found->second.closed_until - now);
}

retry_range admission::no_capacity_retry(const std::string& service, milliseconds now) const
{
    const double earliest_ms =
        std::max(in_ms(closed_for(service, now)), in_ms(full_server_retry_after) / 2);
    return {.from_ms = earliest_ms, .to_ms = earliest_ms + in_ms(full_server_retry_after)};
}

reject_now admission::no_capacity(const std::string& service, milliseconds now)
{
    return {.reason = "no_capacity", .retry_after = spread(no_capacity_retry(service, now))};
}

admission_decision admission::decide_after_refusal(const std::string& service,
                                                   const refused_request& request, milliseconds now)
{
    milliseconds earliest = request.servers.empty() ? now : milliseconds::max();
    const auto found = services_.find(service);
    for (const auto& server : request.servers) {
        earliest = std::min(
            earliest, is_full(service, server, now) ? found->second.full_until.at(server) : now);
    }
    if (earliest > now) {
        found->second.closed_until = earliest;
        found->second.is_short = true;
    }
    const milliseconds longest =
        longest_wait(request.held, request.target_latency, request.time_left);
    if (std::max(min_wait, earliest - now) > longest) {
        return no_capacity(service, now);
    }
    return wait_for_slot{.longest = longest};
}

void admission::server_full(const std::string& service, const full_server& refusal,
                            milliseconds now)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    // The mean duration includes the time in the queue, so that it can be far above the time until
    // a slot is free. Gateways that were refused together must not return together.
    const double slot_ms =
        std::min(refusal.ms_per_slot, in_ms(refusal.target_latency) / held_divisor);
    const double spread_factor = std::uniform_real_distribution<double>(1.0, 2.0)(random_);
    std::erase_if(found->second.full_until, [now](const auto& item) { return item.second <= now; });
    found->second.full_until[refusal.server] =
        now + std::max({min_wait, refusal.permitted_after,
                        milliseconds{static_cast<std::int64_t>(slot_ms * spread_factor)}});
}

void admission::slot_freed(const std::string& service, const std::string& server)
{
    const auto found = services_.find(service);
    if (found != services_.end() && found->second.full_until.erase(server) > 0) {
        found->second.closed_until = milliseconds{0};
    }
}

bool admission::may_have_full_servers(const std::string& service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && !found->second.full_until.empty();
}

bool admission::is_full(const std::string& service, const std::string& server,
                        milliseconds now) const
{
    return full_for(service, server, now) > milliseconds{0};
}

milliseconds admission::full_for(const std::string& service, const std::string& server,
                                 milliseconds now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return milliseconds{0};
    }
    const auto until = found->second.full_until.find(server);
    return until == found->second.full_until.end() ? milliseconds{0}
                                                   : std::max(milliseconds{0}, until->second - now);
}

bool admission::is_short(const std::string& service, milliseconds now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && (now < found->second.closed_until ||
                                        (found->second.is_short && !found->second.queue.empty()));
}

waiting_place admission::find_place(const std::string& service,
                                    const waiting_request& request) const
{
    const auto found = services_.find(service);
    if (found == services_.end() ||
        found->second.queue.count(request.workspace) >= limits_.workspace_requests) {
        return {};
    }
    const auto& queue = found->second.queue;
    if (fits(waiting_, waiting_bytes_ + request.bytes)) {
        return {.is_free = true, .displaces = std::nullopt};
    }
    const waiting_request* less_urgent = queue.displaceable(request.priority);
    // A request is not rejected for one that gets no place either.
    if (less_urgent == nullptr ||
        !fits(waiting_ - 1, waiting_bytes_ - less_urgent->bytes + request.bytes)) {
        return {};
    }
    return {.is_free = true, .displaces = less_urgent->id};
}

bool admission::push(const std::string& service, const waiting_request& request,
                     std::optional<std::uint64_t>& displaced)
{
    const waiting_place place = find_place(service, request);
    if (!place.is_free) {
        return false;
    }
    if (place.displaces) {
        displaced = place.displaces;
        remove(service, *displaced);
    }
    services_.find(service)->second.queue.push(request);
    ++waiting_;
    waiting_bytes_ += request.bytes;
    return true;
}

bool admission::fits(std::size_t others, std::size_t bytes) const
{
    return others < limits_.requests && bytes <= limits_.bytes;
}

void admission::count_removed(const waiting_request& request)
{
    --waiting_;
    waiting_bytes_ -= request.bytes;
}

void admission::remove(const std::string& service, std::uint64_t id)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    if (const auto removed = found->second.queue.remove(id)) {
        count_removed(*removed);
    }
}

std::vector<ended_wait> admission::take_ended(milliseconds now)
{
    std::vector<ended_wait> result;
    for (auto& [name, state] : services_) {
        for (const auto& expired : state.queue.take_expired(now)) {
            count_removed(expired);
            result.push_back({.id = expired.id, .is_admitted = false});
        }
        if (now < state.closed_until) {
            continue;
        }
        while (const auto next = state.queue.pop()) {
            count_removed(*next);
            result.push_back({.id = next->id, .is_admitted = true});
            if (state.is_short) {
                break;
            }
        }
        state.is_short = state.is_short && !state.queue.empty();
    }
    return result;
}

json admission::dump(milliseconds now) const
{
    json services = json::object();
    for (const auto& [name, state] : services_) {
        const auto ratio = start_ratio(state, now);
        services[name] = {
            {"start_ratio", ratio ? json(*ratio) : json()},
            {"observations", state.observations},
            {"waiting", state.queue.size()},
            {"closed_ms", std::max(milliseconds{0}, state.closed_until - now).count()}};
    }
    return {{"enabled", is_enabled_},
            {"waiting", waiting_},
            {"waiting_bytes", waiting_bytes_},
            {"services", services}};
}

} // namespace dotterelport::gateway
