#include "explanation.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace dotterelport::gateway {
namespace {

constexpr int payment_required = 402;
constexpr int unauthorized = 401;

/// Larger than any request; sums of two do not overflow.
constexpr std::int64_t max_number = std::numeric_limits<std::int32_t>::max();

std::string required_parameter(const net::http_request& query, std::string_view name)
{
    const auto value = query.parameter(name);
    if (!value || value->empty()) {
        throw invalid_query("the parameter " + std::string(name) + " is missing");
    }
    return *value;
}

std::int64_t parse_number(std::string_view name, std::string_view text)
{
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0 ||
        value > max_number) {
        throw invalid_query(std::string(name) + " is not a number from 0 to " +
                            std::to_string(max_number) + ": \"" + std::string(text) + "\"");
    }
    return value;
}

std::int64_t number_parameter(const net::http_request& query, std::string_view name)
{
    const auto value = query.parameter(name);
    return value ? parse_number(name, *value) : 0;
}

/// @brief Parses ID:TOKENS items separated by commas, with hexadecimal ids.
std::vector<routing::prompt_part> parse_parts(std::string_view remaining)
{
    constexpr int hexadecimal = 16;
    std::vector<routing::prompt_part> parts;
    while (!remaining.empty()) {
        const std::string_view item = remaining.substr(0, remaining.find(','));
        remaining.remove_prefix(std::min(remaining.size(), item.size() + 1));
        const auto colon = item.find(':');
        const std::string_view id = item.substr(0, colon);
        routing::prompt_part part;
        const auto result = std::from_chars(id.data(), id.data() + id.size(), part.id, hexadecimal);
        if (colon == std::string_view::npos || result.ec != std::errc() ||
            result.ptr != id.data() + id.size()) {
            throw invalid_query(
                "a part is not a hexadecimal id and a number of tokens, ID:TOKENS: \"" +
                std::string(item) + "\"");
        }
        part.size = parse_number("the size of a part", item.substr(colon + 1));
        parts.push_back(part);
    }
    return parts;
}

json rejection(int status, std::string_view reason)
{
    return {{"action", "reject"}, {"status", status}, {"reason", reason}};
}

json rejection(const refusal& reason)
{
    json result = rejection(reason.status, reason.reason);
    result["retry_after_ms"] = reason.retry_after.count();
    return result;
}

/// @brief Rejection whose Retry-After is chosen at random.
json rejection(std::string_view reason, const retry_range& retry)
{
    json result = rejection(unavailable_status, reason);
    result["retry_after_ms"] = std::llround(retry.from_ms);
    result["latest_retry_after_ms"] = std::llround(retry.to_ms);
    return result;
}

json terms_to_json(const routing::placement_assessment& item)
{
    const auto& terms = item.terms;
    return {{"prefill", terms.prefill},           {"running", terms.running},
            {"stream_delay", terms.stream_delay}, {"queue", terms.queue},
            {"slow_server", terms.slow_server},   {"slowdown", terms.slowdown},
            {"unresponsive", terms.unresponsive}, {"failures", terms.failures},
            {"other_domain", terms.other_domain}, {"shared_parts", item.shared_parts_ms},
            {"separation", item.separation_ms},   {"uncertainty", item.compared_ms - item.cost_ms}};
}

/// Explains what becomes of a request if it is sent to one of the services of its route.
class service_explanation {
public:
    service_explanation(const decision_context& context, const budget_broker& budgets,
                        const request_view& request, milliseconds now)
        : context_(context), budgets_(budgets), request_(request), now_(now)
    {}

