#include <catch2/catch.hpp>

#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/budget/shard_session.hpp"
#include "dotterelport/budget/shared_budgets.hpp"
#include "dotterelport/object_store/store.hpp"

namespace dotterelport::budget {
namespace {

const incarnation holder{"router-a", 1};
const incarnation agent{"agent-1", 1};

declaration declare(std::uint64_t generation, tokens prepaid)
{
    return {.generation = generation, .budgets = {{"depot", "main", prepaid}}};
}

bill_batch batch_of(std::uint64_t number, tokens charged)
{
    bill_batch result{.shard = 0, .holder = holder, .number = number, .lines = {}, .unproved = {}};
    result.lines.push_back({.key = {"depot", "k" + std::to_string(number)},
                            .budget = "main",
                            .charged = charged,
                            .service = "coal-llm",
                            .agent = agent});
    return result;
}

request::outcome outcome_of(const std::string& key, tokens charged)
{
    request::outcome result;
    result.key = {"depot", key};
    result.budget = "main";
    result.charged = charged;
    result.agent = agent;
    return result;
}

/// Store that can be unavailable or apply a write without reporting its result.
struct faulty_store {
    shard_objects functions()
    {
        return {.read =
                    [this](const std::string& key) {
                        return down ? object_store::read_result{} : objects.read(key);
                    },
                .write = [this](const std::string& key, const std::string& value,
                                object_store::version store_version) -> object_store::write_result {
                    if (down) {
                        return {};
                    }
                    const auto result = objects.write(key, value, store_version);
                    return lose_answers
                               ? object_store::write_result{object_store::write_status::unknown, 0}
                               : result;
                }};
    }

    ledger_entry entry()
    {
        return parse_ledger_shard(objects.read("budget/0").value.value).budgets().at("main");
    }

