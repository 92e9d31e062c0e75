#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "budget_fixture.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;
using test::description_of;
using test::node;

constexpr tokens prepaid = 100'000;
constexpr tokens request_size = 1'000;

/// Two gateways, one of which owns the workspace's ledger shard, and a third one of which only the
/// messages exist.
struct unclaimed_fixture : test::budget_fixture {
    peer_link stranger{loop,
                       {.node = "stranger", .address = {"127.0.0.1", 0}, .failure_domain = "a"}};

    unclaimed_fixture()
    {
        add_nodes(2, prepaid);
        connect();
        for (const auto& item : nodes) {
            stranger.set_peer(description_of(*item));
        }
    }

    [[nodiscard]] bool owns(const node& item) const
    {
        return item.link.owner(ledger_shard_of("w")) == item.link.node();
    }
    node& owner() { return *nodes[owns(*nodes[0]) ? 0 : 1]; }
    node& asker() { return *nodes[owns(*nodes[0]) ? 1 : 0]; }

    /// Makes the third gateway known to the owner, after which the owner answers it.
    void introduce_stranger()
    {
        owner().link.set_peer(
            {.node = "stranger", .address = stranger.own_address(), .failure_domain = "a"});
    }

    void set_store_delay(milliseconds delay)
    {
        for (const auto& item : nodes) {
            item->objects.delay = delay;
        }
    }

    /// Tokens that are reserved at a gateway.
    [[nodiscard]] static tokens reserved_at(const node& item)
    {
        tokens result = 0;
        for (const auto& shard : item.keeper.dump()) {
            for (const auto& account : shard.at("budgets")) {
                result += account.at("reserved").get<tokens>();
            }
        }
        return result;
    }
};

/// How a request ends while its reservation waits at the owner.
enum class request_end {
    caller_left,
    owner_too_slow,
};

// Guards against charging the budget for requests that ended while the store was slow.
TEST_CASE("A reservation that waits at the owner ends with its request")
{
    const auto end = GENERATE(request_end::caller_left, request_end::owner_too_slow);
    CAPTURE(static_cast<int>(end));
    unclaimed_fixture budgets;
    budgets.set_store_delay(300ms);
    auto& asker = budgets.asker();
    auto& owner = budgets.owner();
    const auto number =
        asker.broker.reserve("w", request_size, [](reservation_outcome /*outcome*/) {});
    budgets.loop.run_for(100ms);
    REQUIRE(owner.broker.dump().at("waiting_for_others") == 1);
    if (end == request_end::caller_left) {
        asker.broker.abandon(number);
    }
    // The asker stops waiting for the owner and waits for its own grant.
    budgets.loop.run_for(1'500ms);
    CHECK(owner.broker.dump().at("waiting_for_others") == 0);
    CHECK(owner.broker.dump().at("lent") == 0);
    CHECK(unclaimed_fixture::reserved_at(owner) == 0);
}

/// Messages of a gateway about one reservation that reach the owner late, twice or in another
/// order.
enum class message_order {
    settled_before_reserved,
    reserved_again_after_settled,
    reserved_again_after_refused,
    never_heard_again,
};

// Guards against tokens that a delayed message reserves for a request that has ended.
TEST_CASE("A delayed reserve message reserves nothing for a request that has ended")
{
    const auto order = GENERATE(
        message_order::settled_before_reserved, message_order::reserved_again_after_settled,
        message_order::reserved_again_after_refused, message_order::never_heard_again);
    CAPTURE(static_cast<int>(order));
    unclaimed_fixture budgets;
    budgets.introduce_stranger();
    auto& owner = budgets.owner();
    constexpr std::uint64_t number = 7;
    const auto reserve = [&] {
        budgets.stranger.send(owner.link.node(), peer_message_kind::reserve,
                              json::array({number, "w", request_size}));
        budgets.loop.run_for(50ms);
    };
    const auto settle = [&] {
        budgets.stranger.send(owner.link.node(), peer_message_kind::settle,
                              json::array({number, "not_run", 0, 0}));
        budgets.loop.run_for(50ms);
    };
    switch (order) {
    case message_order::settled_before_reserved:
        settle();
        reserve();
        break;
    case message_order::reserved_again_after_settled:
        reserve();
        REQUIRE(owner.broker.dump().at("lent") == 1);
        settle();
        reserve();
        break;
    case message_order::reserved_again_after_refused:
        owner.objects.reachable = false;
        reserve();
        budgets.loop.run_for(400ms);
        owner.objects.reachable = true;
        budgets.loop.run_for(1s);
        reserve();
        break;
    case message_order::never_heard_again:
        budgets.set_store_delay(200ms);
        reserve();
        REQUIRE(owner.broker.dump().at("waiting_for_others") == 1);
        break;
    }
    budgets.loop.run_for(500ms);
    CHECK(owner.broker.dump().at("lent") == 0);
    CHECK(unclaimed_fixture::reserved_at(owner) == 0);
}

// Guards against an answer that arrives after the settlement was confirmed and leaves tokens lent.
TEST_CASE("Tokens that an owner reserves for an ended request are released by the asker")
{
    unclaimed_fixture budgets;
    auto& asker = budgets.asker();
    asker.link.set_peer(
        {.node = "stranger", .address = budgets.stranger.own_address(), .failure_domain = "a"});
    const auto ended = asker.broker.reserve("w", request_size, [](reservation_outcome) {});
    budgets.loop.run_for(100ms);
    asker.broker.settle(ended, verdict::not_run, 0, 0);
    budgets.loop.run_for(100ms);
    std::vector<std::uint64_t> released;
    budgets.stranger.on_message(peer_message_kind::settle, [&](const peer_message& message) {
        released.push_back(message.content.at(0).get<std::uint64_t>());
    });
    // A number of another run may belong to a request that was sent to a server.
    const std::uint64_t of_other_run = 5;
    for (const std::uint64_t number : {ended, of_other_run}) {
        budgets.stranger.send(asker.link.node(), peer_message_kind::reserved,
                              json::array({number, 0}));
    }
    budgets.loop.run_for(100ms);
    CHECK(std::count(released.begin(), released.end(), ended) == 1);
    CHECK(std::count(released.begin(), released.end(), of_other_run) == 0);
}

// Guards against a reservation of this gateway that is made while its request ends.
TEST_CASE("Tokens are released if a request ends while another one gets its answer")
{
    test::budget_fixture budgets;
    budgets.add_nodes(1, prepaid);
    auto& only = *budgets.nodes[0];
    only.objects.delay = 20ms;
    std::uint64_t second = 0;
    only.broker.reserve("w", request_size,
                        [&](reservation_outcome) { only.broker.abandon(second); });
    second = only.broker.reserve("w", request_size, [](reservation_outcome) { FAIL("told"); });
    budgets.loop.run_for(300ms);
    CHECK(unclaimed_fixture::reserved_at(only) == request_size);
}

} // namespace
} // namespace dotterelport::gateway