    [[nodiscard]] json explain() const
    {
        server_comparison comparison;
        const request_plan plan = plan_request(context_, request_, now_, &comparison);
        auto choice = plan.choice;
        if (comparison.candidates.empty()) {
            // An earlier step ends the request, or there are no candidates.
            choice = choose_server(context_, request_, now_, &comparison);
        }
        json admission = explain_admission(choice);
        json budget = explain_budget();
        json decision = decide(plan, admission, budget);
        json servers = json::array();
        const bool is_sent = decision.at("action") == "send";
        for (const auto* server : context_.servers.matching(
                 [&](const backend_server& item) { return item.service == request_.service; })) {
            servers.push_back(explain_server(*server, comparison));
            servers.back()["chosen"] = is_sent && plan.choice && plan.choice->server == server->id;
        }
        return {{"decision", std::move(decision)},
                {"admission", std::move(admission)},
                {"budget", std::move(budget)},
                {"servers", std::move(servers)}};
    }

private:
    /// @brief Follows the order of the steps of a real request.
    [[nodiscard]] json decide(const request_plan& plan, const json& admission,
                              const json& budget) const
    {
        if (auto reason =
                refusal_while_stopping(context_, request_.target, request_.time_limit, now_)) {
            return rejection(*reason);
        }
        if (auto reason = refusal_by_service(request_.catalogue.find_service(request_.service))) {
            return rejection(*reason);
        }
        if (const auto step = step_before_budget(context_, request_)) {
            return without_server(*step);
        }
        if (budget.contains("rejection")) {
            return budget.at("rejection");
        }
        switch (plan.step) {
        case request_step::wait:
            if (!has_place(plan.longest_wait)) {
                return rejection("no_capacity",
                                 context_.admissions.no_capacity_retry(request_.service, now_));
            }
            return {{"action", "wait"}, {"longest_wait_ms", plan.longest_wait.count()}};
        case request_step::no_capacity:
            return rejection("no_capacity",
                             context_.admissions.no_capacity_retry(request_.service, now_));
        case request_step::send:
            if (admission.contains("rejection")) {
                return admission.at("rejection");
            }
            return {{"action", "send"},
                    {"server", plan.choice->server},
                    {"cost_ms", plan.choice->cost_ms}};
        default:
            return without_server(plan.step);
        }
    }

    [[nodiscard]] json without_server(request_step step) const
    {
        const attempt_end end = end_of(step);
        return rejection(refusal{.reason = to_string(end),
                                 .retry_after = retry_after_end(context_, request_, end)});
    }

    [[nodiscard]] bool has_place(milliseconds longest) const
    {
        return context_.admissions
            .find_place(request_.service, waiting_request_of(request_, 0, longest, now_))
            .is_free;
    }

    [[nodiscard]] json
    explain_admission(const std::optional<routing::placement_choice>& choice) const
    {
        const auto& admissions = context_.admissions;
        json result = {{"active", admissions.is_active(request_.service)},
                       {"short_of_capacity", admissions.is_short(request_.service, now_)},
                       {"closed_ms", admissions.closed_for(request_.service, now_).count()}};
        if (!choice) {
            return result;
        }
        result["expected_start_ms"] = choice->expected_start_ms;
        const auto assessment = admissions.assess_start(
            request_.service, admission_request_of(request_, *choice), now_);
        if (!assessment) {
            return result;
        }
        result["likely_start_ms"] = assessment->likely_ms;
        result["earliest_start_ms"] = assessment->optimistic_ms;
        result["limit_ms"] = assessment->limit.count();
        if (assessment->is_too_late()) {
            result["rejection"] =
                rejection("starts_too_late", admission::too_late_retry(*assessment));
        }
        return result;
    }

    [[nodiscard]] json explain_budget() const
    {
        const tokens needed = request_.prompt_tokens + request_.max_output_tokens;
        if (!needs_reservation(request_.owner, needed)) {
            return {{"outcome", "not_needed"}, {"tokens", needed}};
        }
        const broker_forecast forecast = budgets_.forecast(request_.owner->name, needed);
        json result = {{"tokens", needed}};
        if (forecast.own) {
            result["outcome"] = to_string(*forecast.own);
            if (forecast.own == reservation_forecast::exhausted) {
                result["rejection"] = rejection(payment_required, "budget_exhausted");
            } else if (forecast.retry_after) {
                result["rejection"] =
                    rejection(refusal{.reason = "no_grant", .retry_after = *forecast.retry_after});
            }
            return result;
        }
        result["outcome"] = "asks_owner";
        result["owner"] = forecast.owner;
        if (forecast.retry_after) {
            result["tokens_expected_ms"] = forecast.retry_after->count();
        }
        return result;
    }

