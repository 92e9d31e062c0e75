#include "dotterelport/ctl/explanation_table.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "dotterelport/ctl/table.hpp"

namespace dotterelport::ctl {
namespace {

constexpr double ms_per_s = 1'000;

std::string one_decimal(double value)
{
    std::array<char, 64> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.1f", value);
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string seconds(const json& duration_ms)
{
    std::array<char, 64> text{};
    const int size =
        std::snprintf(text.data(), text.size(), "%.3f", duration_ms.get<double>() / ms_per_s);
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string decision_text(const json& decision)
{
    const auto action = decision.at("action").get<std::string>();
    if (action == "send") {
        return "send to " + decision.at("server").get<std::string>() + ", cost " +
               one_decimal(decision.at("cost_ms")) + " ms";
    }
    if (action == "wait") {
        return "wait for a free slot, at most " + decision.at("longest_wait_ms").dump() + " ms";
    }
    std::string text = "reject with " + decision.at("status").dump() + ", " +
                       decision.at("reason").get<std::string>();
    if (decision.contains("retry_after_ms")) {
        text += ", Retry-After " + seconds(decision.at("retry_after_ms"));
        if (decision.contains("latest_retry_after_ms")) {
            text += " to " + seconds(decision.at("latest_retry_after_ms"));
        }
        text += " s";
    }
    return text;
}

std::string admission_text(const json& admission)
{
    std::string text = admission.at("active").get<bool>() ? "active" : "not active";
    if (admission.at("short_of_capacity").get<bool>()) {
        text += ", short of capacity, servers full for " + admission.at("closed_ms").dump() + " ms";
    }
    if (admission.contains("expected_start_ms")) {
        text += ", expected start " + one_decimal(admission.at("expected_start_ms")) + " ms";
    }
    if (admission.contains("likely_start_ms")) {
        text += ", likely " + one_decimal(admission.at("likely_start_ms")) +
                " ms, at the earliest " + one_decimal(admission.at("earliest_start_ms")) +
                " ms, limit " + admission.at("limit_ms").dump() + " ms";
    }
    return text;
}

std::string budget_text(const json& budget)
{
    const auto outcome = budget.at("outcome").get<std::string>();
    if (outcome == "not_needed") {
        return "no reservation needed";
    }
    const std::string amount = budget.at("tokens").dump() + " tokens, ";
    if (outcome == "asks_owner") {
        std::string text = amount + "asked of " + budget.at("owner").get<std::string>();
        if (budget.contains("tokens_expected_ms")) {
            text += ", which had none and expects them in " +
                    seconds(budget.at("tokens_expected_ms")) + " s";
        }
        return text;
    }
    if (outcome == "reserved") {
        return amount + "reserved here";
    }
    return amount + (outcome == "waits" ? "waits here for a larger grant" : outcome);
}

std::string state_text(const json& server)
{
    std::string text;
    const auto add = [&text](const std::string& item) { text += (text.empty() ? "" : ",") + item; };
    for (const auto& reason : server.at("excluded")) {
        add(reason.get<std::string>());
    }
    const json avoided = server.value("avoided", json::array());
    for (const auto& reason : avoided) {
        add(reason.get<std::string>() + "(avoided)");
    }
    if (server.at("permitted_in_ms").get<std::int64_t>() > 0) {
        add("permitted in " + server.at("permitted_in_ms").dump() + " ms");
    }
    if (server.at("chosen").get<bool>()) {
        return "chosen";
    }
    return text.empty() ? "ok" : text;
}

/// @brief Terms that are not 0 for each server.
std::vector<std::string> used_terms(const json& servers)
{
    std::vector<std::string> result;
    for (const auto& server : servers) {
        const json terms = server.value("terms_ms", json::object());
        for (const auto& [name, value] : terms.items()) {
            if (value.get<double>() != 0 &&
                std::find(result.begin(), result.end(), name) == result.end()) {
                result.push_back(name);
            }
        }
    }
    return result;
}

void print_servers(const json& servers, std::ostream& out)
{
    const auto terms = used_terms(servers);
    std::vector<std::string> header{"SERVER", "FAILURE DOMAIN", "STATE",
                                    "COST",   "CACHED",         "MEMORY"};
    header.insert(header.end(), terms.begin(), terms.end());
    table lines(header);
    for (const auto& server : servers) {
        const bool is_compared = server.contains("cost_ms");
        std::vector<std::string> row{server.at("server"), server.at("failure_domain"),
                                     state_text(server)};
        row.push_back(is_compared ? one_decimal(server.at("cost_ms")) : "-");
        row.push_back(is_compared ? server.at("cached_tokens").dump() : "-");
        row.push_back(is_compared ? seconds(server.at("memory_share").get<double>() * ms_per_s)
                                  : "-");
        for (const auto& term : terms) {
            row.push_back(is_compared ? one_decimal(server.at("terms_ms").at(term)) : "-");
        }
        lines.add(std::move(row));
    }
    lines.print(out);
}

} // namespace

void print_explanation(const json& explanation, std::ostream& out)
{
    const auto workspace = explanation.at("workspace").get<std::string>();
    out << "route " << explanation.at("route").get<std::string>() << " ("
        << explanation.at("kind").get<std::string>() << "), "
        << (workspace.empty() ? "no workspace" : "workspace " + workspace) << ", configuration "
        << explanation.at("configuration") << '\n';
    if (explanation.at("gateway_overloaded").get<bool>()) {
        out << "the gateway refuses requests now: gateway_overloaded\n";
    }
    if (explanation.contains("rejection")) {
        out << decision_text(explanation.at("rejection")) << '\n';
    }
    for (const auto& service : explanation.at("services")) {
        constexpr double percent = 100;
        out << "\nservice " << service.at("service").get<std::string>() << " ("
            << one_decimal(service.at("share").get<double>() * percent) << " % of the requests)\n"
            << "decision: " << decision_text(service.at("decision")) << '\n'
            << "admission: " << admission_text(service.at("admission")) << '\n'
            << "budget: " << budget_text(service.at("budget")) << '\n';
        print_servers(service.at("servers"), out);
    }
}

} // namespace dotterelport::ctl
