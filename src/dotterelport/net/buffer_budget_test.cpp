#include <catch2/catch.hpp>

#include <list>

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

} // namespace
} // namespace dotterelport::net
