#include "dotterelport/routing/placement.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::routing {
namespace {

/// Weight of one request in the moving average of failures.
constexpr double result_weight = 0.2;

/// A server counts as slow if its time per unit exceeds the median by this factor; smaller
/// differences come from the requests themselves.
constexpr double slow_ratio = 1.6;

/// Share of a server's cache that is assumed to hold prompts; running requests and their answers
/// use the remainder.
constexpr double prompt_cache_share = 0.6;

/// Maximum number of chains of shared parts whose load is recorded.
constexpr std::size_t max_chains = 4'096;

tokens total_tokens(std::span<const prompt_part> parts)
{
    return std::accumulate(parts.begin(), parts.end(), tokens{0},
                           [](tokens sum, const prompt_part& part) { return sum + part.size; });
}

/// @brief Servers that all routers prefer for a chain of parts, best first, chosen by rendezvous
/// hashing. If there are both reserved and other engines, long prompts prefer the others and short
/// prompts the reserved ones.
/// @return indices; none if there are no parts or if no engines are marked
std::vector<std::size_t> preferred_servers(std::span<const prompt_part> parts,
                                           std::span<const placement_candidate> candidates,
                                           const std::vector<bool>& reserved, bool is_long,
                                           std::size_t count)
{
    if (parts.empty() || reserved.empty()) {
        return {};
    }
    const bool has_both = std::find(reserved.begin(), reserved.end(), true) != reserved.end() &&
                          std::find(reserved.begin(), reserved.end(), false) != reserved.end();
    const std::uint64_t chain = chain_hash(parts);
    struct ranked_candidate {
        std::uint64_t weight = 0;
        std::size_t index = 0;
    };
    std::vector<ranked_candidate> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!has_both || reserved[i] != is_long) {
            ranked.push_back({.weight = hash64(candidates[i].server, chain), .index = i});
        }
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), [](const auto& left, const auto& right) {
                          return left.weight > right.weight ||
                                 (left.weight == right.weight && left.index < right.index);
                      });
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(ranked[i].index);
    }
    return result;
}

/// @brief Marks a share of each failure domain's servers as reserved. Ranks them by the hash of
/// their names, so that all routers mark the same ones.
std::vector<bool> reserved_servers(std::span<const placement_candidate> candidates, double share)
{
    struct ranked_candidate {
        std::string_view domain;
        std::uint64_t rank = 0;
        std::size_t index = 0;

        auto operator<=>(const ranked_candidate&) const = default;
    };
    std::vector<ranked_candidate> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        ranked.push_back({.domain = candidates[i].failure_domain,
                          .rank = hash64(candidates[i].server),
                          .index = i});
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<bool> reserved(candidates.size());
    for (auto first = ranked.begin(); first != ranked.end();) {
        const auto last = std::find_if(first, ranked.end(), [&](const ranked_candidate& item) {
            return item.domain != first->domain;
        });
        const auto count = std::lround(static_cast<double>(last - first) * share);
        for (auto item = first; item != last && item - first < count; ++item) {
            reserved[item->index] = true;
        }
        first = last;
    }
    return reserved;
}

/// @brief Maps a hash to a number from 0 to 1.
double unit_interval(std::uint64_t hash)
{
    constexpr double range = 0x1p-64;
    return static_cast<double>(hash) * range;
}

double in_ms(milliseconds duration)
{
    return static_cast<double>(duration.count());
}

/// @brief Compares candidates by whether they are ejected, then by how far their memory is used
/// beyond the safe share, then by cost.
bool is_better(const placement_assessment& left, const placement_assessment& right)
{
    const auto rank = [](const placement_assessment& item) {
        return std::pair(item.is_ejected, item.is_memory_safe ? 0.0 : item.memory_share);
    };
    const auto left_key = std::pair(rank(left), left.compared_ms);
    const auto right_key = std::pair(rank(right), right.compared_ms);
    // Ties go to the least recently used server, so that requests rotate over idle servers.
    return left_key < right_key || (left_key == right_key && left.last_sent < right.last_sent);
}

} // namespace

