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

double in_ms(milliseconds duration)
{
    return static_cast<double>(duration.count());
}

} // namespace

std::string_view to_string(availability server_availability)
{
    return name_of(availability_names, server_availability);
}

double slowdown_estimate::expected_ms(double work_ms) const
{
    if (age >= period) {
        return work_ms * usual;
    }
    // The report is equally likely to arrive at any time of the period. If the figure has not
    // changed since, half of the remaining time of the period is left on average.
    const double unchanged = 1 - in_ms(age) / in_ms(period);
    const double remaining_ms = in_ms(period - age) / 2;
    const double work_in_period_ms = std::min(work_ms, remaining_ms / stated);
    const double if_unchanged = work_in_period_ms * stated + (work_ms - work_in_period_ms) * usual;
    return unchanged * if_unchanged + (1 - unchanged) * work_ms * usual;
}

load_report parse_load_report(const json& fields)
{
    const load_report defaults;
    return {.running = fields.value("running", defaults.running),
            .waiting = fields.value("waiting", defaults.waiting),
            .capacity = std::max(1.0, fields.value("capacity", defaults.capacity)),
            .tokens_per_second = fields.value("tokens_per_second", defaults.tokens_per_second)};
}

load_view::load_view(load_settings settings) : settings_(settings) {}

