#include "request_decisions.hpp"

#include <algorithm>

namespace dotterelport::gateway {
namespace {

/// Timeout of routes that set none.
constexpr milliseconds default_timeout{30'000};

/// Retry-After when the servers refused a request: time after which a busy server is likely to have
/// free capacity.
constexpr milliseconds busy_server_retry_after{300};

/// Retry-After while a server is missing: time in which an expired registration is restored once
/// the store is available again.
constexpr milliseconds store_retry_after{1'000};

bool contains(std::span<const std::string> names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// @brief Returns whether a request that was sent to as many servers as it may be is limited to
/// those of them that refused it.
bool is_excluded_after_refusals(const request_view& request, const std::string& server)
{
    if (request.refused.empty()) {
        return false;
    }
    // Refused requests may be sent again to the servers that refused them.
    const auto others =
        std::count_if(request.tried.begin(), request.tried.end(),
                      [&](const std::string& tried) { return !contains(request.refused, tried); });
    return request.refused.size() + static_cast<std::size_t>(others) >=
               request.target.max_attempts &&
           !contains(request.refused, server);
}

/// @brief Full servers that are left out because there is another one.
std::vector<std::string> full_servers(const decision_context& context, const request_view& request,
                                      const std::vector<routing::placement_candidate>& candidates,
                                      std::span<const std::string> excluded, milliseconds now)
{
    std::vector<std::string> full;
    std::size_t free = 0;
    for (const auto& candidate : candidates) {
        if (contains(excluded, candidate.server)) {
            continue;
        }
        if (context.admissions.is_full(request.service, candidate.server, now)) {
            full.push_back(candidate.server);
        } else if (context.placement.loads().available(candidate.server, now) !=
                   routing::availability::ejected) {
            ++free;
        }
    }
    if (free == 0) {
        full.clear();
    }
    return full;
}

/// @brief Decides whether a request waits for a free slot while all servers are full.
std::optional<request_plan> plan_wait(const decision_context& context, const request_view& request,
                                      milliseconds now)
{
    if (!request.is_new || context.stopping || !context.admissions.is_short(request.service, now)) {
        return std::nullopt;
    }
    const milliseconds longest =
        admission::longest_wait(request.held, request.target.target_latency, request.time_left);
    if (longest <= milliseconds{0}) {
        return std::nullopt;
    }
    const bool is_too_long = context.admissions.closed_for(request.service, now) > longest;
    return request_plan{.step = is_too_long ? request_step::no_capacity : request_step::wait,
                        .longest_wait = longest,
                        .choice = std::nullopt};
}

} // namespace

tokens request_view::cache_capacity() const
{
    const auto* definition = catalogue.find_service(service);
    return definition == nullptr ? 0 : definition->cache_capacity;
}

milliseconds time_limit_of(const route& target, std::optional<milliseconds> deadline)
{
    const milliseconds timeout =
        target.timeout > milliseconds{0} ? target.timeout : default_timeout;
    return std::min(timeout, deadline.value_or(timeout));
}

milliseconds deadline_of(const decision_context& context, const route& target,
                         milliseconds received, milliseconds time_limit)
{
    const milliseconds deadline = received + time_limit;
    return context.stopping && target.kind != route_kind::streaming
               ? std::min(deadline, context.stopping->answers_until())
               : deadline;
}

bool may_use(const service_catalogue& catalogue, const route& target, const workspace* owner)
{
    return owner != nullptr || target.anonymous || !catalogue.requires_keys();
}

std::optional<refusal> refusal_while_stopping(const decision_context& context, const route& target,
                                              milliseconds time_limit, milliseconds now)
{
    if (!context.stopping) {
        return std::nullopt;
    }
    const bool others_serve = !context.link.live_peers().empty();
    if (accepts_request(*context.stopping, target, time_limit, others_serve, now)) {
        return std::nullopt;
    }
    return refusal{.reason = "stopping",
                   .retry_after = retry_after_stop(*context.stopping, others_serve, now)};
}

std::optional<refusal> refusal_by_service(const service_definition* definition)
{
    return definition != nullptr && definition->is_closed
               ? std::optional(
                     refusal{.reason = "service_closed", .retry_after = store_retry_after})
               : std::nullopt;
}

bool needs_reservation(const workspace* owner, tokens max_tokens)
{
    return owner != nullptr && owner->prepaid.has_value() && max_tokens > 0;
}

bool is_in_allowed_region(const decision_context& context, const request_view& request,
                          const backend_server& server)
{
    const auto region = context.regions.find(server.failure_domain);
    const auto allows = [&](const std::optional<region_list>& regions) {
        return !regions ||
               (region != context.regions.end() &&
                std::find(regions->begin(), regions->end(), region->second) != regions->end());
    };
    return allows(request.target.regions) &&
           (request.owner == nullptr || allows(request.owner->regions));
}

std::vector<const backend_server*> allowed_servers(const decision_context& context,
                                                   const request_view& request)
{
    auto servers = context.servers.available(request.service);
    std::erase_if(servers, [&](const auto* server) {
        return is_excluded_after_refusals(request, server->id) ||
               !is_in_allowed_region(context, request, *server);
    });
    return servers;
}

std::optional<milliseconds> time_until_permitted(const decision_context& context,
                                                 const request_view& request)
{
    std::optional<milliseconds> shortest;
    for (const auto* server : allowed_servers(context, request)) {
        if (!contains(request.tried, server->id)) {
            const milliseconds time = context.statements.time_until_permitted(server->id);
            shortest = std::min(shortest.value_or(time), time);
        }
    }
    return shortest;
}

routing::placement_request placement_request_of(const decision_context& context,
                                                const request_view& request,
                                                std::span<const std::string> excluded)
{
    return {.parts = request.parts,
            .prompt_tokens = request.prompt_tokens,
            .max_output_tokens = request.max_output_tokens,
            .failure_domain = context.failure_domain,
            .pause_limit = request.catalogue.pause_limit(),
            .excluded = excluded};
}

std::optional<routing::placement_choice> choose_server(const decision_context& context,
                                                       const request_view& request,
                                                       milliseconds now,
                                                       server_comparison* comparison)
{
    server_comparison compared;
    auto& candidates = compared.candidates;
    std::vector<std::string> excluded(request.tried.begin(), request.tried.end());
    for (const auto* server : allowed_servers(context, request)) {
        candidates.push_back({.server = server->id,
                              .failure_domain = server->failure_domain,
                              .capacity = server->capacity,
                              .rate_limited = context.statements.is_limited(server->id),
                              .memory = request.cache_capacity()});
        // Limited servers stay candidates, so that the servers preferred for a prompt do not change
        // with each permit.
        if (context.statements.time_until_permitted(server->id) > milliseconds{0}) {
            excluded.push_back(server->id);
        }
    }
    if (context.admissions.may_have_full_servers(request.service)) {
        compared.full = full_servers(context, request, candidates, excluded, now);
        excluded.insert(excluded.end(), compared.full.begin(), compared.full.end());
    }
    auto choice =
        context.placement.choose(placement_request_of(context, request, excluded), candidates, now,
                                 comparison == nullptr ? nullptr : &compared.assessments);
    if (comparison != nullptr) {
        *comparison = std::move(compared);
    }
    return choice;
}

std::optional<request_step> step_before_budget(const decision_context& context,
                                               const request_view& request)
{
    if (context.crashes.refused_for(request.suspects)) {
        return request_step::quarantined;
    }
    return time_until_permitted(context, request).value_or(milliseconds{0}) > milliseconds{0}
               ? std::optional(request_step::limited)
               : std::nullopt;
}

request_plan plan_request(const decision_context& context, const request_view& request,
                          milliseconds now, server_comparison* comparison)
{
    if (const auto step = step_before_budget(context, request)) {
        return {.step = *step, .longest_wait = milliseconds{0}, .choice = std::nullopt};
    }
    if (const auto plan = plan_wait(context, request, now)) {
        return *plan;
    }
    auto choice = choose_server(context, request, now, comparison);
    if (choice && context.servers.find(choice->server) != nullptr) {
        return {.step = request_step::send,
                .longest_wait = milliseconds{0},
                .choice = std::move(choice)};
    }
    // If a server is left that permits the request, placement has found too little memory.
    const bool are_full = !choice && time_until_permitted(context, request).has_value();
    return {.step = are_full ? request_step::engines_full : request_step::no_server,
            .longest_wait = milliseconds{0},
            .choice = std::nullopt};
}

attempt_end end_of(request_step step)
{
    switch (step) {
    case request_step::quarantined:
        return attempt_end::quarantined;
    case request_step::limited:
        return attempt_end::servers_limited;
    case request_step::engines_full:
        return attempt_end::engines_full;
    default:
        return attempt_end::no_server;
    }
}

milliseconds retry_after_end(const decision_context& context, const request_view& request,
                             attempt_end end)
{
    switch (end) {
    case attempt_end::no_server:
        return store_retry_after;
    case attempt_end::servers_limited:
        return time_until_permitted(context, request).value_or(store_retry_after);
    case attempt_end::quarantined:
        return context.crashes.refused_for(request.suspects).value_or(busy_server_retry_after);
    default:
        return busy_server_retry_after;
    }
}

admission_request admission_request_of(const request_view& request,
                                       const routing::placement_choice& choice)
{
    return {.priority = request.priority(),
            .time_limit = request.time_limit,
            .time_left = request.time_left,
            .expected_start_ms = choice.expected_start_ms};
}

waiting_request waiting_request_of(const request_view& request, std::size_t bytes,
                                   milliseconds longest, milliseconds now)
{
    // Work of a small request with a prompt, in tokens.
    constexpr double tokens_per_cost = 2'048;
    // Callers state the size, and the queue passes a request over once for each unit of its cost.
    constexpr double max_cost = 64;
    const auto max_tokens = static_cast<double>(request.prompt_tokens + request.max_output_tokens);
    return {.workspace = request.owner == nullptr ? std::string() : request.owner->name,
            .priority = request.priority(),
            .cost = std::min(max_cost, 1 + max_tokens / tokens_per_cost),
            .bytes = bytes,
            .deadline = now + longest};
}

} // namespace dotterelport::gateway
