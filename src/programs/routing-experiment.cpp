/// Compares the policies for the choice of backend servers in an emulation of both deployments.

#include <filesystem>
#include <fstream>
#include <iostream>

#include <tclap/CmdLine.h>

#include "dotterelport/standin/experiment_report.hpp"

namespace {

using namespace dotterelport;
using namespace dotterelport::standin::experiment;

constexpr const char* chosen_policy = "affinity";

void merge(class_result& into, const class_result& from)
{
    into.first_token_ms.insert(into.first_token_ms.end(), from.first_token_ms.begin(),
                               from.first_token_ms.end());
    into.total_ms.insert(into.total_ms.end(), from.total_ms.begin(), from.total_ms.end());
    into.counted += from.counted;
    into.refused += from.refused;
    into.expired += from.expired;
    into.failed += from.failed;
    into.retries += from.retries;
    into.blocks += from.blocks;
    into.cached_blocks += from.cached_blocks;
    into.unfinished += from.unfinished;
}

std::vector<class_result> run_seeds(run_settings settings, std::uint64_t first, int count)
{
    std::vector<class_result> result(settings.where.classes.size());
    for (int i = 0; i < count; ++i) {
        settings.seed = first + static_cast<std::uint64_t>(i);
        const auto once = run(settings);
        for (std::size_t kind = 0; kind < result.size(); ++kind) {
            merge(result[kind], once[kind]);
        }
    }
    return result;
}

struct selection {
    std::string deployment;
    std::string fault;
    std::vector<std::string> policies;
};

std::vector<report_row> run_all(std::uint64_t seed, int seeds, const selection& only)
{
    std::vector<report_row> rows;
    for (const auto& where : deployments()) {
        for (const auto what :
             {fault::none, fault::dead, fault::slow, fault::cut, fault::overload}) {
            if ((!only.fault.empty() && only.fault != to_string(what)) ||
                (!only.deployment.empty() && only.deployment != where.name)) {
                continue;
            }
            std::map<std::string, std::vector<class_result>> by_policy;
            for (const auto& name : only.policies) {
                by_policy[name] = run_seeds(
                    {where, what, routing::parse_policy(name).value(), seed}, seed, seeds);
            }
            for (std::size_t kind = 0; kind < where.classes.size(); ++kind) {
                for (const auto& name : only.policies) {
                    rows.push_back({where.name, std::string(to_string(what)),
                                    where.classes[kind].name, where.classes[kind].priority, name,
                                    by_policy[name][kind]});
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
    json list = json::array();
    for (const auto& row : rows) {
        list.push_back(to_json(row));
    }
    std::ofstream(folder / "results.json")
        << json{{"seed", seed}, {"seeds", seeds}, {"rows", list}}.dump(1) << "\n";
    std::ofstream csv(folder / "results.csv");
    write_csv(csv, rows);
    std::ofstream plot(folder / "plot.gp");
    write_plot_script(plot, rows);
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Compares the policies for the choice of backend servers", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "First seed", false, 1, "number", command);
    TCLAP::ValueArg<int> seeds("", "seeds", "Runs, each with the next seed", false, 3, "number",
                               command);
    TCLAP::ValueArg<std::string> out("", "out", "Folder for the results", false,
                                     "out/routing-experiment", "path", command);
    TCLAP::ValueArg<std::string> fault("", "fault", "Run one fault only", false, "", "name",
                                       command);
    TCLAP::ValueArg<std::string> where("", "deployment", "Run one deployment only", false, "",
                                       "name", command);
    TCLAP::MultiArg<std::string> policies("", "policy", "Run these policies only", false, "name",
                                          command);
    command.parse(argc, argv);

    selection only{where.getValue(), fault.getValue(), policies.getValue()};
    if (only.policies.empty()) {
        only.policies = {chosen_policy, "random", "round_robin", "least_reported_load",
                         "two_choices"};
    }
    const auto rows = run_all(seed.getValue(), seeds.getValue(), only);
    write_table(std::cout, rows);
    write_comparison(std::cout, rows, chosen_policy);
    write_files(out.getValue(), rows, seed.getValue(), seeds.getValue());
    std::cout << "Results are in " << out.getValue()
              << "; draw plot.svg there with: gnuplot plot.gp\n";
    return 0;
}
