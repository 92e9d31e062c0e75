#include "dotterelport/routing/balancer.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace dotterelport::routing {
namespace {

/// Load relative to a server's capacity up to which it is sent requests, by class. With a limit
/// above 1, a short queue at the server keeps it busy between two reports.
constexpr std::array<double, priority_count> load_limit{1.5, 1.1, 0.85};

/// Exponent of the trust in a report for deciding whether a server is full. Whether a server is
/// full changes more slowly than which server is the least loaded, so the report is trusted for ten
/// times the trust_decay_durations.
constexpr double full_check_trust_exponent = 0.1;

} // namespace

balancer::balancer() : balancer(settings{}) {}

balancer::balancer(const settings& values)
    : policy_(values.policy), loads_(values.load), random_(values.seed)
{}

void balancer::update_status(const std::string& server, const json& status, milliseconds now)
{
    if (const auto load = status.find("load"); load != status.end() && load->is_object()) {
        loads_.record_report(server, parse_load_report(*load), now);
    }
    const auto cache = status.find("cache");
    if (cache == status.end() || !cache->is_object()) {
        return;
    }
    const auto sequence = cache->value("sequence", std::uint64_t{0});
    if (sequence != prefixes_.sequence(server) || prefixes_.needs_resync(server)) {
        const auto hash_texts = cache->value("prefixes", std::vector<std::string>{});
        prefixes_.replace(server, sequence, parse_prefix_hashes(hash_texts));
    }
}

void balancer::record_report(const std::string& server, const load_report& report, milliseconds now)
{
    loads_.record_report(server, report, now);
}

void balancer::forget(const std::string& server)
{
    loads_.forget(server);
    prefixes_.forget(server);
}

std::optional<std::string> balancer::choose(const choice_request& request,
                                            std::span<const std::string> servers, milliseconds now)
{
    const choice_context context{loads_, prefixes_, servers, request, now};
    const auto chosen = routing::choose(policy_, context, random_);
    return chosen ? std::optional(servers[*chosen]) : std::nullopt;
}

void balancer::sent(const std::string& server, std::uint64_t id, const choice_request& request,
                    milliseconds now)
{
    const std::size_t blocks = request.prefix.size();
    const double cached =
        blocks == 0 ? 0.0
                    : static_cast<double>(prefixes_.matched(server, request.prefix, now)) /
                          static_cast<double>(blocks);
    loads_.sent(server, id, now, static_cast<double>(request.prompt_tokens) * (1 - cached));
    prefixes_.expect(server, request.prefix, now);
}

void balancer::answered(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.answered(server, id, now);
}

void balancer::finished(const std::string& server, std::uint64_t id, double units, milliseconds now)
{
    loads_.finished(server, id, units, now);
}

void balancer::failed(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.failed(server, id, now);
}

void balancer::cancelled(const std::string& server, std::uint64_t id, milliseconds now)
{
    loads_.cancelled(server, id, now);
}

bool balancer::has_capacity(std::span<const std::string> servers, priority request_priority,
                            milliseconds now) const
{
    std::vector<load_estimate> estimates;
    double reported = 0;
    double own = 0;
    for (const auto& server : servers) {
        if (loads_.available(server, now) == availability::usable) {
            estimates.push_back(loads_.estimate(server, now));
            reported += estimates.back().reported;
            own += estimates.back().own;
        }
    }
    // Other routers see the same report and fill the same free capacity, so this router's change is
    // multiplied by the number of routers, estimated from its own share of the load.
    const double router_count = own > 0 ? std::max(1.0, reported / own) : 1.0;
    const double limit = load_limit[static_cast<std::size_t>(request_priority)];
    return std::any_of(estimates.begin(), estimates.end(), [&](const load_estimate& estimate) {
        const double reported_load = estimate.reported + router_count * estimate.own_change;
        const double expected_load =
            estimate.own + std::pow(estimate.trust, full_check_trust_exponent) *
                               std::max(0.0, reported_load - estimate.own);
        return expected_load < estimate.capacity * limit;
    });
}

json balancer::dump(milliseconds now) const
{
    return {{"policy", to_string(policy_)},
            {"servers", loads_.dump(now)},
            {"prefix_blocks", prefixes_.size()}};
}

} // namespace dotterelport::routing
