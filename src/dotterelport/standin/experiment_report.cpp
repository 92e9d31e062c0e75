#include "experiment_report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <set>

namespace dotterelport::standin::experiment {
namespace {

constexpr double median = 0.5;
constexpr double p95 = 0.95;
constexpr double p99 = 0.99;
/// A policy counts as behind in a case if it is slower by more than this fraction.
constexpr double tolerance = 0.05;

double ratio(std::uint64_t count, std::uint64_t total)
{
    return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total);
}

std::uint64_t count_not_served(const class_result& result)
{
    return result.refused + result.expired + result.failed + result.unfinished;
}

} // namespace

double percentile(std::vector<double> samples, double fraction)
{
    if (samples.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(samples.size() - 1));
    const auto position = samples.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

json to_json(const report_row& row)
{
    const class_result& result = row.result;
    const auto summary = [](const std::vector<double>& samples) {
        return json{{"median", percentile(samples, median)},
                    {"p95", percentile(samples, p95)},
                    {"p99", percentile(samples, p99)}};
    };
    return {{"deployment", row.deployment},
            {"fault", row.fault},
            {"class", row.class_name},
            {"priority", dotterelport::to_string(row.priority)},
            {"policy", row.policy},
            {"requests", result.counted},
            {"first_token_ms", summary(result.first_token_ms)},
            {"total_ms", summary(result.total_ms)},
            {"cached_part", ratio(result.cached_blocks, result.blocks)},
            {"refused", result.refused},
            {"expired", result.expired},
            {"failed", result.failed},
            {"unfinished", result.unfinished},
            {"retries", result.retries}};
}

void write_table(std::ostream& out, const std::vector<report_row>& rows)
{
    std::string last_heading;
    out << std::fixed;
    for (const auto& row : rows) {
        const std::string heading = row.deployment + ", " + row.fault + ", " + row.class_name;
        if (heading != last_heading) {
            last_heading = heading;
            out << "\n"
                << heading << " (" << dotterelport::to_string(row.priority) << ", "
                << row.result.counted << " requests)\n"
                << "  policy               first p50    p95    p99  total p50    p95    p99"
                   "  cached  refused late failed\n";
        }
        const auto& result = row.result;
        out << "  " << std::left << std::setw(20) << row.policy << std::right
            << std::setprecision(0);
        for (const auto* samples : {&result.first_token_ms, &result.total_ms}) {
            out << std::setw(11) << percentile(*samples, median) << std::setw(7)
                << percentile(*samples, p95) << std::setw(7) << percentile(*samples, p99);
        }
        out << std::setprecision(2) << std::setw(8) << ratio(result.cached_blocks, result.blocks)
            << std::setw(9) << result.refused << std::setw(5) << result.expired << std::setw(7)
            << result.failed + result.unfinished << "\n";
    }
}

void write_csv(std::ostream& out, const std::vector<report_row>& rows)
{
    out << "deployment,fault,class,policy,requests,first_p50,first_p95,first_p99,total_p50,"
           "total_p95,total_p99,cached_part,refused,expired,failed,unfinished,retries\n";
    for (const auto& row : rows) {
        const json row_json = to_json(row);
        out << row.deployment << ',' << row.fault << ',' << row.class_name << ',' << row.policy
            << ',' << row.result.counted;
        for (const auto* field : {"first_token_ms", "total_ms"}) {
            for (const auto* rank : {"median", "p95", "p99"}) {
                out << ',' << row_json[field][rank].get<double>();
            }
        }
        out << ',' << row_json["cached_part"].get<double>();
        for (const auto* field : {"refused", "expired", "failed", "unfinished", "retries"}) {
            out << ',' << row_json[field].get<std::uint64_t>();
        }
        out << '\n';
    }
}

void write_plot_script(std::ostream& out, const std::vector<report_row>& rows)
{
    std::map<std::string, std::string> plotted_classes;
    std::vector<std::string> policies;
    for (const auto& row : rows) {
        const bool is_plotted = row.priority == priority::interactive && row.result.blocks > 0;
        if (is_plotted) {
            plotted_classes.emplace(row.deployment, row.class_name);
        }
        if (std::find(policies.begin(), policies.end(), row.policy) == policies.end()) {
            policies.push_back(row.policy);
        }
    }
    out << "set terminal svg size 1000,420\nset output 'plot.svg'\n"
        << "set style data histograms\nset style fill solid 0.8\nset logscale y\n"
        << "set ylabel 'time to first token, p95 (ms)'\nset key top left\n"
        << "set multiplot layout 1," << plotted_classes.size() << "\n";
    for (const auto& [deployment, class_name] : plotted_classes) {
        out << "$" << deployment << " << END\nfault";
        for (const auto& policy : policies) {
            out << ' ' << policy;
        }
        std::string fault;
        for (const auto& row : rows) {
            if (row.deployment != deployment || row.class_name != class_name) {
                continue;
            }
            if (row.fault != fault) {
                fault = row.fault;
                out << "\n" << fault;
            }
            out << ' ' << percentile(row.result.first_token_ms, p95);
        }
        out << "\nEND\nset title '" << deployment << ": " << class_name << "' noenhanced\n"
            << "plot for [i=2:" << policies.size() + 1 << "] $" << deployment
            << " using i:xtic(1) title columnheader(i) noenhanced\n";
    }
    out << "unset multiplot\n";
}

int write_comparison(std::ostream& out, const std::vector<report_row>& rows,
                     const std::string& chosen)
{
    using case_key = std::tuple<std::string, std::string, std::string>;
    std::map<case_key, const report_row*> chosen_rows;
    for (const auto& row : rows) {
        if (row.policy == chosen) {
            chosen_rows.emplace(case_key{row.deployment, row.fault, row.class_name}, &row);
        }
    }
    int behind = 0;
    int compared = 0;
    int not_ahead = 0;
    out << std::fixed << "\nCases in which " << chosen << " is not ahead (p95, ms):\n";
    for (const auto& row : rows) {
        const auto found = chosen_rows.find({row.deployment, row.fault, row.class_name});
        if (row.policy == chosen || found == chosen_rows.end()) {
            continue;
        }
        const class_result& chosen_result = found->second->result;
        ++compared;
        for (const bool is_first_token : {true, false}) {
            const double chosen_ms = percentile(
                is_first_token ? chosen_result.first_token_ms : chosen_result.total_ms, p95);
            const double baseline_ms =
                percentile(is_first_token ? row.result.first_token_ms : row.result.total_ms, p95);
            const bool is_behind = chosen_ms > baseline_ms * (1 + tolerance);
            const bool is_listed =
                is_behind || (row.priority == priority::interactive && chosen_ms >= baseline_ms);
            behind += is_behind ? 1 : 0;
            not_ahead += !is_behind && is_listed ? 1 : 0;
            if (is_listed) {
                out << (is_behind ? "  BEHIND " : "  within ") << row.deployment << ' ' << row.fault
                    << ' ' << row.class_name << (is_first_token ? " first token " : " total ")
                    << std::setprecision(1) << chosen_ms << " against " << baseline_ms << " of "
                    << row.policy << "; not served " << std::setprecision(4)
                    << ratio(count_not_served(chosen_result), chosen_result.counted) << " against "
                    << ratio(count_not_served(row.result), row.result.counted) << "\n";
            }
        }
    }
    out << compared << " comparisons of two percentiles each; behind by more than "
        << std::setprecision(0) << tolerance * 100 << " % in " << behind
        << ", interactive and not ahead within that in " << not_ahead << "\n";
    return behind;
}

} // namespace dotterelport::standin::experiment
