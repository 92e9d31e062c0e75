// Two processes share one prepaid budget through an object store. In this example both run in one
// program and the store is in memory; a real program uses the conditional writes of its platform.

#include <iostream>
#include <string>

#include "dotterelport/budget/shared_budgets.hpp"
#include "dotterelport/object_store/store.hpp"

using namespace dotterelport;

namespace {

budget::shard_objects store_functions(object_store::store& store)
{
    return {.read = [&store](const std::string& key) { return store.read(key); },
            .write = [&store](const std::string& key, const std::string& value,
                              object_store::version at) { return store.write(key, value, at); }};
}

/// Runs one request and returns whether the budget allowed it.
bool run_request(budget::shared_budgets& process, int number, milliseconds now)
{
    constexpr tokens upper_bound = 500;
    constexpr tokens used = 300;
    const request_key key{"depot", "request-" + std::to_string(number)};
    const incarnation worker{"worker", 1};
    const auto result = process.reserve({.key = key,
                                         .budget = "depot-main",
                                         .upper_tokens = upper_bound,
                                         .agent = worker,
                                         .digest = "",
                                         .router = "",
                                         .now = now});
    if (result != budget::reserve_outcome::reserved) {
        return false;
    }
    request::outcome outcome;
    outcome.key = key;
    outcome.budget = "depot-main";
    outcome.agent = worker;
    outcome.charged = used;
    process.settle(outcome);
    return true;
}

} // namespace

int main()
{
    constexpr tokens prepaid = 10'000;
    object_store::store store;
    budget::shared_budgets first(store_functions(store), 0, {"first", 1}, budget::thin_budgets());
    budget::shared_budgets second(store_functions(store), 0, {"second", 1}, budget::thin_budgets());
    first.declare({.generation = 1, .budgets = {{"depot", "depot-main", prepaid}}},
                  milliseconds{0});

    int allowed = 0;
    int refused = 0;
    milliseconds now{0};
    for (int number = 0; number < 50; ++number) {
        now += milliseconds{100};
        auto& process = number % 2 == 0 ? first : second;
        ++(run_request(process, number, now) ? allowed : refused);
        process.flush(now);
    }
    first.drain(now);
    second.drain(now);

    const auto& ledger = *second.session().ledger();
    const auto& entry = ledger.budgets().at("depot-main");
    std::cout << "allowed " << allowed << ", refused " << refused << ", billed " << entry.settled
              << " of " << entry.prepaid << " tokens\n";
    return entry.settled <= prepaid && allowed > 0 && refused > 0 ? 0 : 1;
}
