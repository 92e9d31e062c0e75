#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "dotterelport/budget/grant_holder.hpp"

namespace {

using namespace dotterelport;

constexpr tokens amount_per_budget = 1'000'000'000;
constexpr tokens upper_bound = 600;
constexpr tokens charged_tokens = 120;
constexpr std::size_t prepared_requests = 4'096;

/// Reserves and settles one request per iteration, over all budgets in turn. Bill lines are sealed
/// outside the timed part, as a flush does.
void reserve_and_settle(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    budget::grant_holder holder;
    std::vector<std::string> budgets;
    for (std::size_t i = 0; i < count; ++i) {
        budgets.push_back("workspace-" + std::to_string(i) + "-main");
        holder.account(budgets.back()).amount = amount_per_budget;
    }
    const incarnation agent{"agent-17", 3};
    const std::string digest(32, 'a');
    std::vector<request::outcome> requests(prepared_requests);
    for (std::size_t i = 0; i < requests.size(); ++i) {
        requests[i].budget = budgets[i * 7 % count];
        requests[i].agent = agent;
        requests[i].charged = charged_tokens;
    }
    std::size_t index = 0;
    std::size_t serial = 0;
    for (auto _ : state) {
        if (index == 0) {
            state.PauseTiming();
            for (auto& outcome : requests) {
                const std::string number = std::to_string(++serial);
                outcome.key = {"workspace", "01234567-89ab-cdef-" + number};
            }
            while (holder.seal(0, {"router-1", 1}).has_value()) {
            }
            holder.mark_durable(holder.last_batch());
            state.ResumeTiming();
        }
        const auto& outcome = requests[index];
        const auto result = holder.reserve({.key = outcome.key,
                                            .budget = outcome.budget,
                                            .upper_tokens = upper_bound,
                                            .agent = agent,
                                            .digest = digest,
                                            .router = "router-1#1",
                                            .now = milliseconds{0}});
        benchmark::DoNotOptimize(result);
        benchmark::DoNotOptimize(holder.settle(outcome));
        index = (index + 1) % requests.size();
    }
}

BENCHMARK(reserve_and_settle)->Arg(10)->Arg(1'000)->Arg(16'000);

} // namespace