load_settings placement_settings::default_load()
{
    load_settings result;
    // Load reports arrive with answers, so they have no lag, and idle servers send none.
    result.report_lag = milliseconds{0};
    result.stale_report_after = milliseconds::max() / 2;
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
        in_ms(now - found->second.updated) / in_ms(settings_.failure_half_life);
    return found->second.share * std::exp2(-half_lives);
}

void placement::record_result(const std::string& server, bool failed, milliseconds now)
{
    const double share = failure_share(server, now);
    failures_[server] = {.share = share + result_weight * ((failed ? 1.0 : 0.0) - share),
                         .updated = now};
}

double placement::median_ms_per_unit(std::span<const load_estimate> loads)
{
    std::vector<double> values;
    for (const auto& load : loads) {
        if (load.ms_per_unit > 0) {
            values.push_back(load.ms_per_unit);
        }
    }
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double placement::memory_share(const placement_request& request,
                               const placement_candidate& candidate, const load_estimate& load,
                               tokens output) const
{
    if (candidate.memory <= 0 || request.prompt_tokens <= 0 || !load.slowdown) {
        return 0;
    }
    const double held = static_cast<double>(load.held + request.prompt_tokens + output) +
                        peer_load_share(candidate.server).held_tokens;
    return held / static_cast<double>(candidate.memory);
}

bool placement::is_safe(const placement_request& request, const placement_candidate& candidate,
                        double used_memory, double order) const
{
    if (used_memory <= 0) {
        return true;
    }
    // Requests of this size that still fit after this one. If fewer fit than other routers may send
    // before they see this one, only the routers that are first in the order of this server use it.
    const double fitting = (settings_.safe_memory_share - used_memory) *
                           static_cast<double>(candidate.memory) /
                           static_cast<double>(request.max_tokens());
    return fitting >= 0 && fitting >= order * settings_.unseen_sends * active_peers_;
}

double placement::uncertainty(const placement_request& request,
                              const placement_candidate& candidate, const load_estimate& load) const
{
    if (!load.slowdown || peers_.empty()) {
        return 0;
    }
    const double request_ms =
        request.prompt_tokens > 0
            ? static_cast<double>(request.prompt_tokens) / settings_.prefill_tokens_per_ms
            : load.duration_ms / static_cast<double>(std::max<std::size_t>(1, candidate.capacity));
    return settings_.unseen_requests * load.slowdown->expected_ms(request_ms);
}

double placement::separation_cost(const placement_candidate& candidate, bool is_reserved,
                                  tokens prompt) const
{
    if (candidate.rate_limited) {
        return prompt > settings_.long_prompt_tokens ? 0.0 : settings_.short_on_limited_ms;
    }
    if (prompt > settings_.long_prompt_tokens) {
        return is_reserved ? settings_.long_on_reserved_ms : 0.0;
    }
    return is_reserved ? 0.0 : settings_.short_on_unreserved_ms;
}

double placement::stream_delay_cost(const placement_request& request, double uncached,
                                    double prefill_tokens, double running) const
{
    const double limit_tokens =
        in_ms(request.pause_limit) * settings_.pause_margin * settings_.prefill_tokens_per_ms;
    if (limit_tokens <= 0 || prefill_tokens <= limit_tokens) {
        return 0;
    }
    // Only this request's share counts: the pending prompts of other requests delay the streams
    // regardless of it.
    return settings_.stream_delay_ms * running * uncached / prefill_tokens;
}

double placement::cost(const placement_request& request, const placement_candidate& candidate,
                       const load_estimate& load, double uncached, double median_ms_per_unit,
                       milliseconds now, placement_terms& terms) const
{
    // Requests of other routers. Their number decays with the age of the report, because they end
    // in the meantime.
    const double age_ms = load.report_age ? in_ms(*load.report_age) : 0.0;
    const double others_running = std::max(0.0, load.reported + load.own_change - load.own) *
                                  std::exp(-age_ms / in_ms(settings_.report_decay_time));
    const load_share peer_load = peer_load_share(candidate.server);
    const double running = load.own + std::max(others_running, peer_load.running);
    double result = 0;
    if (request.prompt_tokens > 0) {
        const double prefill_tokens =
            load.pending_prefill_tokens + peer_load.pending_prefill_tokens + uncached;
        terms.prefill = prefill_tokens / settings_.prefill_tokens_per_ms;
        terms.running = running * settings_.ms_per_running;
        terms.stream_delay = stream_delay_cost(request, uncached, prefill_tokens, running);
        result = terms.prefill + terms.running + terms.stream_delay;
    } else {
        const double slots = static_cast<double>(std::max<std::size_t>(1, candidate.capacity));
        const double duration_ms = std::max(1.0, load.duration_ms);
        terms.queue = settings_.queue_weight * duration_ms * running / slots +
                      duration_ms * std::max(0.0, running + 1 - slots);
        result = terms.queue;
    }
    const double usual = result;
    if (median_ms_per_unit > 0 && load.ms_per_unit > median_ms_per_unit * slow_ratio) {
        result += load.duration_ms * (1.0 - median_ms_per_unit / load.ms_per_unit);
        result *= load.ms_per_unit / median_ms_per_unit;
    }
    terms.slow_server = result - usual;
    const double unstated = result;
    if (load.slowdown) {
        // A call's own work takes longer too, so slow servers differ even if they are idle.
        const double own_ms = request.prompt_tokens == 0 ? load.duration_ms : 0.0;
        result = std::max(0.0, load.slowdown->expected_ms(result + own_ms) - own_ms);
    }
    terms.slowdown = result - unstated;
    const double responsive = result;
    result = std::max(result, in_ms(load.unresponsive));
    terms.unresponsive = result - responsive;
    terms.failures = settings_.failure_ms * failure_share(candidate.server, now);
    result += terms.failures;
    if (candidate.failure_domain != request.failure_domain) {
        terms.other_domain = settings_.other_domain_ms;
        result += terms.other_domain;
    }
    return result;
}

struct placement::choice_basis {
    double median_ms_per_unit = 0;
    tokens shared_tokens = 0;
    /// Marks of the candidates; empty for requests without a prompt.
    std::vector<bool> reserved;
    /// Candidates that all routers prefer for the shared parts, best first.
    std::vector<std::size_t> preferred;
    std::vector<bool> is_preferred;
    std::uint64_t router_hash = 0;
};

placement_assessment placement::assess(const placement_request& request,
                                       const placement_candidate& candidate,
                                       const load_estimate& load, std::size_t index,
                                       const choice_basis& basis, milliseconds now) const
{
    placement_assessment result;
    result.candidate = &candidate;
    const auto& excluded = request.excluded;
    result.is_excluded =
        std::find(excluded.begin(), excluded.end(), candidate.server) != excluded.end();
    result.is_out_of_memory = memory_share(request, candidate, load, 0) > 1;
    result.cached_tokens = caches_.cached(candidate.server, request.parts);
    const tokens cached = result.cached_tokens;
    double uncached = static_cast<double>(std::max<tokens>(0, request.prompt_tokens - cached));
    double shared_uncached = static_cast<double>(std::max<tokens>(0, basis.shared_tokens - cached));
    // Further engines take part in a chain's load only if they state their slowdown.
    const auto& preferred = basis.preferred;
    const bool is_hot = preferred.size() > 1 && basis.is_preferred[index] && load.slowdown;
    if (is_hot || (!preferred.empty() && preferred.front() == index)) {
        uncached -= settings_.preferred_cache_probability * shared_uncached;
        shared_uncached *= 1 - settings_.preferred_cache_probability;
    }
    result.expected_start_ms =
        cost(request, candidate, load, uncached, basis.median_ms_per_unit, now, result.terms);
    // A chain in frequent use earns its place in the caches of the engines that its load needs.
    const double shared_weight = is_hot ? 1 : settings_.shared_weight;
    result.shared_parts_ms =
        (shared_weight - 1) * shared_uncached / settings_.prefill_tokens_per_ms;
    if (!basis.reserved.empty()) {
        result.separation_ms =
            separation_cost(candidate, basis.reserved[index], request.prompt_tokens);
    }
    result.cost_ms = result.expected_start_ms + result.shared_parts_ms + result.separation_ms;
    const double order =
        load.slowdown ? unit_interval(hash64(candidate.server, basis.router_hash)) : 0.0;
    result.memory_share = memory_share(request, candidate, load, request.max_output_tokens);
    result.is_memory_safe = is_safe(request, candidate, result.memory_share, order);
    result.is_ejected = loads_.available(candidate.server, now) == availability::ejected;
    // Routers with the same view order the servers whose expected times hardly differ each in
    // its own way. The shift is 0 for servers that state no slowdown.
    const double uncertain_ms = uncertainty(request, candidate, load);
    result.compared_ms = uncertain_ms > 0 ? result.cost_ms + uncertain_ms * order : result.cost_ms;
    result.last_sent = load.last_sent;
    return result;
}

std::optional<placement_choice>
placement::choose(const placement_request& request, std::span<const placement_candidate> candidates,
                  milliseconds now, std::vector<placement_assessment>* assessments) const
{
    std::vector<load_estimate> loads;
    loads.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        loads.push_back(loads_.estimate(candidate.server, now));
    }
    choice_basis basis;
    basis.median_ms_per_unit = median_ms_per_unit(loads);
    basis.router_hash = hash64(settings_.router);
    add_up_peer_loads(now);
    // The last part is specific to the request or its session.
    const auto shared = request.parts.first(request.parts.empty() ? 0 : request.parts.size() - 1);
    basis.shared_tokens = total_tokens(shared);
    if (request.prompt_tokens > 0) {
        basis.reserved = reserved_servers(candidates, settings_.reserved_share);
    }
    basis.preferred = preferred_servers(shared, candidates, basis.reserved,
                                        request.prompt_tokens > settings_.long_prompt_tokens,
                                        engines_for(shared, now));
    basis.is_preferred.resize(candidates.size());
    for (const std::size_t index : basis.preferred) {
        basis.is_preferred[index] = true;
    }
    std::optional<placement_assessment> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto assessed = assess(request, candidates[i], loads[i], i, basis, now);
        if (assessments != nullptr) {
            assessments->push_back(assessed);
        }
        if (assessed.is_usable() && (!best || is_better(assessed, *best))) {
            best = assessed;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return placement_choice{.server = best->candidate->server,
                            .cost_ms = best->cost_ms,
                            .expected_start_ms = best->expected_start_ms,
                            .cached_tokens = best->cached_tokens};
}

void placement::sent(const std::string& server, std::uint64_t id, const placement_request& request,
                     tokens cache_capacity, milliseconds now)
{
    const tokens cached = caches_.cached(server, request.parts);
    loads_.sent(server, id, now,
                static_cast<double>(std::max<tokens>(0, request.prompt_tokens - cached)),
                request.prompt_tokens);
    if (!request.parts.empty()) {
        record_chain(request.parts, request.parts.back().size, now);
        caches_.record(
            server, request.parts,
            static_cast<tokens>(static_cast<double>(cache_capacity) * prompt_cache_share));
    }
}

void placement::answered(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.answered(server, id, now);
}

void placement::produced(const std::string& server, std::uint64_t id, tokens output)
{
    loads_.produced(server, id, output);
}

void placement::finished(const std::string& server, std::uint64_t id, double units,
                         milliseconds now)
{
    loads_.finished(server, id, units, now);
    record_result(server, false, now);
}

void placement::failed(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.failed(server, id, now);
    record_result(server, true, now);
}

void placement::unreachable(const std::string& server, std::uint64_t id, milliseconds now)
{
    for (int i = 0; i < settings_.load.failures_until_ejected; ++i) {
        loads_.failed(server, id, now);
    }
    record_result(server, true, now);
}

void placement::cancelled(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.cancelled(server, id, now);
}

void placement::record_report(const std::string& server, const load_report& report,
                              milliseconds now)
{
    loads_.record_report(server, report, now);
}

std::vector<load_share> placement::own_load_shares(milliseconds now) const
{
    std::vector<load_share> result;
    for (const auto& server : loads_.busy_servers()) {
        const load_estimate load = loads_.estimate(server, now);
        result.push_back({.server = server,
                          .pending_prefill_tokens = load.pending_prefill_tokens,
                          .running = load.own,
                          .held_tokens = static_cast<double>(load.held)});
    }
    return result;
}

void placement::record_peer_load_shares(const std::string& peer,
                                        const std::vector<load_share>& shares, milliseconds now)
{
    peer_load_shares& latest = peers_[peer];
    latest.received = now;
    latest.shares = shares;
}

void placement::record_peer_prompt(const std::string& server, std::span<const prompt_part> parts,
                                   tokens cache_capacity, milliseconds now)
{
    if (!parts.empty()) {
        record_chain(parts, parts.back().size, now);
    }
    caches_.record(server, parts,
                   static_cast<tokens>(static_cast<double>(cache_capacity) * prompt_cache_share));
}

double placement::decayed_prefill_ms(const chain_load& load, milliseconds now) const
{
    return load.prefill_ms *
           std::exp(-in_ms(now - load.updated) / in_ms(settings_.chain_load_time));
}

void placement::record_chain(std::span<const prompt_part> parts, tokens own_tokens,
                             milliseconds now)
{
    if (parts.size() < 2) {
        return;
    }
    if (chains_.size() >= max_chains) {
        // Chains of which nothing was heard lately make room; if all are in use, they are counted
        // anew.
        std::erase_if(chains_, [&](const auto& item) {
            return now - item.second.updated > settings_.chain_load_time;
        });
        if (chains_.size() >= max_chains / 2) {
            chains_.clear();
        }
    }
    chain_load& load = chains_[chain_hash(parts.first(parts.size() - 1))];
    load.prefill_ms = decayed_prefill_ms(load, now) +
                      static_cast<double>(own_tokens) / settings_.prefill_tokens_per_ms;
    load.updated = now;
}

std::size_t placement::engines_for(std::span<const prompt_part> shared, milliseconds now) const
{
    const auto found = shared.empty() ? chains_.end() : chains_.find(chain_hash(shared));
    if (found == chains_.end()) {
        return 1;
    }
    const double utilisation =
        decayed_prefill_ms(found->second, now) / in_ms(settings_.chain_load_time);
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(utilisation / settings_.chain_utilisation)));
}

void placement::add_up_peer_loads(milliseconds now) const
{
    peer_loads_.clear();
    active_peers_ = 0;
    for (const auto& [peer, latest] : peers_) {
        const milliseconds age = now - latest.received;
        if (age > settings_.peer_memory_timeout) {
            continue;
        }
        active_peers_ += 1;
        for (const auto& share : latest.shares) {
            load_share& sum = peer_loads_[share.server];
            sum.held_tokens += share.held_tokens;
            if (age > settings_.peer_load_timeout) {
                continue;
            }
            sum.pending_prefill_tokens += share.pending_prefill_tokens;
            sum.running += share.running;
        }
    }
}

load_share placement::peer_load_share(const std::string& server) const
{
    const auto found = peer_loads_.find(server);
    return found == peer_loads_.end() ? load_share{} : found->second;
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
    add_up_peer_loads(now);
    json result = loads_.dump(now);
    for (auto& [server, state] : result.items()) {
        state["failure_share"] = failure_share(server, now);
        state["held_by_others_tokens"] = peer_load_share(server).held_tokens;
    }
    return result;
}

} // namespace dotterelport::routing