    [[nodiscard]] json explain_server(const backend_server& server,
                                      const server_comparison& comparison) const
    {
        json result = {{"server", server.id}, {"failure_domain", server.failure_domain}};
        json excluded = json::array();
        const auto unavailable = context_.servers.unavailable_reason(server);
        if (!unavailable.empty()) {
            excluded.push_back(unavailable);
        }
        if (!is_in_allowed_region(context_, request_, server)) {
            excluded.push_back("region");
        }
        const milliseconds permitted = context_.statements.time_until_permitted(server.id);
        if (permitted > milliseconds{0}) {
            excluded.push_back(context_.statements.is_cold(server.id) ? "cold" : "limited");
        }
        if (std::find(comparison.full.begin(), comparison.full.end(), server.id) !=
            comparison.full.end()) {
            excluded.push_back("full");
        }
        const auto& assessments = comparison.assessments;
        const auto found =
            std::find_if(assessments.begin(), assessments.end(),
                         [&](const auto& item) { return item.candidate->server == server.id; });
        if (found != assessments.end()) {
            if (found->is_out_of_memory) {
                excluded.push_back("memory");
            }
            // Only ranked behind the others, so these alone do not exclude a server.
            json avoided = json::array();
            if (found->is_ejected) {
                avoided.push_back("failing");
            }
            if (!found->is_memory_safe) {
                avoided.push_back("memory_nearly_full");
            }
            result["avoided"] = std::move(avoided);
            result["cost_ms"] = found->cost_ms;
            result["compared_ms"] = found->compared_ms;
            result["expected_start_ms"] = found->expected_start_ms;
            result["terms_ms"] = terms_to_json(*found);
            result["cached_tokens"] = found->cached_tokens;
            result["memory_share"] = found->memory_share;
        }
        result["excluded"] = std::move(excluded);
        result["permitted_in_ms"] = permitted.count();
        return result;
    }

    const decision_context& context_;
    const budget_broker& budgets_;
    const request_view& request_;
    milliseconds now_;
};

/// @brief Shared parts, as far as the content of a request is not known.
std::vector<request::suspect> shared_suspects(const std::vector<routing::prompt_part>& parts)
{
    std::vector<request::suspect> result;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        result.push_back({.kind = request::suspect_kind::part, .id = parts[i].id});
    }
    return result;
}

const workspace* find_workspace_by_name(const service_catalogue& catalogue, const std::string& name)
{
    const auto& all = catalogue.workspaces();
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& item) { return item.name == name; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace

explained_request parse_explained_request(const net::http_request& query)
{
    explained_request result{.method = required_parameter(query, "method"),
                             .host = required_parameter(query, "host"),
                             .path = required_parameter(query, "path"),
                             .workspace = query.parameter("workspace").value_or(""),
                             .parts = parse_parts(query.parameter("parts").value_or("")),
                             .prompt_tokens = number_parameter(query, "prompt_tokens"),
                             .max_output_tokens = number_parameter(query, "output_tokens"),
                             .deadline = std::nullopt};
    if (const auto text = query.parameter("deadline_ms")) {
        result.deadline = milliseconds{parse_number("deadline_ms", *text)};
    }
    result.path = result.path.substr(0, result.path.find('?'));
    return result;
}

json explain(const decision_context& context, const budget_broker& budgets,
             const service_catalogue& catalogue, const explained_request& request,
             bool is_overloaded, milliseconds now)
{
    const route* target = catalogue.find_route(request.host, request.path);
    if (target == nullptr) {
        throw unknown_item("no route matches " + request.host + request.path);
    }
    const workspace* owner = find_workspace_by_name(catalogue, request.workspace);
    if (owner == nullptr && !request.workspace.empty()) {
        throw unknown_item("there is no workspace " + request.workspace);
    }
    json result = {{"method", request.method},
                   {"route", target->name},
                   {"kind", to_string(target->kind)},
                   {"workspace", request.workspace},
                   {"configuration", catalogue.version()},
                   {"gateway_overloaded", is_overloaded},
                   {"services", json::array()}};
    if (!may_use(catalogue, *target, owner)) {
        result["rejection"] = rejection(unauthorized, "unknown_key");
        return result;
    }
    const milliseconds time_limit = time_limit_of(*target, request.deadline);
    const milliseconds time_left =
        std::max(milliseconds{0}, deadline_of(context, *target, now, time_limit) - now);
    const auto suspects = shared_suspects(request.parts);
    const double total_weight =
        std::accumulate(target->services.begin(), target->services.end(), 0.0,
                        [](double sum, const auto& item) { return sum + item.weight; });
    result["time_limit_ms"] = time_limit.count();
    for (const auto& item : target->services) {
        const request_view view{.catalogue = catalogue,
                                .target = *target,
                                .owner = owner,
                                .service = item.service,
                                .parts = request.parts,
                                .prompt_tokens = request.prompt_tokens,
                                .max_output_tokens = request.max_output_tokens,
                                .suspects = suspects,
                                .held = milliseconds{0},
                                .time_limit = time_limit,
                                .time_left = time_left};
        json explained = service_explanation(context, budgets, view, now).explain();
        explained["service"] = item.service;
        explained["share"] = total_weight > 0 ? item.weight / total_weight : 1.0;
        result["services"].push_back(std::move(explained));
    }
    return result;
}

} // namespace dotterelport::gateway
