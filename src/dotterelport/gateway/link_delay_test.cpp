#include <catch2/catch.hpp>

#include "dotterelport/gateway/link_delay.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

// Guards against a gateway that keeps its callers while its link is full: its event loop is in
// time, but what it sends and receives waits.
TEST_CASE("Slow responses of all gateways are a delay of the own link")
{
    link_delay delay;
    delay.record("owner-1", 160ms, 1'000ms);
    delay.record("owner-2", 240ms, 1'100ms);
    CHECK(delay.current(1'200ms) == 160ms);
    delay.record("owner-1", 5ms, 1'300ms);
    CHECK(delay.current(1'300ms) == 5ms);
}

// Guards against callers that are sent away because one other gateway is slow or dead.
TEST_CASE("One slow gateway is not a delay of the own link")
{
    link_delay delay;
    delay.record("owner-1", 140ms, 1'000ms);
    delay.record("owner-1", 140ms, 1'100ms);
    CHECK(delay.current(1'100ms) == 0ms);
    delay.record("owner-2", 3ms, 1'150ms);
    CHECK(delay.current(1'200ms) == 3ms);
}

// Guards against relief that goes on after the load has ended, as nobody is asked any more.
TEST_CASE("Old response times say nothing about the link")
{
    link_delay delay;
    delay.record("owner-1", 300ms, 1'000ms);
    delay.record("owner-2", 300ms, 1'500ms);
    CHECK(delay.current(1'900ms) == 300ms);
    CHECK(delay.current(2'100ms) == 0ms);
}

} // namespace
} // namespace dotterelport::gateway
