// Compares the policies for the size of grants with an equal split as the baseline, on the same
// requests and faults, and prints the false refusals. Arguments: first seed and number of seeds.

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "dotterelport/budget/experiment.hpp"

using namespace dotterelport::budget;

namespace {

/// Small budgets, and few but large requests.
experiment_workload carbones()
{
    return {.name = "carbones",
            .smallest_budget = 20'000,
            .largest_budget = 400'000,
            .requests_per_step = 2.2,
            .smallest_request = 100,
            .largest_request = 900};
}

/// Larger budgets, and many small requests.
experiment_workload caroni()
{
    return {.name = "caroni",
            .smallest_budget = 80'000,
            .largest_budget = 1'200'000,
            .requests_per_step = 8,
            .smallest_request = 50,
            .largest_request = 600};
}

struct fault_case {
    std::string name;
    bool outage;
    bool partition;
};

void print(const std::string& workload, const std::string& faults, const std::string& policy,
           const experiment_result& totals)
{
    std::cout << std::left << std::setw(10) << workload << std::setw(12) << faults << std::setw(16)
              << policy << std::right << std::setw(10) << totals.requests << std::setw(10)
              << totals.served << std::setw(12) << totals.false_refusals << std::setw(12)
              << totals.false_refusals_in_faults << std::setw(12) << totals.correct_refusals
              << std::setw(11) << totals.overspend << std::setw(11) << totals.platform_calls
              << std::endl;
}

experiment_result run_seeds(const experiment_workload& workload, const sizing_policy& policy,
                            std::uint64_t first_seed, std::uint64_t seed_count)
{
    experiment_result sum;
    for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed) {
        const auto result = run_experiment(workload, policy, seed);
        sum.requests += result.requests;
        sum.served += result.served;
        sum.false_refusals += result.false_refusals;
        sum.false_refusals_in_faults += result.false_refusals_in_faults;
        sum.correct_refusals += result.correct_refusals;
        sum.overspend += result.overspend;
        sum.platform_calls += result.platform_calls;
    }
    return sum;
}

} // namespace

int main(int count, char** arguments)
{
    constexpr std::uint64_t default_seed_count = 3;
    const std::uint64_t first_seed = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
    const std::uint64_t seed_count =
        count > 2 ? std::strtoull(arguments[2], nullptr, 10) : default_seed_count;
    std::cout << "workload  faults      policy            requests    served  false ref.   "
                 "in faults  right ref.  overspend  platform\n";
    for (const auto& base : {carbones(), caroni()}) {
        for (const auto& faults :
             {fault_case{"none", false, false}, fault_case{"outage", true, false},
              fault_case{"partition", false, true}, fault_case{"both", true, true}}) {
            auto workload = base;
            if (faults.outage) {
                workload.outage_from_step = 600;
                workload.outage_to_step = 1'200;
            }
            if (faults.partition) {
                workload.partition_from_step = 1'500;
                workload.partition_to_step = 2'100;
            }
            const std::vector<std::pair<std::string, sizing_policy>> policies{
                {"equal_split", equal_split{.holders = workload.failure_domains}},
                {"thin_budgets", thin_budgets()},
                {"small_requests", small_requests()}};
            for (const auto& [name, policy] : policies) {
                print(workload.name, faults.name, name,
                      run_seeds(workload, policy, first_seed, seed_count));
            }
        }
    }
    return 0;
}