    object_store::store objects;
    bool down = false;
    bool lose_answers = false;
};

reserve_outcome reserve(shared_budgets& instance, const std::string& key, tokens upper_tokens)
{
    const request_key id{"depot", key};
    return instance.reserve({.key = id,
                             .budget = "main",
                             .upper_tokens = upper_tokens,
                             .agent = agent,
                             .digest = "",
                             .router = "",
                             .now = milliseconds{0}});
}

TEST_CASE("Only a newer generation changes the prepaid amount, and grants never exceed it")
{
    struct row {
        std::uint64_t generation;
        tokens prepaid;
        tokens expected;
        tokens wanted;
        tokens granted;
    };
    const auto [generation, prepaid, expected, wanted, granted] = GENERATE(
        // A top-up, the same generation again, and an old generation that arrives late.
        row{6, 2'000, 2'000, 1'500, 1'500}, row{5, 2'000, 1'000, 1'500, 1'000},
        row{4, 10, 1'000, 1'500, 1'000},
        // Lowered below the granted amount: the grant keeps its amount and does not grow.
        row{6, 100, 100, 1'500, 600}, row{6, 0, 0, 700, 600});
    ledger_shard ledger(0);
    ledger.declare(declare(5, 1'000));
    REQUIRE(ledger.set_grant("main", holder, 600, 0) == 600);
    ledger.declare(declare(generation, prepaid));
    CHECK(ledger.find("main")->prepaid == expected);
    CHECK(ledger.set_grant("main", holder, wanted, 0) == granted);
    CHECK(ledger.find("main")->total() <= ledger.find("main")->ceiling);
    CHECK_FALSE(ledger.find("main")->stopped);
    CHECK(parse_ledger_shard(to_json(ledger).dump()) == ledger);
}

TEST_CASE("A bill batch counts once, and a batch beyond its grant stops the budget")
{
    ledger_shard ledger(0);
    ledger.declare(declare(1, 1'000));
    ledger.set_grant("main", holder, 500, 0);
    CHECK(ledger.apply_batch(batch_of(1, 200)));
    CHECK_FALSE(ledger.apply_batch(batch_of(1, 200)));
    CHECK(ledger.find("main")->settled == 200);
    CHECK(ledger.apply_batch(batch_of(2, 400)));
    CHECK(ledger.find("main")->stopped);
    CHECK(ledger.set_grant("main", {"router-b", 1}, 100, 0) == 0);
}

TEST_CASE("A voided duplicate returns its tokens once")
{
    ledger_shard ledger(0);
    ledger.declare(declare(1, 1'000));
    ledger.set_grant("main", holder, 500, 0);
    ledger.apply_batch(batch_of(1, 200));
    const void_batch voids{.shard = 0,
                           .number = 1,
                           .cursor = 9,
                           .lines = {{.key = {"depot", "k1"},
                                      .budget = "main",
                                      .charged = 200,
                                      .holder = holder,
                                      .batch = 1}}};
    CHECK(ledger.apply_voids(voids));
    CHECK_FALSE(ledger.apply_voids(voids));
    CHECK(ledger.find("main")->settled == 0);
    CHECK(ledger.find("main")->voided == 200);
}

TEST_CASE("Requests are served from the grant while the platform is down, and a top-up takes "
          "effect after the outage")
{
    faulty_store store;
    shared_budgets process(store.functions(), 0, holder, thin_budgets());
    process.declare(declare(1, 1'000), milliseconds{0});
    REQUIRE(reserve(process, "k1", 100) == reserve_outcome::reserved);
    store.down = true;
    process.declare(declare(2, 5'000), milliseconds{100});
    CHECK(reserve(process, "k2", 50) == reserve_outcome::reserved);
    CHECK(reserve(process, "k3", 2'000) == reserve_outcome::insufficient_tokens);
    process.settle(outcome_of("k1", 80));
    CHECK(process.flush(milliseconds{200}) == round_outcome::unavailable);
    store.down = false;
    CHECK(process.flush(milliseconds{300}) == round_outcome::complete);
    CHECK(store.entry().settled == 80);
    CHECK(reserve(process, "k3", 2'000) == reserve_outcome::reserved);
}

TEST_CASE("After a workspace is removed, it gets no grants, its running request settles and its "
          "grant is removed")
{
    faulty_store store;
    shared_budgets process(store.functions(), 0, holder, thin_budgets());
    process.declare(declare(1, 1'000), milliseconds{0});
    REQUIRE(reserve(process, "k1", 100) == reserve_outcome::reserved);
    process.declare({.generation = 2, .budgets = {}}, milliseconds{100});
    CHECK(store.entry().open() == 100);
    CHECK(reserve(process, "k2", 100) == reserve_outcome::insufficient_tokens);
    process.settle(outcome_of("k1", 70));
    process.flush(milliseconds{200});
    CHECK(store.entry().settled == 70);
    CHECK(store.entry().grants.empty());
}

TEST_CASE("Writes whose answers are lost take effect once")
{
    faulty_store store;
    shared_budgets process(store.functions(), 0, holder, thin_budgets());
    process.declare(declare(1, 1'000), milliseconds{0});
    store.lose_answers = true;
    REQUIRE(reserve(process, "k1", 100) == reserve_outcome::reserved);
    process.settle(outcome_of("k1", 60));
    process.flush(milliseconds{100});
    process.flush(milliseconds{200});
    CHECK(store.entry().settled == 60);
}

TEST_CASE("A paused holder that resumes after it was closed cannot write")
{
    faulty_store store;
    shared_budgets process(store.functions(), 0, holder, thin_budgets());
    process.declare(declare(1, 1'000), milliseconds{0});
    REQUIRE(reserve(process, "k1", 100) == reserve_outcome::reserved);
    const auto object = store.objects.read("budget/0");
    auto ledger = parse_ledger_shard(object.value.value);
    ledger.mark_closed(holder);
    ledger.remove_grant("main", holder);
    store.objects.write("budget/0", to_json(ledger).dump(), object.value.object_version);
    process.settle(outcome_of("k1", 60));
    CHECK(process.flush(milliseconds{100}) == round_outcome::closed);
    CHECK(store.entry().settled == 0);
    CHECK(reserve(process, "k2", 900) == reserve_outcome::insufficient_tokens);
}

} // namespace
} // namespace dotterelport::budget
