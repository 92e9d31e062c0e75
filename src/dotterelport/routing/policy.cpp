#include "dotterelport/routing/policy.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "affinity.hpp"

namespace dotterelport::routing {
namespace {

std::size_t pick(std::span<const std::size_t> eligible, random_generator& random)
{
    std::uniform_int_distribution<std::size_t> index(0, eligible.size() - 1);
    return eligible[index(random)];
}

/// Last reported load relative to capacity, not corrected by this router's own requests. Used by
/// the baseline policies.
double reported_load(const choice_context& context, std::size_t server)
{
    const load_estimate server_load = context.loads.estimate(context.servers[server], context.now);
    return server_load.reported / server_load.capacity;
}

std::size_t least_loaded(const choice_context& context, std::span<const std::size_t> eligible)
{
    return *std::min_element(
        eligible.begin(), eligible.end(), [&](std::size_t left, std::size_t right) {
            return reported_load(context, left) < reported_load(context, right);
        });
}

/// Applies a policy to the eligible servers, of which there is at least one.
struct chooser {
    const choice_context& context;
    std::span<const std::size_t> eligible;
    random_generator& random;

    std::size_t operator()(random_policy& /*value*/) const { return pick(eligible, random); }

    std::size_t operator()(round_robin_policy& round_robin) const
    {
        // The position counts all servers, so that a server that becomes eligible again does not
        // shift the others.
        std::size_t& next = round_robin.next[context.request.service];
        const std::size_t position = next % context.servers.size();
        const auto next_eligible = std::lower_bound(eligible.begin(), eligible.end(), position);
        const std::size_t chosen =
            next_eligible == eligible.end() ? eligible.front() : *next_eligible;
        next = chosen + 1;
        return chosen;
    }

    std::size_t operator()(least_reported_load_policy& /*value*/) const
    {
        return least_loaded(context, eligible);
    }

    std::size_t operator()(two_choices_policy& /*value*/) const
    {
        const std::array<std::size_t, 2> two{pick(eligible, random), pick(eligible, random)};
        return least_loaded(context, two);
    }

    std::size_t operator()(affinity_policy& affinity) const
    {
        return choose_by_affinity(affinity, context, eligible, random);
    }
};

const std::array<policy, 5>& all_policies()
{
    static const std::array<policy, 5> policies{random_policy{}, round_robin_policy{},
                                                least_reported_load_policy{}, two_choices_policy{},
                                                affinity_policy{}};
    return policies;
}

std::vector<std::size_t> servers_with(const choice_context& context, availability wanted,
                                      bool with_excluded)
{
    const auto& excluded = context.request.excluded;
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < context.servers.size(); ++i) {
        const std::string& name = context.servers[i];
        const bool is_excluded =
            std::find(excluded.begin(), excluded.end(), name) != excluded.end();
        if ((with_excluded || !is_excluded) &&
            context.loads.available(name, context.now) == wanted) {
            result.push_back(i);
        }
    }
    return result;
}

} // namespace

std::string_view to_string(const policy& routing_policy)
{
    constexpr std::array<std::string_view, 5> names{"random", "round_robin", "least_reported_load",
                                                    "two_choices", "affinity"};
    return names[routing_policy.index()];
}

std::optional<policy> parse_policy(std::string_view name)
{
    for (const policy& candidate : all_policies()) {
        if (to_string(candidate) == name) {
            return candidate;
        }
    }
    return std::nullopt;
}

std::vector<std::size_t> eligible_servers(const choice_context& context)
{
    // A server whose ejection has ended is probed with a request that can wait, before interactive
    // requests depend on it.
    if (context.request.priority != priority::interactive) {
        auto probing = servers_with(context, availability::probing, false);
        if (!probing.empty()) {
            return probing;
        }
    }
    for (const bool with_excluded : {false, true}) {
        for (const auto wanted : {availability::usable, availability::probing, availability::silent,
                                  availability::ejected}) {
            auto servers = servers_with(context, wanted, with_excluded);
            if (!servers.empty()) {
                return servers;
            }
        }
    }
    return {};
}

std::optional<std::size_t> choose(policy& routing_policy, const choice_context& context,
                                  random_generator& random)
{
    const auto eligible = eligible_servers(context);
    if (eligible.empty()) {
        return std::nullopt;
    }
    return std::visit(chooser{context, eligible, random}, routing_policy);
}

} // namespace dotterelport::routing
