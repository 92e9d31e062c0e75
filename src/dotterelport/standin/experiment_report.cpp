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
/// A policy counts as behind on a class if it is slower by more than this part.
constexpr double tolerance = 0.05;

double part(std::uint64_t count, std::uint64_t of)
{
    return of == 0 ? 0 : static_cast<double>(count) / static_cast<double>(of);
}

std::uint64_t not_served(const class_result& result)
{
    return result.refused + result.expired + result.failed + result.unfinished;
}

} // namespace

double percentile(std::vector<double> samples, double part)
{
    if (samples.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(part * static_cast<double>(samples.size() - 1));
    const auto place = samples.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(samples.begin(), place, samples.end());
    return *place;
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
            {"class", row.kind},
            {"priority", dotterelport::to_string(row.priority)},
            {"policy", row.policy},
            {"requests", result.counted},
            {"first_token_ms", summary(result.first_token_ms)},
            {"total_ms", summary(result.total_ms)},
            {"cached_part", part(result.cached_blocks, result.blocks)},
            {"refused", result.refused},
            {"expired", result.expired},
            {"failed", result.failed},
            {"unfinished", result.unfinished},
            {"retries", result.retries}};
}

void write_table(std::ostream& out, const std::vector<report_row>& rows)
{
    std::string section;
    out << std::fixed;
    for (const auto& row : rows) {
        const std::string here = row.deployment + ", " + row.fault + ", " + row.kind;
        if (here != section) {
            section = here;
            out << "\n"
                << here << " (" << dotterelport::to_string(row.priority) << ", "
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
        out << std::setprecision(2) << std::setw(8) << part(result.cached_blocks, result.blocks)
            << std::setw(9) << result.refused << std::setw(5) << result.expired << std::setw(7)
            << result.failed + result.unfinished << "\n";
    }
}

void write_csv(std::ostream& out, const std::vector<report_row>& rows)
{
    out << "deployment,fault,class,policy,requests,first_p50,first_p95,first_p99,total_p50,"
           "total_p95,total_p99,cached_part,refused,expired,failed,unfinished,retries\n";
    for (const auto& row : rows) {
        const json value = to_json(row);
        out << row.deployment << ',' << row.fault << ',' << row.kind << ',' << row.policy << ','
            << row.result.counted;
        for (const auto* field : {"first_token_ms", "total_ms"}) {
            for (const auto* rank : {"median", "p95", "p99"}) {
                out << ',' << value[field][rank].get<double>();
            }
        }
        out << ',' << value["cached_part"].get<double>();
        for (const auto* field : {"refused", "expired", "failed", "unfinished", "retries"}) {
            out << ',' << value[field].get<std::uint64_t>();
        }
        out << '\n';
    }
}

void write_plot_script(std::ostream& out, const std::vector<report_row>& rows)
{
    std::map<std::string, std::string> drawn;
    std::vector<std::string> policies;
    for (const auto& row : rows) {
        const bool is_drawn = row.priority == priority::interactive && row.result.blocks > 0;
        if (is_drawn) {
            drawn.emplace(row.deployment, row.kind);
        }
        if (std::find(policies.begin(), policies.end(), row.policy) == policies.end()) {
            policies.push_back(row.policy);
        }
    }
    out << "set terminal svg size 1000,420\nset output 'plot.svg'\n"
        << "set style data histograms\nset style fill solid 0.8\nset logscale y\n"
        << "set ylabel 'time to first token, p95 (ms)'\nset key top left\n"
        << "set multiplot layout 1," << drawn.size() << "\n";
    for (const auto& [deployment, kind] : drawn) {
        out << "$" << deployment << " << END\nfault";
        for (const auto& policy : policies) {
            out << ' ' << policy;
        }
        std::string fault;
        for (const auto& row : rows) {
            if (row.deployment != deployment || row.kind != kind) {
                continue;
            }
            if (row.fault != fault) {
                fault = row.fault;
                out << "\n" << fault;
            }
            out << ' ' << percentile(row.result.first_token_ms, p95);
        }
        out << "\nEND\nset title '" << deployment << ": " << kind << "' noenhanced\n"
            << "plot for [i=2:" << policies.size() + 1 << "] $" << deployment
            << " using i:xtic(1) title columnheader(i) noenhanced\n";
    }
    out << "unset multiplot\n";
}

int write_comparison(std::ostream& out, const std::vector<report_row>& rows,
                     const std::string& chosen)
{
    using place = std::tuple<std::string, std::string, std::string>;
    std::map<place, const report_row*> own;
    for (const auto& row : rows) {
        if (row.policy == chosen) {
            own.emplace(place{row.deployment, row.fault, row.kind}, &row);
        }
    }
    int behind = 0;
    int compared = 0;
    int not_ahead = 0;
    out << std::fixed << "\nCases in which " << chosen << " is not ahead (p95, ms):\n";
    for (const auto& row : rows) {
        const auto found = own.find({row.deployment, row.fault, row.kind});
        if (row.policy == chosen || found == own.end()) {
            continue;
        }
        const class_result& mine = found->second->result;
        ++compared;
        for (const bool first : {true, false}) {
            const double left = percentile(first ? mine.first_token_ms : mine.total_ms, p95);
            const double right =
                percentile(first ? row.result.first_token_ms : row.result.total_ms, p95);
            const bool is_behind = left > right * (1 + tolerance);
            const bool matters =
                is_behind || (row.priority == priority::interactive && left >= right);
            behind += is_behind ? 1 : 0;
            not_ahead += !is_behind && matters ? 1 : 0;
            if (matters) {
                out << (is_behind ? "  BEHIND " : "  within ") << row.deployment << ' ' << row.fault
                    << ' ' << row.kind << (first ? " first token " : " total ")
                    << std::setprecision(1) << left << " against " << right << " of " << row.policy
                    << "; not served " << std::setprecision(4)
                    << part(not_served(mine), mine.counted) << " against "
                    << part(not_served(row.result), row.result.counted) << "\n";
            }
        }
    }
    out << compared << " comparisons of two percentiles each; behind by more than "
        << std::setprecision(0) << tolerance * 100 << " % in " << behind
        << ", interactive and not ahead within that in " << not_ahead << "\n";
    return behind;
}

} // namespace dotterelport::standin::experiment
