#include "dotterelport/routing/balancer.hpp"

#include <algorithm>

namespace dotterelport::routing {

balancer::balancer() : balancer(settings{}) {}

balancer::balancer(const settings& values)
    : policy_(values.policy), loads_(values.load), random_(values.seed)
{}

void balancer::take_status(const std::string& server, const json& status, milliseconds now)
{
    if (const auto load = status.find("load"); load != status.end() && load->is_object()) {
        loads_.take_report(server, parse_load_report(*load), now);
    }
    const auto cache = status.find("cache");
    if (cache == status.end() || !cache->is_object()) {
        return;
    }
    const auto sequence = cache->value("sequence", std::uint64_t{0});
    if (sequence != prefixes_.sequence(server) || prefixes_.needs_resync(server)) {
        const auto texts = cache->value("prefixes", std::vector<std::string>{});
        prefixes_.replace(server, sequence, parse_prefix_hashes(texts));
    }
}

void balancer::take_report(const std::string& server, const load_report& report, milliseconds now)
{
    loads_.take_report(server, report, now);
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
    loads_.sent(server, id, now);
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

bool balancer::has_room(std::span<const std::string> servers, milliseconds now) const
{
    return std::any_of(servers.begin(), servers.end(), [&](const std::string& server) {
        const load_estimate value = loads_.estimate(server, now);
        return loads_.available(server, now) == availability::usable && value.load < value.capacity;
    });
}

json balancer::dump(milliseconds now) const
{
    return {{"policy", to_string(policy_)},
            {"servers", loads_.dump(now)},
            {"prefix_blocks", prefixes_.size()}};
}

} // namespace dotterelport::routing
