#include <catch2/catch.hpp>

#include "dotterelport/object_store/store_paths.hpp"

namespace dotterelport::object_store {
namespace {

using namespace std::chrono_literals;

const net::endpoint store_address{"10.0.0.1", 80};
const net::endpoint near_relay{"10.0.1.1", 81};
const net::endpoint far_relay{"10.0.2.1", 81};

store_paths make_paths()
{
    store_paths paths(store_address, "a");
    paths.set_relays({{far_relay, "b"}, {near_relay, "a"}});
    return paths;
}

TEST_CASE("Calls go directly to the store while it answers")
{
    auto paths = make_paths();
    CHECK(paths.choose(path_use::short_call, 1s) == store_address);
    paths.record_result(store_address, true, 1s);
    CHECK(paths.choose(path_use::long_poll, 1s) == store_address);
}

TEST_CASE("In a network partition, calls try a relay of the same failure domain first")
{
    auto paths = make_paths();
    paths.record_result(store_address, false, 1s);
    CHECK(paths.choose(path_use::short_call, 1s) == near_relay);
    paths.record_result(near_relay, false, 1s);
    CHECK(paths.choose(path_use::short_call, 1s) == far_relay);
    paths.record_result(far_relay, true, 1s);
    CHECK(paths.choose(path_use::long_poll, 1s) == far_relay);
    CHECK_FALSE(paths.is_direct());
}

TEST_CASE("Only short calls try the direct path again, at growing intervals")
{
    auto paths = make_paths();
    milliseconds now = 1s;
    milliseconds last_pause{0};
    for (int i = 0; i < 4; ++i) {
        paths.record_result(store_address, false, now);
        paths.record_result(near_relay, true, now);
        const milliseconds failed = now;
        while (paths.choose(path_use::short_call, now) != store_address) {
            CHECK(paths.choose(path_use::long_poll, now) == near_relay);
            now += 50ms;
            REQUIRE(now - failed <= 6s);
        }
        CHECK(paths.choose(path_use::long_poll, now) == near_relay);
        CHECK(now - failed >= last_pause);
        last_pause = now - failed;
    }
    paths.record_result(store_address, true, now);
    CHECK(paths.choose(path_use::long_poll, now) == store_address);
}

TEST_CASE("Without relays, calls continue to try the direct path")
{
    store_paths paths(store_address, "a");
    paths.record_result(store_address, false, 1s);
    CHECK(paths.choose(path_use::short_call, 1s) == store_address);
    CHECK(paths.choose(path_use::long_poll, 1s) == store_address);
}

TEST_CASE("While no relay answers, each kind of call returns to the direct path after its penalty")
{
    const auto use = GENERATE(path_use::short_call, path_use::long_poll);
    auto paths = make_paths();
    paths.record_result(store_address, false, 1s);
    paths.record_result(near_relay, false, 1s);
    CHECK(paths.choose(use, 1s) == far_relay);
    // The relay that was not tried yet must not keep calls off a path that may work again.
    CHECK(paths.choose(use, 2s) == store_address);
}

TEST_CASE("The time limit of a call follows the store's usual time within its limits")
{
    auto paths = make_paths();
    CHECK(paths.timeout(store_address) == 600ms);
    paths.record_result(store_address, true, 1s, 4ms);
    CHECK(paths.timeout(store_address) == 200ms);
    CHECK(paths.timeout(near_relay) == 600ms);
    // A slow answer raises it at once, fast ones lower it again, a watch does not change it.
    paths.record_result(store_address, true, 2s, 60ms);
    CHECK(paths.timeout(store_address) == 480ms);
    paths.record_result(store_address, true, 2s);
    CHECK(paths.timeout(store_address) == 480ms);
    for (int i = 0; i < 10; ++i) {
        paths.record_result(store_address, true, 3s, 4ms);
    }
    CHECK(paths.timeout(store_address) == 200ms);
    // After a failure, the next call may find a store that has turned slow.
    paths.record_result(store_address, false, 4s);
    CHECK(paths.timeout(store_address) == 600ms);
}

TEST_CASE("A removed relay is no longer used")
{
    auto paths = make_paths();
    paths.record_result(store_address, false, 1s);
    paths.record_result(near_relay, true, 1s);
    paths.set_relays({{far_relay, "b"}});
    CHECK(paths.choose(path_use::long_poll, 1s) == far_relay);
}

} // namespace
} // namespace dotterelport::object_store
