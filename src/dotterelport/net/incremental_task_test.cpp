#include <catch2/catch.hpp>

#include <string>

#include "dotterelport/net/incremental_task.hpp"

namespace dotterelport::net {
namespace {

using namespace std::chrono_literals;

// Guards against a long task that delays the requests which arrive on the loop meanwhile.
TEST_CASE("Other work of the loop runs between the steps of a task")
{
    event_loop loop;
    incremental_task task(loop);
    std::string order;
    int steps = 0;
    std::function<void()> other = [&] {
        order += 'o';
        if (task.is_running()) {
            loop.post(other);
        }
    };
    loop.post(other);
    task.start([&] {
        order += 's';
        return ++steps < 4;
    });
    CHECK(order == "s");
    loop.run_for(20ms);
    CHECK(steps == 4);
    CHECK(order.find("ss") == std::string::npos);
    CHECK_FALSE(task.is_running());
}

TEST_CASE("New work replaces the work in progress, and its end ends the task")
{
    event_loop loop;
    incremental_task task(loop);
    int first = 0;
    int second = 0;
    task.start([&first] {
        ++first;
        return true;
    });
    SECTION("replaced")
    {
        task.start([&second] { return ++second < 3; });
        loop.run_for(20ms);
        CHECK(second == 3);
    }
    SECTION("cancelled")
    {
        task.cancel();
        loop.run_for(20ms);
    }
    SECTION("replaced by its own step")
    {
        task.start([&] {
            task.start([&second] { return ++second < 2; });
            return true;
        });
        loop.run_for(20ms);
        CHECK(second == 2);
    }
    CHECK(first == 1);
    CHECK_FALSE(task.is_running());
}

} // namespace
} // namespace dotterelport::net
