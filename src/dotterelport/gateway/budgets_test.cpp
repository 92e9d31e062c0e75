#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "budget_fixture.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;
using test::description_of;
using test::node;
using test::with_prepaid;
using fixture = test::budget_fixture;

TEST_CASE("A request that the budget covers is reserved, one that it does not is refused")
{
    fixture budgets;
    budgets.add_nodes(1, 10'000);
    CHECK(budgets.reserve(*budgets.nodes[0], 9'000) == reservation_outcome::reserved);
    CHECK(budgets.reserve(*budgets.nodes[0], 2'000) == reservation_outcome::exhausted);
    CHECK(budgets.reserve(*budgets.nodes[0], 1'000) == reservation_outcome::reserved);
}

TEST_CASE("A request is reserved again after a top-up of an exhausted budget")
{
    fixture budgets;
    budgets.add_nodes(1, 10'000);
    CHECK(budgets.reserve(*budgets.nodes[0], 10'000) == reservation_outcome::reserved);
    CHECK(budgets.reserve(*budgets.nodes[0], 10'000) == reservation_outcome::exhausted);
    budgets.nodes[0]->keeper.declare(with_prepaid(2, 20'000));
    budgets.loop.run_for(200ms);
    CHECK(budgets.reserve(*budgets.nodes[0], 10'000) == reservation_outcome::reserved);
}

TEST_CASE("Tokens that a request did not use can be reserved again")
{
    fixture budgets;
    budgets.add_nodes(1, 10'000);
    std::uint64_t number = 0;
    budgets.reserve(*budgets.nodes[0], 10'000, &number);
    const auto [ran, prompt, output, remaining] = GENERATE(table<verdict, tokens, tokens, tokens>({
        {verdict::not_run, 0, 0, 10'000},
        {verdict::ran, 3'000, 1'000, 6'000},
        {verdict::may_have_run, 3'000, 0, 7'000},
    }));
    budgets.nodes[0]->broker.settle(number, ran, prompt, output);
    CHECK(budgets.reserve(*budgets.nodes[0], remaining + 1) != reservation_outcome::reserved);
    CHECK(budgets.reserve(*budgets.nodes[0], remaining) == reservation_outcome::reserved);
}

TEST_CASE("Gateways that can reach each other use the grants of one owner")
{
    fixture budgets;
    budgets.add_nodes(3, 1'000'000);
    budgets.connect();
    for (auto& item : budgets.nodes) {
        std::uint64_t number = 0;
        CHECK(budgets.reserve(*item, 5'000, &number) == reservation_outcome::reserved);
        item->broker.settle(number, verdict::ran, 4'000, 500);
    }
    budgets.loop.run_for(50ms);
    int writers = 0;
    for (auto& item : budgets.nodes) {
        writers += item->objects.writes > 0 ? 1 : 0;
        CHECK(item->broker.dump().at("lent") == 0);
        CHECK(item->broker.dump().at("unconfirmed_settlements") == 0);
    }
    CHECK(writers == 1);
}

TEST_CASE("A stopping gateway lends no more tokens and waits until lent tokens are settled")
{
    fixture budgets;
    budgets.add_nodes(2, 1'000'000);
    budgets.connect();
    std::uint64_t number = 0;
    budgets.reserve(*budgets.nodes[0], 1'000, &number);
    const bool first_owns = budgets.nodes[0]->objects.writes > 0;
    auto& owner = *budgets.nodes[first_owns ? 0 : 1];
    auto& other = *budgets.nodes[first_owns ? 1 : 0];
    std::uint64_t lent = 0;
    CHECK(budgets.reserve(other, 1'000, &lent) == reservation_outcome::reserved);
    CHECK(owner.broker.is_busy());
    owner.link.leave();
    budgets.loop.run_for(20ms);
    CHECK_FALSE(other.link.is_live(owner.link.node()));
    CHECK(budgets.reserve(other, 1'000) == reservation_outcome::reserved);
    CHECK(other.objects.writes > 0);
    other.broker.settle(lent, verdict::ran, 500, 0);
    budgets.nodes[0]->broker.settle(number, verdict::ran, 500, 0);
    budgets.loop.run_for(50ms);
    CHECK_FALSE(owner.broker.is_busy());
    owner.link.set_peer(description_of(other));
    // The next run of the node is live again once its messages arrive.
    peer_link next(budgets.loop,
                   {.node = owner.link.node(), .address = {"127.0.0.1", 0}, .failure_domain = "a"});
    next.set_peer(description_of(other));
    next.broadcast(peer_message_kind::load, json::array());
    budgets.loop.run_for(20ms);
    CHECK(other.link.is_live(owner.link.node()));
}

TEST_CASE("A gateway whose owner is gone reserves from its own grants within the time limit")
{
    fixture budgets;
    budgets.add_nodes(2, 1'000'000);
    budgets.connect();
    for (int attempt = 0; attempt < 2; ++attempt) {
        if (budgets.reserve(*budgets.nodes[0], 1'000) != reservation_outcome::reserved) {
            FAIL("not reserved");
        }
    }
    const bool first_owns = budgets.nodes[0]->objects.writes > 0;
    auto& survivor = *budgets.nodes[first_owns ? 1 : 0];
    // The removed owner does not answer, but still counts as live because its last message is
    // recent.
    budgets.nodes[first_owns ? 0 : 1].reset();
    const milliseconds began = steady_now();
    CHECK(budgets.reserve(survivor, 1'000) == reservation_outcome::reserved);
    CHECK(steady_now() - began < 400ms);
    CHECK(survivor.objects.writes > 0);
}

TEST_CASE("While the store is unavailable, a request waits for a grant no longer than the limit")
{
    fixture budgets;
    budgets.add_nodes(1, 1'000'000);
    budgets.nodes[0]->objects.reachable = false;
    const milliseconds began = steady_now();
    CHECK(budgets.reserve(*budgets.nodes[0], 1'000) == reservation_outcome::no_grant);
    CHECK(steady_now() - began < 500ms);
}

TEST_CASE("While the store is unavailable, requests are refused at once and retries are rare")
{
    fixture budgets;
    budgets.add_nodes(1, 1'000'000);
    auto& only = *budgets.nodes[0];
    only.objects.reachable = false;
    budgets.reserve(only, 1'000);
    const int calls = only.objects.reads;
    const milliseconds began = steady_now();
    for (int i = 0; i < 20; ++i) {
        CHECK(budgets.reserve(only, 1'000) == reservation_outcome::no_grant);
    }
    CHECK(steady_now() - began < 50ms);
    budgets.loop.run_for(2s);
    CHECK(only.objects.reads - calls <= 6);
    only.objects.reachable = true;
    budgets.loop.run_for(1'200ms);
    CHECK(budgets.reserve(only, 1'000) == reservation_outcome::reserved);
}

TEST_CASE("Shards with nothing to write do not prevent retries of the store")
{
    // Workspaces of several shards, all but one of which are inactive.
    fixture budgets;
    budgets.add_nodes(1, 1'000'000);
    auto& only = *budgets.nodes[0];
    service_catalogue::builder builder(2);
    for (int i = 0; i < 12; ++i) {
        builder.add(workspace{
            .name = "w" + std::to_string(i), .keys = {}, .priority = {}, .prepaid = 1'000'000});
    }
    only.keeper.declare(builder.build());
    for (int i = 0; i < 12; ++i) {
        only.keeper.reserve("w" + std::to_string(i), "first", 100, [](reservation_outcome) {});
    }
    budgets.loop.run_for(300ms);
    only.objects.reachable = false;
    only.keeper.reserve("w0", "second", 500'000, [](reservation_outcome) {});
    budgets.loop.run_for(1s);
    only.objects.reachable = true;
    budgets.loop.run_for(1'500ms);
    std::optional<reservation_outcome> result;
    only.keeper.reserve("w0", "third", 500'000,
                        [&](reservation_outcome outcome) { result = outcome; });
    budgets.loop.run_for(200ms);
    CHECK(result == reservation_outcome::reserved);
}

TEST_CASE("A gateway that uses no budget of a shard writes nothing when the totals change")
{
    fixture budgets;
    budgets.add_nodes(1, 1'000'000);
    for (std::uint64_t version = 2; version < 6; ++version) {
        budgets.nodes[0]->keeper.declare(with_prepaid(version, 1'000'000));
        budgets.loop.run_for(150ms);
    }
    CHECK(budgets.nodes[0]->objects.writes == 0);
    CHECK(budgets.nodes[0]->objects.reads == 0);
}

TEST_CASE("A drained gateway leaves no open grants")
{
    fixture budgets;
    budgets.add_nodes(1, 1'000'000);
    std::uint64_t number = 0;
    budgets.reserve(*budgets.nodes[0], 5'000, &number);
    budgets.nodes[0]->broker.settle(number, verdict::ran, 4'000, 0);
    bool drained = false;
    budgets.nodes[0]->keeper.drain([&] {
        drained = true;
        budgets.loop.stop();
    });
    budgets.loop.run_for(1s);
    CHECK(drained);
    for (const auto& object : budgets.store.list("budget/", 0).objects) {
        const auto ledger = budget::parse_ledger_shard(object.value);
        const auto* entry = ledger.find("w");
        if (entry != nullptr) {
            CHECK(entry->open() == 0);
            CHECK(entry->settled == 4'000);
        }
    }
}

TEST_CASE("Gateways of a large fleet use one owner, also if they are in other groups")
{
    fixture budgets;
    budgets.add_nodes(24, 10'000'000, {.max_group_size = 8});
    budgets.connect();
    for (auto& item : budgets.nodes) {
        std::uint64_t number = 0;
        CHECK(budgets.reserve(*item, 5'000, &number) == reservation_outcome::reserved);
        item->broker.settle(number, verdict::ran, 4'000, 500);
    }
    int writers = 0;
    for (auto& item : budgets.nodes) {
        writers += item->objects.writes > 0 ? 1 : 0;
    }
    CHECK(writers == 1);
}

// Fails beside load, see KNOWN-RED.txt: the owner's own request waits for less time than the
// others.
TEST_CASE("While the owner waits for a slow store, others wait for it and open no grants",
          "[!mayfail]")
{
    fixture budgets;
    budgets.add_nodes(24, 10'000'000, {.max_group_size = 8});
    budgets.connect();
    for (auto& item : budgets.nodes) {
        item->objects.delay = 120ms;
    }
    std::vector<std::optional<reservation_outcome>> results(budgets.nodes.size());
    for (std::size_t i = 0; i < budgets.nodes.size(); ++i) {
        budgets.nodes[i]->broker.reserve(
            "w", 1'000, [&results, i](reservation_outcome outcome) { results[i] = outcome; });
    }
    budgets.loop.run_for(440ms);
    int writers = 0;
    for (std::size_t i = 0; i < budgets.nodes.size(); ++i) {
        CHECK(results[i] == reservation_outcome::reserved);
        writers += budgets.nodes[i]->objects.writes > 0 ? 1 : 0;
    }
    CHECK(writers == 1);
}

TEST_CASE("After one failed call, the ledger is read again at once over another path")
{
    fixture budgets;
    budgets.add_nodes(1, 1'000'000);
    auto& only = *budgets.nodes[0];
    only.objects.reachable = false;
    std::optional<reservation_outcome> result;
    only.broker.reserve("w", 1'000, [&](reservation_outcome outcome) { result = outcome; });
    budgets.loop.schedule(30ms, [&] { only.objects.reachable = true; });
    only.objects.delay = 20ms;
    budgets.loop.run_for(200ms);
    CHECK(result == reservation_outcome::reserved);
}

TEST_CASE("A request that waits for an owner that stops is reserved at the next owner")
{
    fixture budgets;
    budgets.add_nodes(24, 10'000'000, {.max_group_size = 8});
    budgets.connect();
    std::uint64_t first = 0;
    REQUIRE(budgets.reserve(*budgets.nodes[0], 1'000, &first) == reservation_outcome::reserved);
    budgets.nodes[0]->broker.settle(first, verdict::ran, 500, 0);
    const auto owner = std::find_if(budgets.nodes.begin(), budgets.nodes.end(),
                                    [](const auto& item) { return item->objects.writes > 0; });
    REQUIRE(owner != budgets.nodes.end());
    auto& asking = *(owner == budgets.nodes.begin() ? budgets.nodes.back() : budgets.nodes.front());
    std::optional<reservation_outcome> result;
    // The reserve message and the announcement of the stop cross.
    asking.broker.reserve("w", 1'000, [&](reservation_outcome outcome) { result = outcome; });
    (*owner)->link.leave();
    budgets.loop.run_for(100ms);
    CHECK(result == reservation_outcome::reserved);
    CHECK_FALSE((*owner)->broker.is_busy());
}

TEST_CASE("Gateways that disagree about the owner never reserve more than is prepaid")
{
    constexpr tokens prepaid = 300'000;
    const auto seed = GENERATE(range(1, 7));
    fixture budgets;
    budgets.add_nodes(6, prepaid, {.max_group_size = 2, .first_suspicion = 40ms});
    budgets.connect();
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto draw = [&](std::size_t end) {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random);
    };
    tokens used = 0;
    for (int step = 0; step < 60; ++step) {
        auto& from = *budgets.nodes[draw(6)];
        auto& other = *budgets.nodes[draw(6)];
        if (draw(2) == 0) {
            from.link.mark_silent(other.link.node());
        }
        if (draw(20) == 0) {
            other.link.leave();
        }
        from.objects.late_share = draw(3) == 0 ? 0.3 : 0;
        budgets.loop.run_for(milliseconds{static_cast<std::int64_t>(draw(30))});
        const auto upper = static_cast<tokens>(1'000 + draw(12'000));
        std::uint64_t number = 0;
        if (budgets.reserve(from, upper, &number) == reservation_outcome::reserved) {
            const tokens spent = draw(3) == 0 ? upper : upper / 2;
            used += spent;
            from.broker.settle(number, verdict::ran, spent, 0);
        }
    }
    CAPTURE(seed);
    CHECK(used <= prepaid);
    CHECK(budgets.outcomes[reservation_outcome::reserved] > 5);
}

TEST_CASE("Lost answers, outages and late writes never let gateways reserve more than is prepaid")
{
    constexpr tokens prepaid = 200'000;
    const auto seed = GENERATE(range(1, 9));
    fixture budgets;
    budgets.add_nodes(3, prepaid);
    budgets.connect();
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto draw = [&](int end) {
        return std::uniform_int_distribution<int>(0, end - 1)(random);
    };
    tokens used = 0;
    for (int step = 0; step < 60; ++step) {
        auto& from = *budgets.nodes[static_cast<std::size_t>(draw(3))];
        from.objects.reachable = draw(5) != 0;
        from.objects.late_share = draw(3) == 0 ? 0.3 : 0;
        // A gateway that found the store unavailable refuses requests immediately until its next
        // retry.
        budgets.loop.run_for(milliseconds{draw(50)});
        if (draw(4) == 0) {
            budgets.connect();
        }
        const tokens upper = 1'000 + draw(12'000);
        std::uint64_t number = 0;
        if (budgets.reserve(from, upper, &number) == reservation_outcome::reserved) {
            const tokens spent = draw(3) == 0 ? upper : upper / 2;
            used += spent;
            from.broker.settle(number, verdict::ran, spent, 0);
        }
    }
    CAPTURE(seed);
    CHECK(used <= prepaid);
    CHECK(budgets.outcomes[reservation_outcome::reserved] > 5);
}

/// Gateways whose store can come back from an older copy.
struct restored_fixture : fixture {
    static constexpr tokens prepaid = 100'000;
    /// Longer than the time in which the ledger is recovered and requests are served again.
    static constexpr milliseconds recovery_time{4'000};
    object_store::store copy;
    tokens used = 0;

    explicit restored_fixture(int count)
    {
        era = 1;
        add_nodes(count, prepaid);
        for (auto& item : nodes) {
            item->broker.begin_era(era);
        }
        connect();
    }

    void save_copy() { copy = store; }

    /// Replaces the objects by those of the copy; the gateways notice it with their next call.
    void restore_copy()
    {
        store = copy;
        ++era;
        for (auto& item : nodes) {
            if (item != nullptr && item->objects.reachable) {
                item->broker.begin_era(era);
            }
        }
    }

    /// Uses tokens of the workspace at a gateway.
    bool use(node& from, tokens amount)
    {
        std::uint64_t number = 0;
        if (reserve(from, amount, &number) != reservation_outcome::reserved) {
            return false;
        }
        from.broker.settle(number, verdict::ran, amount, 0);
        used += amount;
        return true;
    }

    /// Keeps the other gateways in contact, as their load messages do.
    void run_for(milliseconds time)
    {
        const milliseconds end = steady_now() + time;
        while (steady_now() < end) {
            for (auto& item : nodes) {
                if (item != nullptr) {
                    item->link.broadcast(peer_message_kind::load, json::array());
                }
            }
            loop.run_for(100ms);
        }
    }

    /// Uses all tokens that the gateways still reserve.
    void use_up()
    {
        constexpr tokens request = 1'000;
        for (int refused = 0; refused < 3;) {
            const tokens before = used;
            for (auto& item : nodes) {
                if (item != nullptr) {
                    use(*item, request);
                }
            }
            refused = used == before ? refused + 1 : 0;
            run_for(300ms);
        }
    }

    /// Tokens that the bills in the store charge; a bill that is stored twice counts twice.
    [[nodiscard]] tokens billed() const
    {
        tokens result = 0;
        for (const auto& object : store.list("bill/", 0).objects) {
            result += budget::charged_to(budget::parse_bill_batch(object.value), "w");
        }
        return result;
    }

    [[nodiscard]] std::optional<budget::ledger_entry> entry() const
    {
        for (const auto& object : store.list("budget/", 0).objects) {
            const auto ledger = budget::parse_ledger_shard(object.value);
            if (const auto* found = ledger.find("w")) {
                return *found;
            }
        }
        return std::nullopt;
    }

    /// Number of the living gateway at a place in the ranking of the workspace's shard.
    std::size_t at_position(std::size_t position)
    {
        const auto found = std::find_if(nodes.begin(), nodes.end(), [&](const auto& item) {
            return item != nullptr && item->link.position(ledger_shard_of("w")) == position;
        });
        REQUIRE(found != nodes.end());
        return static_cast<std::size_t>(found - nodes.begin());
    }

    /// Loses all messages between a gateway and the others from now on.
    void cut_off(std::size_t number)
    {
        // Nothing listens at the discard port.
        const net::endpoint nowhere{"127.0.0.1", 9};
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i] == nullptr || i == number) {
                continue;
            }
            auto description = description_of(*nodes[i]);
            description.address = nowhere;
            nodes[number]->link.set_peer(description);
            description = description_of(*nodes[number]);
            description.address = nowhere;
            nodes[i]->link.set_peer(description);
        }
    }

    /// Number of the gateway that owns the workspace's shard.
    std::size_t owner()
    {
        const auto found = std::find_if(nodes.begin(), nodes.end(), [this](const auto& item) {
            return item != nullptr && item->link.owner(ledger_shard_of("w")) == item->link.node();
        });
        REQUIRE(found != nodes.end());
        return static_cast<std::size_t>(found - nodes.begin());
    }
};

/// Longer than the interval at which usage is written to the ledger.
constexpr milliseconds flush_time{5'600};

/// What happens around the return of the store from an older copy.
enum class around_restore {
    nothing,
    owner_killed_before,
    owner_cut_off,
    all_restarted_after,
    twice,
};

TEST_CASE("Budgets that the store has lost a part of are recovered and never overspent")
{
    const auto around = GENERATE(around_restore::nothing, around_restore::owner_killed_before,
                                 around_restore::owner_cut_off, around_restore::all_restarted_after,
                                 around_restore::twice);
    CAPTURE(static_cast<int>(around));
    restored_fixture budgets(3);
    auto& first = *budgets.nodes[0];
    REQUIRE(budgets.use(first, 3'000));
    budgets.run_for(flush_time);
    budgets.save_copy();
    for (int i = 0; i < 20; ++i) {
        REQUIRE(budgets.use(first, 1'000));
    }
    budgets.run_for(flush_time);
    for (int i = 0; i < 10; ++i) {
        REQUIRE(budgets.use(first, 1'000));
    }
    const std::size_t owner = budgets.owner();
    if (around == around_restore::owner_killed_before) {
        budgets.nodes[owner].reset();
        budgets.run_for(1s);
    }
    if (around == around_restore::owner_cut_off) {
        budgets.nodes[owner]->objects.reachable = false;
    }
    budgets.restore_copy();
    if (around == around_restore::all_restarted_after) {
        budgets.nodes.clear();
        budgets.add_nodes(3, restored_fixture::prepaid);
        for (auto& item : budgets.nodes) {
            item->broker.begin_era(budgets.era);
        }
        budgets.connect();
    }
    budgets.run_for(restored_fixture::recovery_time);
    if (around == around_restore::twice) {
        budgets.restore_copy();
        budgets.run_for(restored_fixture::recovery_time);
    }
    if (around == around_restore::owner_cut_off) {
        budgets.nodes[owner]->objects.reachable = true;
        budgets.nodes[owner]->broker.begin_era(budgets.era);
    }
    const tokens used_before = budgets.used;
    budgets.use_up();
    CHECK(budgets.used <= restored_fixture::prepaid);
    CHECK(budgets.used > used_before + 10'000);
    const auto entry = budgets.entry();
    REQUIRE(entry);
    CHECK_FALSE(entry->stopped);
}

// Guards against a gateway that read the ledger long ago and recovers it from that state, before
// those that have the last one: what was used since would be granted again.
TEST_CASE("A gateway with an old state of the ledger does not recover it as the newest one")
{
    const bool are_all_others_killed = GENERATE(false, true);
    CAPTURE(are_all_others_killed);
    constexpr int gateways = 10;
    restored_fixture budgets(gateways);
    const auto shard = ledger_shard_of("w");
    budgets.save_copy();
    std::size_t last = 0;
    for (std::size_t i = 0; i < budgets.nodes.size(); ++i) {
        if (budgets.nodes[i]->link.position(shard) == gateways - 1) {
            last = i;
        }
    }
    auto& outsider = *budgets.nodes[last];
    outsider.keeper.reserve("w", "own", 1'000, [](reservation_outcome /*outcome*/) {});
    budgets.run_for(500ms);
    outsider.keeper.settle("w", "own", verdict::ran, 1'000, 0);
    budgets.used += 1'000;
    budgets.run_for(flush_time);
    auto& owner = *budgets.nodes[budgets.owner()];
    REQUIRE(&owner != &outsider);
    for (int i = 0; i < 14; ++i) {
        REQUIRE(budgets.use(owner, 5'000));
        budgets.run_for(100ms);
    }
    budgets.run_for(500ms);
    for (std::size_t i = 0; i < budgets.nodes.size(); ++i) {
        const std::size_t position = budgets.nodes[i]->link.position(shard);
        if (position == 0 || (are_all_others_killed && i != last)) {
            budgets.nodes[i].reset();
        }
    }
    budgets.store = budgets.copy;
    ++budgets.era;
    outsider.broker.begin_era(budgets.era);
    budgets.run_for(600ms);
    for (auto& item : budgets.nodes) {
        if (item != nullptr && item.get() != &outsider) {
            item->broker.begin_era(budgets.era);
        }
    }
    budgets.run_for(restored_fixture::recovery_time);
    budgets.use_up();
    CHECK(budgets.used <= restored_fixture::prepaid);
}

// Guards against a gateway that takes its old state of the ledger for one with all writes, because
// it no longer hears those that are ahead of it: they are dead, or it is cut off from them.
TEST_CASE("A gateway that has just become an owner does not recover an old state of the ledger")
{
    const int gateways = GENERATE(5, 7, 10);
    const bool is_cut_off = GENERATE(false, true);
    CAPTURE(gateways, is_cut_off);
    restored_fixture budgets(gateways);
    const auto shard = ledger_shard_of("w");
    budgets.save_copy();
    const std::size_t last = budgets.at_position(static_cast<std::size_t>(gateways) - 1);
    auto& outsider = *budgets.nodes[last];
    outsider.keeper.reserve("w", "own", 1'000, [](reservation_outcome /*outcome*/) {});
    budgets.run_for(500ms);
    outsider.keeper.settle("w", "own", verdict::ran, 1'000, 0);
    budgets.used += 1'000;
    budgets.run_for(flush_time);
    const std::size_t first = budgets.at_position(0);
    for (int i = 0; i < 14; ++i) {
        REQUIRE(budgets.use(*budgets.nodes[first], 5'000));
        budgets.run_for(100ms);
    }
    budgets.run_for(500ms);
    if (is_cut_off) {
        budgets.cut_off(last);
    } else {
        for (std::size_t i = 0; i < budgets.nodes.size(); ++i) {
            if (i != last) {
                budgets.nodes[i].reset();
            }
        }
    }
    budgets.run_for(1s);
    REQUIRE(outsider.link.owner(shard) == outsider.link.node());
    budgets.nodes[first].reset();
    budgets.restore_copy();
    budgets.run_for(restored_fixture::recovery_time);
    budgets.use_up();
    CHECK(budgets.used <= restored_fixture::prepaid);
}

// Guards against a gateway of a small fleet that is cut off from the others, gets no copies, and
// recovers the ledger from its old state as if it were the owner.
TEST_CASE("A standby that got no copies does not recover an old state of the ledger")
{
    constexpr int gateways = 3;
    restored_fixture budgets(gateways);
    const auto shard = ledger_shard_of("w");
    const std::size_t first = budgets.at_position(0);
    const std::size_t last = budgets.at_position(gateways - 1);
    REQUIRE(budgets.use(*budgets.nodes[first], 1'000));
    budgets.run_for(flush_time);
    budgets.save_copy();
    REQUIRE(budgets.use(*budgets.nodes[first], 1'000));
    budgets.run_for(flush_time);
    budgets.cut_off(last);
    for (int i = 0; i < 14; ++i) {
        REQUIRE(budgets.use(*budgets.nodes[first], 5'000));
        budgets.run_for(100ms);
    }
    budgets.run_for(500ms);
    auto& outsider = *budgets.nodes[last];
    REQUIRE(outsider.link.owner(shard) == outsider.link.node());
    budgets.nodes[first].reset();
    budgets.store = budgets.copy;
    ++budgets.era;
    outsider.broker.begin_era(budgets.era);
    budgets.run_for(100ms);
    budgets.nodes[budgets.at_position(1)]->broker.begin_era(budgets.era);
    budgets.run_for(restored_fixture::recovery_time);
    budgets.use_up();
    CHECK(budgets.used <= restored_fixture::prepaid);
}

// Guards against tokens that a gateway withholds although gateways that it reaches know the ledger:
// those are cut off from the store, and it reads the ledger first.
TEST_CASE("A gateway with an old state of the ledger gets the newest one from those it reaches")
{
    constexpr int gateways = 10;
    constexpr std::size_t cut_off = 4;
    restored_fixture budgets(gateways);
    budgets.save_copy();
    auto& outsider = *budgets.nodes[budgets.at_position(gateways - 1)];
    outsider.keeper.reserve("w", "own", 1'000, [](reservation_outcome /*outcome*/) {});
    budgets.run_for(500ms);
    outsider.keeper.settle("w", "own", verdict::ran, 1'000, 0);
    budgets.used += 1'000;
    budgets.run_for(flush_time);
    auto& owner = *budgets.nodes[budgets.owner()];
    for (int i = 0; i < 10; ++i) {
        REQUIRE(budgets.use(owner, 5'000));
        budgets.run_for(100ms);
    }
    budgets.run_for(flush_time);
    for (std::size_t position = 0; position < cut_off; ++position) {
        budgets.nodes[budgets.at_position(position)]->objects.reachable = false;
    }
    budgets.restore_copy();
    budgets.run_for(restored_fixture::recovery_time);
    for (std::size_t position = 0; position < cut_off; ++position) {
        auto& item = *budgets.nodes[budgets.at_position(position)];
        item.objects.reachable = true;
        item.broker.begin_era(budgets.era);
    }
    budgets.run_for(restored_fixture::recovery_time);
    budgets.use_up();
    CHECK(budgets.used <= restored_fixture::prepaid);
    CHECK(budgets.used > restored_fixture::prepaid * 9 / 10);
}

// Guards against gateways that decide by what they heard when the store's first answer came: after
// an outage of the whole network, each of them takes itself for the owner then.
TEST_CASE("A ledger is recovered by those that know it after all gateways were cut off")
{
    constexpr int gateways = 10;
    restored_fixture budgets(gateways);
    const auto shard = ledger_shard_of("w");
    budgets.save_copy();
    const std::size_t last = budgets.at_position(gateways - 1);
    auto& outsider = *budgets.nodes[last];
    outsider.keeper.reserve("w", "own", 1'000, [](reservation_outcome /*outcome*/) {});
    budgets.run_for(500ms);
    outsider.keeper.settle("w", "own", verdict::ran, 1'000, 0);
    budgets.used += 1'000;
    budgets.run_for(flush_time);
    const std::size_t first = budgets.at_position(0);
    for (int i = 0; i < 14; ++i) {
        REQUIRE(budgets.use(*budgets.nodes[first], 5'000));
        budgets.run_for(100ms);
    }
    budgets.run_for(flush_time);
    // No gateway hears another one.
    budgets.loop.run_for(8s);
    REQUIRE(outsider.link.owner(shard) == outsider.link.node());
    budgets.nodes[first].reset();
    budgets.store = budgets.copy;
    ++budgets.era;
    outsider.broker.begin_era(budgets.era);
    budgets.run_for(100ms);
    for (auto& item : budgets.nodes) {
        if (item != nullptr && item.get() != &outsider) {
            item->broker.begin_era(budgets.era);
        }
    }
    budgets.run_for(restored_fixture::recovery_time);
    budgets.use_up();
    CHECK(budgets.used <= restored_fixture::prepaid);
    CHECK(budgets.used > restored_fixture::prepaid * 9 / 10);
}

// Guards against a gateway that takes itself for cut off while others stop, as in a rolling
// restart: it would withhold tokens that it knows to be unused.
TEST_CASE("Tokens are not withheld because other gateways stop")
{
    restored_fixture budgets(5);
    const std::size_t owner = budgets.owner();
    REQUIRE(budgets.use(*budgets.nodes[owner], 3'000));
    budgets.run_for(flush_time);
    budgets.save_copy();
    for (int i = 0; i < 10; ++i) {
        REQUIRE(budgets.use(*budgets.nodes[owner], 1'000));
    }
    budgets.run_for(flush_time);
    std::vector<std::size_t> stopping;
    for (std::size_t i = 0; i < budgets.nodes.size() && stopping.size() < 3; ++i) {
        if (i != owner) {
            budgets.nodes[i]->link.leave();
            stopping.push_back(i);
        }
    }
    budgets.loop.run_for(50ms);
    for (const std::size_t i : stopping) {
        budgets.nodes[i].reset();
    }
    budgets.run_for(1s);
    budgets.restore_copy();
    budgets.run_for(restored_fixture::recovery_time);
    budgets.use_up();
    CHECK(budgets.used <= restored_fixture::prepaid);
    CHECK(budgets.used > restored_fixture::prepaid * 9 / 10);
}

TEST_CASE("Bills that the store has lost are written again, each once")
{
    restored_fixture budgets(1);
    auto& only = *budgets.nodes[0];
    REQUIRE(budgets.use(only, 1'000));
    budgets.run_for(flush_time);
    budgets.save_copy();
    REQUIRE(budgets.use(only, 2'000));
    budgets.run_for(flush_time);
    REQUIRE(budgets.billed() == 3'000);
    budgets.restore_copy();
    REQUIRE(budgets.billed() == 1'000);
    budgets.run_for(restored_fixture::recovery_time);
    REQUIRE(budgets.use(only, 4'000));
    budgets.run_for(flush_time);
    CHECK(budgets.billed() == 7'000);
    const auto entry = budgets.entry();
    REQUIRE(entry);
    CHECK(entry->settled == 7'000);
}

TEST_CASE("A ledger of a version that knew no eras is used as it is")
{
    restored_fixture budgets(1);
    REQUIRE(budgets.use(*budgets.nodes[0], 1'000));
    budgets.run_for(flush_time);
    for (const auto& object : budgets.store.list("budget/", 0).objects) {
        auto document = json::parse(object.value);
        document.erase("era");
        document.erase("last_batches");
        budgets.store.write(object.key, document.dump(), object.object_version);
    }
    budgets.nodes.clear();
    budgets.add_nodes(1, restored_fixture::prepaid);
    budgets.nodes[0]->broker.begin_era(budgets.era);
    budgets.use_up();
    CHECK(budgets.used <= restored_fixture::prepaid);
    CHECK(budgets.used > restored_fixture::prepaid * 9 / 10);
}

} // namespace
} // namespace dotterelport::gateway
