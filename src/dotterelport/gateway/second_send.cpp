#include "dotterelport/gateway/second_send.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <numeric>
#include <vector>

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::gateway {
namespace {

constexpr enum_names<second_send_decision, 5> decision_names{{
    {second_send_decision::send, "send"},
    {second_send_decision::inactive, "inactive"},
    {second_send_decision::limit_reached, "limit_reached"},
    {second_send_decision::short_of_capacity, "short_of_capacity"},
    {second_send_decision::no_gain, "no_gain"},
}};

/// @brief Class of requests that take about the same time: their size up to a factor of four.
int size_class(tokens prompt_tokens)
{
    constexpr int bits_per_class = 2;
    const auto bits =
        std::bit_width(static_cast<std::uint64_t>(std::max<tokens>(0, prompt_tokens)));
    return static_cast<int>(bits) / bits_per_class;
}

/// @brief Value that a share of the times do not exceed.
milliseconds percentile_of(const std::deque<milliseconds>& times, double share)
{
    std::vector<milliseconds> sorted(times.begin(), times.end());
    const auto position = std::min(
        sorted.size() - 1, static_cast<std::size_t>(static_cast<double>(sorted.size()) * share));
    const auto value = sorted.begin() + static_cast<std::ptrdiff_t>(position);
    std::nth_element(sorted.begin(), value, sorted.end());
    return *value;
}

/// @brief Mean further time of the requests that took longer than a time.
milliseconds expected_remaining(const std::deque<milliseconds>& times, milliseconds waited)
{
    milliseconds sum{0};
    std::int64_t count = 0;
    for (const auto time : times) {
        if (time > waited) {
            sum += time - waited;
            ++count;
        }
    }
    // A request that is slower than all before takes about as long again: times have a long tail.
    return count == 0 ? waited : sum / count;
}

milliseconds share_of(milliseconds time, double share)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(time.count()) * share)};
}

} // namespace

std::string_view to_string(second_send_decision value)
{
    return name_of(decision_names, value);
}

void second_send_policy::record_first_send(std::string_view service)
{
    if (settings_.share <= 0) {
        return;
    }
    auto& state = services_.try_emplace(std::string(service)).first->second;
    state.allowed = std::min(settings_.max_saved, state.allowed + settings_.share);
}

void second_send_policy::record_start(std::string_view service, tokens prompt_tokens,
                                      milliseconds time)
{
    if (settings_.share <= 0) {
        return;
    }
    auto& state = services_.try_emplace(std::string(service)).first->second;
    auto& times = state.times[size_class(prompt_tokens)];
    times.push_back(time);
    if (times.size() > settings_.max_samples) {
        times.pop_front();
    }
}

const std::deque<milliseconds>* second_send_policy::times_of(std::string_view service,
                                                             tokens prompt_tokens) const
{
    const auto found = services_.find(service);
    if (settings_.share <= 0 || found == services_.end()) {
        return nullptr;
    }
    const auto times = found->second.times.find(size_class(prompt_tokens));
    return times == found->second.times.end() || times->second.size() < settings_.min_samples
               ? nullptr
               : &times->second;
}

std::optional<milliseconds> second_send_policy::delay(std::string_view service,
                                                      tokens prompt_tokens) const
{
    const auto* times = times_of(service, prompt_tokens);
    if (times == nullptr) {
        return std::nullopt;
    }
    return std::max(settings_.min_delay, percentile_of(*times, settings_.percentile));
}

second_send_decision second_send_policy::decide(const slow_request& request) const
{
    constexpr double half = 0.5;
    const auto* times = times_of(request.service, request.prompt_tokens);
    if (times == nullptr) {
        return second_send_decision::inactive;
    }
    if (services_.find(request.service)->second.allowed < 1) {
        return second_send_decision::limit_reached;
    }
    const bool is_short =
        request.target_latency > milliseconds{0} &&
        (request.expected_at_second > share_of(request.target_latency, settings_.idle_share) ||
         percentile_of(*times, half) > request.target_latency);
    if (is_short) {
        return second_send_decision::short_of_capacity;
    }
    const milliseconds remaining = expected_remaining(*times, request.waited);
    return request.expected_at_second <= share_of(remaining, settings_.worthwhile_share)
               ? second_send_decision::send
               : second_send_decision::no_gain;
}

void second_send_policy::record_second_send(std::string_view service)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        found->second.allowed -= 1;
    }
}

json second_send_policy::dump() const
{
    json result = json::object();
    for (const auto& [service, state] : services_) {
        json delays = json::object();
        for (const auto& [size, times] : state.times) {
            delays[std::to_string(size)] = {
                {"samples", times.size()},
                {"delay_ms", percentile_of(times, settings_.percentile).count()}};
        }
        result[service] = {{"allowed", state.allowed}, {"sizes", std::move(delays)}};
    }
    return result;
}

} // namespace dotterelport::gateway
