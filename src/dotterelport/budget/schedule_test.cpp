#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "schedule_model.hpp"

namespace dotterelport::budget {
namespace {

/// Number of schedules that ctest runs; DOTTERELPORT_SCHEDULES overrides it.
constexpr int default_schedules = 10'000;

/// Steps of a schedule. Shorter schedules rarely include a reservation, its outcome and a later
/// crash.
constexpr std::size_t schedule_length = 160;

int schedule_count()
{
    const char* text = std::getenv("DOTTERELPORT_SCHEDULES");
    return text == nullptr ? default_schedules : std::atoi(text);
}

/// @brief Runs a schedule and completes all pending work; throws if an invariant does not hold.
template<typename Steps> void run_schedule(const sizing_policy& policy, const Steps& steps)
{
    schedule_model model(policy);
    for (const auto step : steps) {
        model.step(step);
    }
    model.finish();
}

} // namespace

// Failures by seed. 126: a closer billed a run that the holder had counted as unproved. 1433: a
// closer billed a run that another closer had counted with the remainder of the grant. 1816, 1835,
// 2266: a closer billed an attempt that may have run instead of the attempt that ran, which got no
// line. 5688: a request that the holder had billed was counted again when its agent was gone.
// 10513: a lost request was counted with more tokens than were open in its grant.
TEST_CASE("Schedules that failed in the past succeed")
{
    const auto seed = GENERATE(126U, 1433U, 1816U, 1835U, 2266U, 5688U, 10513U);
    INFO("seed " << seed);
    std::mt19937 random(seed);
    std::vector<std::uint32_t> steps(schedule_length);
    std::generate(steps.begin(), steps.end(), std::ref(random));
    CHECK_NOTHROW(run_schedule(thin_budgets(), steps));
}

TEST_CASE("No schedule of faults overspends a budget or bills a request twice")
{
    struct row {
        const char* name;
        sizing_policy policy;
        int seed;
    };
    const auto [name, policy, seed] = GENERATE(row{"thin budgets", thin_budgets(), 11},
                                               row{"small requests", small_requests(), 12});
    const std::string parameters =
        "seed=" + std::to_string(seed) + " max_success=" + std::to_string(schedule_count() / 2);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    const bool passed = rc::check(name, [policy = policy] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            schedule_length, rc::gen::arbitrary<std::uint32_t>());
        run_schedule(policy, steps);
    });
    CHECK(passed);
}

} // namespace dotterelport::budget
