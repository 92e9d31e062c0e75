#include "dotterelport/routing/placement.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::routing {
namespace {

/// Weight of one request in the moving share of failures.
constexpr double result_weight = 0.2;

/// A server whose pace is above this multiple of the usual one is slow; smaller differences come
/// from the requests themselves.
constexpr double slow_ratio = 1.6;

/// Share of the cache that running requests and their answers leave to prompts.
constexpr double cache_share = 0.6;

tokens total_tokens(std::span<const prompt_part> parts)
{
    return std::accumulate(parts.begin(), parts.end(), tokens{0},
                           [](tokens sum, const prompt_part& part) { return sum + part.size; });
}

/// @brief Server that all routers prefer for a chain of parts, by rendezvous hashing. Long prompts
/// have no home among the quiet engines and short ones none among the others, if there are both.
/// @return null if there are no parts
const std::string* home_of(std::span<const prompt_part> parts,
                           std::span<const placement_candidate> candidates,
                           const std::vector<bool>& quiet, bool is_long)
{
    if (parts.empty() || quiet.empty()) {
        return nullptr;
    }
    const bool has_both = std::find(quiet.begin(), quiet.end(), true) != quiet.end() &&
                          std::find(quiet.begin(), quiet.end(), false) != quiet.end();
    const std::uint64_t name = chain_name(parts);
    const std::string* home = nullptr;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (has_both && quiet[i] == is_long) {
            continue;
        }
        const std::uint64_t weight = hash64(candidates[i].server, name);
        if (home == nullptr || weight > highest) {
            home = &candidates[i].server;
            highest = weight;
        }
    }
    return home;
}

/// @brief Marks a share of each failure domain's servers, the same ones in all routers.
std::vector<bool> quiet_servers(std::span<const placement_candidate> candidates, double share)
{
    std::vector<std::uint64_t> ranks;
    ranks.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        ranks.push_back(hash64(candidate.server));
    }
    std::vector<bool> quiet(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        std::size_t of_domain = 0;
        std::size_t before = 0;
        for (std::size_t other = 0; other < candidates.size(); ++other) {
            if (candidates[other].failure_domain == candidates[i].failure_domain) {
                ++of_domain;
                before += ranks[other] < ranks[i] ? 1 : 0;
            }
        }
        quiet[i] = static_cast<double>(before) < std::round(static_cast<double>(of_domain) * share);
    }
    return quiet;
}

double count(milliseconds duration)
{
    return static_cast<double>(duration.count());
}

} // namespace

