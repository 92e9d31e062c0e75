/// Compares the policies that choose a backend server, in an emulation of both deployments.

#include <filesystem>
#include <fstream>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/standin/experiment_report.hpp"

namespace {

using namespace dotterelport;
using namespace dotterelport::standin::experiment;

constexpr const char* chosen_policy = "affinity";

void merge(class_result& total, const class_result& added)
{
    total.first_token_ms.insert(total.first_token_ms.end(), added.first_token_ms.begin(),
                                added.first_token_ms.end());
    total.total_ms.insert(total.total_ms.end(), added.total_ms.begin(), added.total_ms.end());
    total.counted += added.counted;
    total.refused += added.refused;
    total.expired += added.expired;
    total.failed += added.failed;
    total.retries += added.retries;
    total.blocks += added.blocks;
    total.cached_blocks += added.cached_blocks;
    total.unfinished += added.unfinished;
}

std::vector<class_result> run_seeds(run_settings settings, std::uint64_t first, int count)
{
    std::vector<class_result> result(settings.target_deployment.classes.size());
    for (int i = 0; i < count; ++i) {
        settings.seed = first + static_cast<std::uint64_t>(i);
        const auto run_result = run(settings);
        for (std::size_t class_index = 0; class_index < result.size(); ++class_index) {
            merge(result[class_index], run_result[class_index]);
        }
    }
    return result;
}

struct selection {
    std::string deployment;
    std::string fault;
    std::vector<std::string> policies;
};

std::vector<report_row> run_all(std::uint64_t seed, int seeds, const selection& filter)
{
    std::vector<report_row> rows;
    for (const auto& emulated_deployment : deployments()) {
        for (const auto active_fault :
             {fault::none, fault::dead, fault::slow, fault::cut, fault::overload}) {
            if ((!filter.fault.empty() && filter.fault != to_string(active_fault)) ||
                (!filter.deployment.empty() && filter.deployment != emulated_deployment.name)) {
                continue;
            }
            std::map<std::string, std::vector<class_result>> by_policy;
            for (const auto& name : filter.policies) {
                by_policy[name] = run_seeds(
                    {emulated_deployment, active_fault, routing::parse_policy(name).value(), seed},
                    seed, seeds);
            }
            for (std::size_t class_index = 0; class_index < emulated_deployment.classes.size();
                 ++class_index) {
                for (const auto& name : filter.policies) {
                    rows.push_back({emulated_deployment.name, std::string(to_string(active_fault)),
                                    emulated_deployment.classes[class_index].name,
                                    emulated_deployment.classes[class_index].priority, name,
                                    by_policy[name][class_index]});
                }
            }
        }
    }
    return rows;
}

void write_files(const std::filesystem::path& folder, const std::vector<report_row>& rows,
                 std::uint64_t seed, int seeds)
{
    std::filesystem::create_directories(folder);
    json json_rows = json::array();
    for (const auto& row : rows) {
        json_rows.push_back(to_json(row));
    }
    std::ofstream(folder / "results.json")
        << json{{"seed", seed}, {"seeds", seeds}, {"rows", json_rows}}.dump(1) << "\n";
    std::ofstream csv(folder / "results.csv");
    write_csv(csv, rows);
    std::ofstream plot(folder / "plot.gp");
    write_plot_script(plot, rows);
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Compares the policies that choose a backend server", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "First seed", false, 1, "number", command);
    TCLAP::ValueArg<int> seeds("", "seeds", "Number of runs, each with the next seed", false, 3,
                               "number", command);
    TCLAP::ValueArg<std::string> out("", "out", "Folder for the results", false,
                                     "out/routing-experiment", "path", command);
    TCLAP::ValueArg<std::string> fault("", "fault", "Run one fault only", false, "", "name",
                                       command);
    TCLAP::ValueArg<std::string> deployment_name("", "deployment", "Run one deployment only", false,
                                                 "", "name", command);
    TCLAP::MultiArg<std::string> policies("", "policy", "Run these policies only", false, "name",
                                          command);
    command.parse(argc, argv);

    selection filter{deployment_name.getValue(), fault.getValue(), policies.getValue()};
    if (filter.policies.empty()) {
        filter.policies = {chosen_policy, "random", "round_robin", "least_reported_load",
                           "two_choices"};
    }
    const auto rows = run_all(seed.getValue(), seeds.getValue(), filter);
    write_table(std::cout, rows);
    write_comparison(std::cout, rows, chosen_policy);
    write_files(out.getValue(), rows, seed.getValue(), seeds.getValue());
    std::cout << "Results are in " << out.getValue()
              << "; draw plot.svg there with: gnuplot plot.gp\n";
    return 0;
}
