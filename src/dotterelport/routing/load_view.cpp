#include "dotterelport/routing/load_view.hpp"

#include <algorithm>
#include <cmath>

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::routing {
namespace {

constexpr enum_names<availability, 4> availability_names{{
    {availability::usable, "usable"},
    {availability::probing, "probing"},
    {availability::silent, "silent"},
    {availability::ejected, "ejected"},
}};

/// Weight of a new observation in the moving averages.
constexpr double observation_weight = 0.2;

double average(double old, double observed)
{
    return old == 0 ? observed : old + observation_weight * (observed - old);
}

double count(milliseconds duration)
{
    return static_cast<double>(duration.count());
}

} // namespace

std::string_view to_string(availability value)
{
    return name_of(availability_names, value);
}

load_report parse_load_report(const json& value)
{
    const load_report defaults;
    return {.running = value.value("running", defaults.running),
            .waiting = value.value("waiting", defaults.waiting),
            .capacity = std::max(1.0, value.value("capacity", defaults.capacity)),
            .tokens_per_second = value.value("tokens_per_second", defaults.tokens_per_second)};
}

load_view::load_view(load_settings settings) : settings_(settings) {}

const load_view::server_state* load_view::find(const std::string& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

void load_view::take_report(const std::string& server, const load_report& report, milliseconds now)
{
    server_state& state = servers_[server];
    state.report = report;
    state.reported = now;
    const milliseconds measured = now - settings_.report_lag;
    std::erase_if(state.endings, [measured](const ending& item) { return item.ended <= measured; });
}

void load_view::sent(const std::string& server, std::uint64_t request, milliseconds now,
                     double prefill)
{
    server_state& state = servers_[server];
    state.last_sent = now;
    state.in_flight[request] = {.sent = now, .answered = std::nullopt, .prefill = prefill};
}

void load_view::answered(const std::string& server, std::uint64_t request, milliseconds now)
{
    server_state& state = servers_[server];
    const auto found = state.in_flight.find(request);
    if (found != state.in_flight.end() && !found->second.answered) {
        found->second.answered = now;
    }
    state.last_sign = now;
    state.failures = 0;
    state.ejected_until.reset();
}

std::optional<load_view::request_state> load_view::remove(server_state& server,
                                                          std::uint64_t request, milliseconds now)
{
    const auto found = server.in_flight.find(request);
    if (found == server.in_flight.end()) {
        return std::nullopt;
    }
    const request_state state = found->second;
    server.in_flight.erase(found);
    if (server.report) {
        server.endings.push_back({.sent = state.sent, .ended = now});
    }
    return state;
}

void load_view::finished(const std::string& server, std::uint64_t request, double units,
                         milliseconds now)
{
    server_state& state = servers_[server];
    state.last_sign = now;
    state.failures = 0;
    state.ejected_until.reset();
    if (now - state.last_failure > settings_.ejection_memory) {
        state.ejections = 0;
    }
    const auto ended = remove(state, request, now);
    if (!ended || units <= 0) {
        return;
    }
    state.duration = average(state.duration, std::max(1.0, count(now - ended->sent)));
    // The time between tokens shows the server's speed without its queue.
    const milliseconds begin = units > 1 ? ended->answered.value_or(ended->sent) : ended->sent;
    state.pace = average(state.pace, std::max(0.1, count(now - begin) / units));
}

void load_view::failed(const std::string& server, std::uint64_t request, milliseconds now)
{
    server_state& state = servers_[server];
    remove(state, request, now);
    state.last_failure = now;
    const bool was_probe = state.ejected_until && now >= *state.ejected_until;
    ++state.failures;
    if (state.failures < settings_.failures_until_ejected && !was_probe) {
        return;
    }
    if (state.ejected_until && now < *state.ejected_until) {
        return;
    }
    constexpr int largest_exponent = 10;
    const int exponent = std::min(state.ejections, largest_exponent);
    state.ejected_until =
        now + std::min(settings_.first_ejection * (1 << exponent), settings_.longest_ejection);
    ++state.ejections;
}

void load_view::cancelled(const std::string& server, std::uint64_t request, milliseconds now)
{
    remove(servers_[server], request, now);
}

void load_view::forget(const std::string& server)
{
    servers_.erase(server);
}

load_estimate load_view::estimate(const std::string& server, milliseconds now) const
{
    load_estimate result;
    const server_state* state = find(server);
    if (state == nullptr) {
        return result;
    }
    result.own = static_cast<double>(state->in_flight.size());
    result.pace = state->pace;
    result.duration = state->duration;
    result.last_sent = state->last_sent;
    for (const auto& [request, item] : state->in_flight) {
        if (!item.answered) {
            result.unresponsive =
                std::max(result.unresponsive, now - std::max(item.sent, state->last_sign));
            result.prefill += item.prefill;
        }
    }
    if (!state->report) {
        result.load = result.own;
        return result;
    }
    const milliseconds measured = state->reported - settings_.report_lag;
    const auto sent_since =
        std::count_if(state->in_flight.begin(), state->in_flight.end(),
                      [measured](const auto& item) { return item.second.sent > measured; });
    const auto ended_since =
        std::count_if(state->endings.begin(), state->endings.end(), [measured](const ending& item) {
            return item.sent <= measured && item.ended > measured;
        });
    const double reported = state->report->running + state->report->waiting;
    result.own_change = static_cast<double>(sent_since) - static_cast<double>(ended_since);
    result.load = std::max(result.own, reported + result.own_change);
    result.reported = reported;
    result.capacity = std::max(1.0, state->report->capacity);
    result.report_age = now - state->reported;
    const double age = count(now - measured);
    result.trust =
        state->duration > 0 ? std::exp(-age / (state->duration * settings_.trust_durations)) : 1.0;
    return result;
}

std::vector<std::string> load_view::busy_servers() const
{
    std::vector<std::string> result;
    for (const auto& [server, state] : servers_) {
        if (!state.in_flight.empty()) {
            result.push_back(server);
        }
    }
    return result;
}

availability load_view::available(const std::string& server, milliseconds now) const
{
    const server_state* state = find(server);
    if (state == nullptr) {
        return availability::usable;
    }
    if (state->ejected_until) {
        if (now < *state->ejected_until || !state->in_flight.empty()) {
            return availability::ejected;
        }
        return now < *state->ejected_until + settings_.probe_patience ? availability::probing
                                                                      : availability::usable;
    }
    const bool silent = state->report && now - state->reported > settings_.silent_after;
    return silent ? availability::silent : availability::usable;
}

json load_view::dump(milliseconds now) const
{
    json result = json::object();
    for (const auto& [name, state] : servers_) {
        const load_estimate value = estimate(name, now);
        result[name] = {
            {"load", value.load},
            {"capacity", value.capacity},
            {"own", value.own},
            {"report_age_ms", value.report_age ? json(value.report_age->count()) : json()},
            {"ms_per_unit", value.pace},
            {"available", to_string(available(name, now))},
            {"ejections", state.ejections}};
    }
    return result;
}

} // namespace dotterelport::routing