load_settings placement_settings::default_load()
{
    load_settings result;
    // Load comes with answers, so it is as new as they are, and idle servers tell none.
    result.report_lag = milliseconds{0};
    result.silent_after = milliseconds::max() / 2;
    result.first_ejection = milliseconds{700};
    result.longest_ejection = milliseconds{3'000};
    result.probe_patience = milliseconds{500};
    result.ejection_memory = milliseconds{10'000};
    return result;
}

placement::placement(const placement_settings& settings)
    : settings_(settings), loads_(settings.load)
{}

double placement::failure_share(const std::string& server, milliseconds now) const
{
    const auto found = failures_.find(server);
    if (found == failures_.end()) {
        return 0;
    }
    const double half_lives =
        count(now - found->second.updated) / count(settings_.failure_half_life);
    return found->second.share * std::exp2(-half_lives);
}

void placement::note_result(const std::string& server, bool failed, milliseconds now)
{
    const double share = failure_share(server, now);
    failures_[server] = {.share = share + result_weight * ((failed ? 1.0 : 0.0) - share),
                         .updated = now};
}

double placement::usual_pace(std::span<const placement_candidate> candidates,
                             milliseconds now) const
{
    std::vector<double> paces;
    for (const auto& candidate : candidates) {
        const double pace = loads_.estimate(candidate.server, now).pace;
        if (pace > 0) {
            paces.push_back(pace);
        }
    }
    if (paces.empty()) {
        return 0;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

double placement::separation_cost(bool is_quiet, tokens prompt) const
{
    if (prompt > settings_.long_prompt) {
        return is_quiet ? settings_.long_on_quiet_ms : 0.0;
    }
    return is_quiet ? 0.0 : settings_.short_on_busy_ms;
}

double placement::held_up_cost(const placement_request& request, double missing, double unread,
                               double running) const
{
    const double limit =
        count(request.pause_limit) * settings_.pause_margin * settings_.prefill_tokens_per_ms;
    if (limit <= 0 || unread <= limit) {
        return 0;
    }
    // Prompts that other requests brought hold the streams up without this one, too.
    return settings_.held_up_ms * running * missing / unread;
}

double placement::cost(const placement_request& request, const placement_candidate& candidate,
                       double missing, double usual_pace, milliseconds now) const
{
    const load_estimate load = loads_.estimate(candidate.server, now);
    // Requests of other routers, which end while the report ages.
    const double age = load.report_age ? count(*load.report_age) : 0.0;
    const double others = std::max(0.0, load.reported + load.own_change - load.own) *
                          std::exp(-age / count(settings_.report_life));
    const server_share told = peer_share(candidate.server, now);
    const double running = load.own + std::max(others, told.running);
    double result = 0;
    if (request.prompt_tokens > 0) {
        const double unread = load.prefill + told.unread + missing;
        result = unread / settings_.prefill_tokens_per_ms + running * settings_.ms_per_running +
                 held_up_cost(request, missing, unread, running);
    } else {
        const double places = static_cast<double>(std::max<std::size_t>(1, candidate.capacity));
        const double duration = std::max(1.0, load.duration);
        result = settings_.queue_weight * duration * running / places +
                 duration * std::max(0.0, running + 1 - places);
    }
    if (usual_pace > 0 && load.pace > usual_pace * slow_ratio) {
        result += load.duration * (1.0 - usual_pace / load.pace);
        result *= load.pace / usual_pace;
    }
    result = std::max(result, count(load.unresponsive));
    result += settings_.failure_ms * failure_share(candidate.server, now);
    if (candidate.failure_domain != request.failure_domain) {
        result += settings_.other_domain_ms;
    }
    return result;
}

std::optional<placement_choice> placement::choose(const placement_request& request,
                                                  std::span<const placement_candidate> candidates,
                                                  milliseconds now) const
{
    const double pace = usual_pace(candidates, now);
    // The last part belongs to the request itself or to its session.
    const auto shared = request.parts.first(request.parts.empty() ? 0 : request.parts.size() - 1);
    const tokens shared_tokens = total_tokens(shared);
    const auto quiet = request.prompt_tokens > 0 ? quiet_servers(candidates, settings_.quiet_share)
                                                 : std::vector<bool>();
    const std::string* home =
        home_of(shared, candidates, quiet, request.prompt_tokens > settings_.long_prompt);
    std::optional<placement_choice> best;
    bool best_is_usable = false;
    std::optional<milliseconds> best_last_sent;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        const auto& excluded = request.excluded;
        if (std::find(excluded.begin(), excluded.end(), candidate.server) != excluded.end()) {
            continue;
        }
        const tokens cached = caches_.cached(candidate.server, request.parts);
        double missing = static_cast<double>(std::max<tokens>(0, request.prompt_tokens - cached));
        double shared_missing = static_cast<double>(std::max<tokens>(0, shared_tokens - cached));
        if (home == &candidate.server) {
            missing -= settings_.home_trust * shared_missing;
            shared_missing *= 1 - settings_.home_trust;
        }
        double expected = cost(request, candidate, missing, pace, now);
        expected +=
            (settings_.shared_weight - 1) * shared_missing / settings_.prefill_tokens_per_ms;
        if (!quiet.empty()) {
            expected += separation_cost(quiet[i], request.prompt_tokens);
        }
        const bool usable = loads_.available(candidate.server, now) != availability::ejected;
        const auto last_sent = loads_.estimate(candidate.server, now).last_sent;
        // Among equals, the least recently used, so that idle servers take turns.
        const bool better =
            !best || std::pair(!usable, expected) < std::pair(!best_is_usable, best->cost_ms) ||
            (usable == best_is_usable && expected == best->cost_ms && last_sent < best_last_sent);
        if (better) {
            best = {.server = candidate.server, .cost_ms = expected, .cached_tokens = cached};
            best_is_usable = usable;
            best_last_sent = last_sent;
        }
    }
    return best;
}

void placement::sent(const std::string& server, std::uint64_t id, const placement_request& request,
                     tokens cache_capacity, milliseconds now)
{
    const tokens cached = caches_.cached(server, request.parts);
    loads_.sent(server, id, now,
                static_cast<double>(std::max<tokens>(0, request.prompt_tokens - cached)));
    if (!request.parts.empty()) {
        caches_.record(server, request.parts,
                       static_cast<tokens>(static_cast<double>(cache_capacity) * cache_share));
    }
}

void placement::answered(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.answered(server, id, now);
}

void placement::finished(const std::string& server, std::uint64_t id, double units,
                         milliseconds now)
{
    loads_.finished(server, id, units, now);
    note_result(server, false, now);
}

void placement::failed(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.failed(server, id, now);
    note_result(server, true, now);
}

void placement::unreachable(const std::string& server, std::uint64_t id, milliseconds now)
{
    for (int i = 0; i < settings_.load.failures_until_ejected; ++i) {
        loads_.failed(server, id, now);
    }
    note_result(server, true, now);
}

void placement::cancelled(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.cancelled(server, id, now);
}

void placement::take_report(const std::string& server, const load_report& report, milliseconds now)
{
    loads_.take_report(server, report, now);
}

std::vector<server_share> placement::own_shares(milliseconds now) const
{
    std::vector<server_share> result;
    for (const auto& server : loads_.busy_servers()) {
        const load_estimate load = loads_.estimate(server, now);
        result.push_back({.server = server, .unread = load.prefill, .running = load.own});
    }
    return result;
}

void placement::take_peer_shares(const std::string& peer, const std::vector<server_share>& shares,
                                 milliseconds now)
{
    peer_shares& known = peers_[peer];
    known.received = now;
    known.shares.clear();
    for (const auto& share : shares) {
        known.shares.emplace(share.server, share);
    }
}

void placement::take_peer_prompt(const std::string& server, std::span<const prompt_part> parts,
                                 tokens cache_capacity)
{
    caches_.record(server, parts,
                   static_cast<tokens>(static_cast<double>(cache_capacity) * cache_share));
}

server_share placement::peer_share(const std::string& server, milliseconds now) const
{
    server_share result{.server = server};
    for (const auto& [peer, known] : peers_) {
        const auto found = known.shares.find(server);
        if (found != known.shares.end() && now - known.received <= settings_.peer_life) {
            result.unread += found->second.unread;
            result.running += found->second.running;
        }
    }
    return result;
}

void placement::forget(const std::string& server)
{
    loads_.forget(server);
    caches_.forget(server);
    const auto found = failures_.find(server);
    if (found != failures_.end()) {
        failures_.erase(found);
    }
}

json placement::dump(milliseconds now) const
{
    json result = loads_.dump(now);
    for (auto& [server, state] : result.items()) {
        state["failure_share"] = failure_share(server, now);
    }
    return result;
}

} // namespace dotterelport::routing
