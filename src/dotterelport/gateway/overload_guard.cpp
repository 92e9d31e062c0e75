#include "dotterelport/gateway/overload_guard.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dotterelport::gateway {
namespace {

/// Larger figures of other gateways are not plausible and would not fit the types used here.
constexpr double max_stated = 1e9;

bool is_plausible(double value)
{
    return std::isfinite(value) && value >= 0 && value <= max_stated;
}

/// @brief Median of values that are not empty; the upper one of two.
template<typename Value> Value median(std::vector<Value> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double requests_per_core(std::size_t requests, double cpu_share)
{
    return static_cast<double>(requests) / cpu_share;
}

relief_level next_lower(relief_level level)
{
    return static_cast<relief_level>(static_cast<int>(level) - 1);
}

relief_level next_higher(relief_level level)
{
    return static_cast<relief_level>(static_cast<int>(level) + 1);
}

} // namespace

std::string_view to_string(relief_level level)
{
    switch (level) {
    case relief_level::normal:
        return "normal";
    case relief_level::close_connections:
        return "close_connections";
    case relief_level::refuse_requests:
        return "refuse_requests";
    case relief_level::not_ready:
        return "not_ready";
    }
    return "";
}

json to_json(const gateway_load& load)
{
    return json::array({load.delay.count(), load.requests, load.cpu_share, load.is_relieving});
}

std::optional<gateway_load> parse_gateway_load(const json& document)
{
    constexpr std::size_t fields = 4;
    if (!document.is_array() || document.size() < fields || !document[0].is_number() ||
        !document[1].is_number() || !document[2].is_number() || !document[3].is_boolean()) {
        return std::nullopt;
    }
    const double delay_ms = document[0].get<double>();
    const double requests = document[1].get<double>();
    const double cpu_share = document[2].get<double>();
    if (!is_plausible(delay_ms) || !is_plausible(requests) || !is_plausible(cpu_share) ||
        cpu_share <= 0) {
        return std::nullopt;
    }
    return gateway_load{.delay = milliseconds{std::llround(delay_ms)},
                        .requests = static_cast<std::size_t>(requests),
                        .cpu_share = cpu_share,
                        .is_relieving = document[3].get<bool>()};
}

overload_guard::overload_guard(double cpu_share, const overload_guard_settings& settings)
    : cpu_share_(cpu_share), settings_(settings), pause_(settings.first_pause)
{}

void overload_guard::record_other(const std::string& node, const std::optional<gateway_load>& load,
                                  milliseconds now)
{
    if (load) {
        others_[node] = {.load = *load, .at = now};
    } else {
        others_.erase(node);
    }
}

void overload_guard::record(const load_sample& sample, milliseconds now)
{
    if (!not_ready_allowed_) {
        not_ready_allowed_ = now + settings_.max_not_ready;
    }
    delays_.push_back({.delay = sample.delay, .at = now});
    while (delays_.size() > settings_.samples ||
           now - delays_.front().at > settings_.max_sample_age) {
        delays_.pop_front();
    }
    requests_ = sample.requests;
    // While the loop was late it read no messages of others.
    const milliseconds max_age = settings_.max_load_age + sample.delay;
    std::erase_if(others_, [&](const auto& item) { return now - item.second.at > max_age; });
    room_ = find_room(sample.other_gateways);
    decide(now);
}

std::optional<milliseconds> overload_guard::usual_delay() const
{
    if (delays_.size() < settings_.min_samples) {
        return std::nullopt;
    }
    std::vector<milliseconds> values;
    values.reserve(delays_.size());
    for (const auto& item : delays_) {
        values.push_back(item.delay);
    }
    return median(std::move(values));
}

std::optional<overload_guard::room> overload_guard::find_room(std::size_t other_gateways) const
{
    std::vector<milliseconds> delays;
    std::vector<double> requests;
    for (const auto& [node, other] : others_) {
        // A gateway that sends its callers away must not get those of another one.
        if (!other.load.is_relieving && other.load.delay < settings_.room_until) {
            delays.push_back(other.load.delay);
            requests.push_back(requests_per_core(other.load.requests, other.load.cpu_share));
        }
    }
    // Callers reach any of the other gateways, so that at least half of them must have room.
    if (delays.empty() || delays.size() * 2 < other_gateways) {
        return std::nullopt;
    }
    return room{.delay = median(std::move(delays)),
                .requests_per_core = median(std::move(requests))};
}

bool overload_guard::calls_for(relief_level level, milliseconds delay, milliseconds from,
                               milliseconds until) const
{
    return delay >= (level_ >= level ? until : from);
}

bool overload_guard::may_be_not_ready(milliseconds now) const
{
    return level_ == relief_level::not_ready ? now - *changed_ < settings_.max_not_ready
                                             : now >= *not_ready_allowed_;
}

relief_level overload_guard::wanted_level(milliseconds delay, milliseconds now) const
{
    // A gateway that is late with fewer requests per core than others is not short because of
    // unequal load, and sending callers away would not mend it.
    const bool has_more_requests =
        level_ != relief_level::normal ||
        requests_per_core(requests_, cpu_share_) > room_->requests_per_core;
    if (!has_more_requests || !calls_for(relief_level::close_connections, delay,
                                         settings_.close_from, settings_.close_until)) {
        return relief_level::normal;
    }
    if (!calls_for(relief_level::refuse_requests, delay, settings_.refuse_from,
                   settings_.refuse_until)) {
        return relief_level::close_connections;
    }
    const bool is_late = calls_for(relief_level::not_ready, delay, settings_.not_ready_from,
                                   settings_.not_ready_until);
    return is_late && may_be_not_ready(now) ? relief_level::not_ready
                                            : relief_level::refuse_requests;
}

void overload_guard::decide(milliseconds now)
{
    const auto delay = usual_delay();
    withholding_ = active_ && !room_ && delay && *delay >= settings_.close_from;
    if (!active_ || !room_) {
        if (level_ != relief_level::normal) {
            if (active_) {
                pause_ = std::min(pause_ * 2, settings_.max_pause);
            }
            set_level(relief_level::normal, now);
        }
        return;
    }
    if (level_ == relief_level::not_ready && !may_be_not_ready(now)) {
        set_level(relief_level::refuse_requests, now);
        return;
    }
    if (!delay) {
        return;
    }
    const milliseconds time_at_level = now - changed_.value_or(-settings_.max_pause * 2);
    if (level_ == relief_level::normal && time_at_level > settings_.max_pause * 2) {
        pause_ = settings_.first_pause;
    }
    const relief_level wanted = wanted_level(*delay, now);
    if (wanted > level_ && time_at_level >= rise_time()) {
        set_level(next_higher(level_), now);
    } else if (wanted < level_ && time_at_level >= settings_.fall_time) {
        set_level(next_lower(level_), now);
    }
}

milliseconds overload_guard::rise_time() const
{
    switch (level_) {
    case relief_level::normal:
        return pause_;
    case relief_level::close_connections:
        return settings_.refuse_after;
    default:
        return settings_.not_ready_after;
    }
}

void overload_guard::set_level(relief_level level, milliseconds now)
{
    if (level_ == relief_level::not_ready) {
        not_ready_allowed_ = now + (now - *changed_) * settings_.ready_multiple;
    }
    if (level_ == relief_level::normal && level == relief_level::close_connections &&
        now >= *not_ready_allowed_) {
        // The load balancer assigns a caller's new connection to the same gateway again as long as
        // that one is ready.
        diverting_until_ = now + settings_.max_not_ready;
        not_ready_allowed_ = diverting_until_ + settings_.max_not_ready * settings_.ready_multiple;
    }
    level_ = level;
    changed_ = now;
}

bool overload_guard::is_ready(milliseconds now) const
{
    return level_ != relief_level::not_ready &&
           (level_ == relief_level::normal || now >= diverting_until_);
}

bool overload_guard::refuses() const
{
    return level_ >= relief_level::refuse_requests && room_ && !delays_.empty() &&
           delays_.back().delay > room_->delay + settings_.new_connection;
}

gateway_load overload_guard::own_load() const
{
    return {.delay = usual_delay().value_or(milliseconds{0}),
            .requests = requests_,
            .cpu_share = cpu_share_,
            .is_relieving = level_ != relief_level::normal};
}

json overload_guard::dump() const
{
    const auto delay = usual_delay();
    return {{"active", active_},
            {"level", to_string(level_)},
            {"withholding", withholding_},
            {"delay_ms", delay ? json(delay->count()) : json()},
            {"others_known", others_.size()},
            {"others_delay_ms", room_ ? json(room_->delay.count()) : json()}};
}

} // namespace dotterelport::gateway