const load_view::server_state* load_view::find(const std::string& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

void load_view::record_report(const std::string& server, const load_report& report,
                              milliseconds now)
{
    server_state& state = servers_[server];
    state.report = report;
    state.reported_at = now;
    if (report.slowdown) {
        record_slowdown(state, *report.slowdown, now);
    }
    const milliseconds measured_at = now - settings_.report_lag;
    std::erase_if(state.ended_requests, [measured_at](const ended_request& item) {
        return item.ended_at <= measured_at;
    });
}

void load_view::record_slowdown(server_state& server, double slowdown, milliseconds now) const
{
    // A figure says nothing about the time before its period. Weighting by time keeps the average
    // independent of how many requests the server answers while it is fast.
    const milliseconds covered = server.slowdown
                                     ? std::min(now - server.slowdown_at, settings_.slowdown_period)
                                     : settings_.slowdown_period;
    const double weight = 1 - std::exp(-in_ms(covered) / in_ms(settings_.usual_slowdown_time));
    server.usual_slowdown += weight * (slowdown - server.usual_slowdown);
    server.slowdown = slowdown;
    server.slowdown_at = now;
}

std::optional<slowdown_estimate> load_view::slowdown(const server_state& server,
                                                     milliseconds age) const
{
    if (!server.slowdown) {
        return std::nullopt;
    }
    return slowdown_estimate{.stated = *server.slowdown,
                             .usual = server.usual_slowdown,
                             .age = age,
                             .period = settings_.slowdown_period};
}

double load_view::usual_ms(const server_state& server, milliseconds elapsed) const
{
    const double elapsed_ms = in_ms(elapsed);
    if (!server.slowdown) {
        return elapsed_ms;
    }
    // The figure at the end holds for half a period on average, and the usual one before.
    const double recent_ms = std::min(elapsed_ms, in_ms(settings_.slowdown_period) / 2);
    return recent_ms / *server.slowdown + (elapsed_ms - recent_ms) / server.usual_slowdown;
}

void load_view::sent(const std::string& server, std::uint64_t id, milliseconds now, double prefill,
                     tokens prompt)
{
    server_state& state = servers_[server];
    state.last_sent = now;
    state.in_flight[id] = {
        .sent_at = now, .answered_at = std::nullopt, .prefill = prefill, .prompt = prompt};
}

void load_view::produced(const std::string& server, std::uint64_t id, tokens output)
{
    const auto state = servers_.find(server);
    if (state == servers_.end()) {
        return;
    }
    const auto found = state->second.in_flight.find(id);
    if (found != state->second.in_flight.end()) {
        found->second.output = output;
    }
}

void load_view::answered(const std::string& server, std::uint64_t id, milliseconds now)
{
    server_state& state = servers_[server];
    const auto found = state.in_flight.find(id);
    if (found != state.in_flight.end() && !found->second.answered_at) {
        found->second.answered_at = now;
    }
    state.last_response = now;
    state.consecutive_failures = 0;
    state.ejected_until.reset();
}

std::optional<load_view::request_state> load_view::remove(server_state& server, std::uint64_t id,
                                                          milliseconds now)
{
    const auto found = server.in_flight.find(id);
    if (found == server.in_flight.end()) {
        return std::nullopt;
    }
    const request_state state = found->second;
    server.in_flight.erase(found);
    if (server.report) {
        server.ended_requests.push_back({.sent_at = state.sent_at, .ended_at = now});
    }
    return state;
}

void load_view::finished(const std::string& server, std::uint64_t id, double units,
                         milliseconds now)
{
    server_state& state = servers_[server];
    state.last_response = now;
    state.consecutive_failures = 0;
    state.ejected_until.reset();
    if (now - state.last_failure > settings_.ejection_memory) {
        state.ejections = 0;
    }
    const auto ended = remove(state, id, now);
    if (!ended || units <= 0) {
        return;
    }
    state.duration_ms =
        average(state.duration_ms, std::max(1.0, usual_ms(state, now - ended->sent_at)));
    // The time between tokens shows the server's speed without the time in its queue.
    const milliseconds begin =
        units > 1 ? ended->answered_at.value_or(ended->sent_at) : ended->sent_at;
    state.ms_per_unit =
        average(state.ms_per_unit, std::max(0.1, usual_ms(state, now - begin) / units));
}

void load_view::failed(const std::string& server, std::uint64_t id, milliseconds now)
{
    server_state& state = servers_[server];
    remove(state, id, now);
    state.last_failure = now;
    const bool was_probe = state.ejected_until && now >= *state.ejected_until;
    ++state.consecutive_failures;
    if (state.consecutive_failures < settings_.failures_until_ejected && !was_probe) {
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

void load_view::cancelled(const std::string& server, std::uint64_t id, milliseconds now)
{
    remove(servers_[server], id, now);
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
    result.ms_per_unit = state->ms_per_unit;
    result.duration_ms = state->duration_ms;
    result.last_sent = state->last_sent;
    result.slowdown = slowdown(*state, now - state->slowdown_at);
    for (const auto& [id, item] : state->in_flight) {
        result.held += item.prompt + item.output;
        if (!item.answered_at) {
            result.unresponsive =
                std::max(result.unresponsive, now - std::max(item.sent_at, state->last_response));
            result.pending_prefill_tokens += item.prefill;
        }
    }
    if (!state->report) {
        result.load = result.own;
        return result;
    }
    const milliseconds measured_at = state->reported_at - settings_.report_lag;
    const auto sent_since = std::count_if(
        state->in_flight.begin(), state->in_flight.end(),
        [measured_at](const auto& item) { return item.second.sent_at > measured_at; });
    const auto ended_since =
        std::count_if(state->ended_requests.begin(), state->ended_requests.end(),
                      [measured_at](const ended_request& item) {
                          return item.sent_at <= measured_at && item.ended_at > measured_at;
                      });
    const double reported = state->report->running + state->report->waiting;
    result.own_change = static_cast<double>(sent_since) - static_cast<double>(ended_since);
    result.load = std::max(result.own, reported + result.own_change);
    result.reported = reported;
    result.capacity = std::max(1.0, state->report->capacity);
    result.report_age = now - state->reported_at;
    const double age = in_ms(now - measured_at);
    result.trust = state->duration_ms > 0
                       ? std::exp(-age / (state->duration_ms * settings_.trust_decay_durations))
                       : 1.0;
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
    const bool silent = state->report && now - state->reported_at > settings_.stale_report_after;
    return silent ? availability::silent : availability::usable;
}

json load_view::dump(milliseconds now) const
{
    json result = json::object();
    for (const auto& [name, state] : servers_) {
        const load_estimate server_load = estimate(name, now);
        result[name] = {
            {"load", server_load.load},
            {"capacity", server_load.capacity},
            {"own", server_load.own},
            {"held_tokens", server_load.held},
            {"report_age_ms",
             server_load.report_age ? json(server_load.report_age->count()) : json()},
            {"ms_per_unit", server_load.ms_per_unit},
            {"slowdown", state.slowdown ? json(server_load.slowdown->expected_ms(1)) : json()},
            {"usual_slowdown", state.slowdown ? json(state.usual_slowdown) : json()},
            {"available", to_string(available(name, now))},
            {"ejections", state.ejections}};
    }
    return result;
}

} // namespace dotterelport::routing
