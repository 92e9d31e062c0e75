#include <catch2/catch.hpp>

#include <list>
#include <string>
#include <tuple>
#include <utility>

#include "dotterelport/net/buffer_budget.hpp"

namespace dotterelport::net {
namespace {

constexpr buffer_limits limits{.per_answer = 400, .total = 1'000, .always = 10};

// Guards against answers that grow without end and leave nothing for the others.
TEST_CASE("Answers that grow without end leave room for small ones")
{
    buffer_budget budget(limits);
    std::list<buffer_share> endless;
    for (int i = 0; i < 50; ++i) {
        auto& share = endless.emplace_back(budget);
        std::size_t size = 0;
        while (share.resize(size + 1)) {
            ++size;
        }
        CHECK(size <= limits.per_answer);
    }
    CHECK(budget.used() <= limits.total + endless.size() * limits.always);
    buffer_share small(budget);
    CHECK(small.resize(limits.always));
    CHECK_FALSE(small.resize(limits.per_answer));
}

TEST_CASE("A share is returned when its answer ends or shrinks")
{
    buffer_budget budget(limits);
    {
        buffer_share share(budget);
        CHECK(share.resize(300));
        CHECK(budget.used() == 300);
        CHECK(share.resize(20));
        CHECK(budget.used() == 20);
    }
    CHECK(budget.used() == 0);
}

// Guards against answers whose texts take up to twice the bytes that were counted, as texts double
// their capacity when they grow.
TEST_CASE("The capacity of collected texts counts")
{
    constexpr std::size_t large = 1'000'000;
    buffer_budget budget({.per_answer = large, .total = 3 * large, .always = 10});
    std::list<std::pair<buffer_share, std::string>> answers;
    std::size_t capacity = 0;
    for (int i = 0; i < 8; ++i) {
        auto& [share, text] = answers.emplace_back(
            std::piecewise_construct, std::forward_as_tuple(budget), std::forward_as_tuple());
        const std::size_t limit = budget.limit();
        while (share.append(text, std::string(1'000, 'x'))) {
        }
        CHECK(text.size() + 1'000 > limit / 2);
        capacity += text.capacity();
    }
    CHECK(capacity <= budget.used());
    CHECK(budget.used() <= 3 * large);
}

} // namespace
} // namespace dotterelport::net
