#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "schedule_model.hpp"

namespace dotterelport::budget {
namespace {

/// Schedules that run within ctest; DOTTERELPORT_SCHEDULES sets another number.
constexpr int default_schedules = 10'000;

/// Steps of a schedule. Shorter ones rarely get from a reservation to a death after its outcome.
constexpr std::size_t schedule_length = 160;

int schedules()
{
    const char* text = std::getenv("DOTTERELPORT_SCHEDULES");
    return text == nullptr ? default_schedules : std::atoi(text);
}

} // namespace

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
        "seed=" + std::to_string(seed) + " max_success=" + std::to_string(schedules() / 2);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    const bool passed = rc::check(name, [policy = policy] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            schedule_length, rc::gen::arbitrary<std::uint32_t>());
        schedule_model model(policy);
        for (const auto step : steps) {
            model.step(step);
        }
        model.finish();
    });
    CHECK(passed);
}

} // namespace dotterelport::budget
