#include <catch2/catch.hpp>

#include "dotterelport/net/client_budget.hpp"

namespace dotterelport::net {
namespace {

using namespace std::chrono_literals;

constexpr client_limits limits{.bytes = 1'000, .connections = 3, .reserve = 200, .small = 50};

/// @brief Lets connections give way until there is room for one, and returns how many did.
int evict_for(client_budget& budget, client_budget::holder_id holder, milliseconds now)
{
    int evicted = 0;
    while (budget.is_over(holder)) {
        const auto victim = budget.victim(now);
        if (!victim) {
            break;
        }
        budget.remove(*victim);
        ++evicted;
        if (*victim == holder) {
            break;
        }
    }
    return evicted;
}

} // namespace

// Guards against a memory limit that bodies which stop short exceed together.
TEST_CASE("Many bodies that stop short hold no more than the limit together")
{
    client_budget budget(limits);
    for (client_budget::holder_id id = 1; id <= 100; ++id) {
        for (std::size_t size = 50; size <= 400; size += 50) {
            budget.set(id, {.releasable = size, .pinned = 0, .moved = 1s});
            evict_for(budget, id, 1s);
            CHECK(budget.used() <= limits.bytes - (size <= limits.small ? 0 : limits.reserve));
        }
    }
}

// Guards against refusing ordinary requests while large ones fill the memory.
TEST_CASE("A small request finds room while large ones take all that they may")
{
    client_budget budget(limits);
    budget.set(1, {.releasable = 400, .pinned = 0, .moved = 1s});
    budget.set(2, {.releasable = 400, .pinned = 0, .moved = 1s});
    budget.set(3, {.releasable = limits.small, .pinned = 0, .moved = 1s});
    CHECK_FALSE(budget.is_over(3));
    budget.set(4, {.releasable = 300, .pinned = 0, .moved = 1s});
    CHECK(budget.is_over(4));
}

// Guards against closing the connections that make progress instead of those that stopped.
TEST_CASE("The connection that holds most and has moved least gives way")
{
    client_budget budget(limits);
    budget.set(1, {.releasable = 300, .pinned = 0, .moved = 10s});
    budget.set(2, {.releasable = 250, .pinned = 0, .moved = 2s});
    budget.set(3, {.releasable = 100, .pinned = 600, .moved = 9s});
    CHECK(budget.victim(10s) == 2);
    budget.remove(2);
    CHECK(budget.victim(10s) == 3);
    budget.remove(3);
    CHECK(budget.victim(10s) == 1);
}

// Guards against closing a connection whose request was handed on, which frees nothing.
TEST_CASE("Bytes of requests that were handed on make no connection give way")
{
    client_budget budget(limits);
    budget.set(1, {.releasable = 0, .pinned = 900, .moved = 1s});
    CHECK(budget.victim(10s) == std::nullopt);
    budget.set(2, {.releasable = limits.small + 1, .pinned = 0, .moved = 1s});
    CHECK(budget.is_over(2));
    CHECK(budget.victim(10s) == 2);
    budget.remove(2);
    CHECK(budget.used() == 900);
}

// Guards against refusing ordinary requests because many small ones stopped short.
TEST_CASE("Among small requests, the one that has moved least gives way")
{
    client_budget budget(limits);
    for (client_budget::holder_id id = 1; id <= 20; ++id) {
        budget.set(id,
                   {.releasable = limits.small, .pinned = 0, .moved = milliseconds{1'000 * id}});
    }
    budget.set(21, {.releasable = 10, .pinned = 0, .moved = 30s});
    CHECK(budget.is_over(21));
    CHECK(evict_for(budget, 21, 30s) == 1);
    CHECK(budget.used() == 19 * limits.small + 10);
}

// Guards against limits that a single request within the gateway's limits reaches.
TEST_CASE("The smallest VM has room for a request with the largest body")
{
    constexpr std::size_t max_body_bytes = 4U << 20U;
    const client_limits smallest = limits_of_vm(88, 1'024);
    client_budget budget(smallest);
    // The body, read into a buffer of twice its size, and a copy for the server.
    budget.set(1, {.releasable = 2 * max_body_bytes, .pinned = 2 * max_body_bytes, .moved = 1s});
    CHECK_FALSE(budget.is_over(1));
    CHECK(limits_of_vm(256, 1'024) ==
          client_limits{
              .bytes = 64U << 20U, .connections = 494, .reserve = 8U << 20U, .small = 64U << 10U});
    CHECK(limits_of_vm(88, 100).connections == 16);
}

// Guards against servers of one process that exceed the limits of its VM together.
TEST_CASE("The servers of a process share the limits of its VM")
{
    const client_limits all = limits_of_vm(256, 1'024);
    CHECK(quarters_of(all, 4) == all);
    CHECK(quarters_of(all, 3) ==
          client_limits{
              .bytes = 48U << 20U, .connections = 370, .reserve = 6U << 20U, .small = 64U << 10U});
    CHECK(quarters_of(limits_of_vm(88, 100), 1).connections == 16);
}

} // namespace dotterelport::net
