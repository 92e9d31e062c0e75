#include <catch2/catch.hpp>

#include "dotterelport/request/outcome_list.hpp"
#include "dotterelport/request/quarantine_table.hpp"
#include "dotterelport/request/replay_buffer.hpp"
#include "dotterelport/request/retry_budget.hpp"

namespace dotterelport::request {
namespace {

const request_key key{"depot", "k1"};
constexpr std::size_t no_limit = 1U << 30U;

TEST_CASE("A reader receives every frame once, whatever the size limit of a read")
{
    replay_buffer buffer;
    buffer.open(key);
    std::string all;
    for (int i = 0; i < 50; ++i) {
        buffer.append(key, std::to_string(i));
        all += std::to_string(i) + "\n";
    }
    const std::size_t size = GENERATE(1U, 7U, 1000U);
    std::string seen;
    std::uint64_t position = 0;
    const auto read_all = [&] {
        for (;;) {
            const replay_part part = buffer.read(key, position, size);
            seen += part.lines;
            position = part.next_position;
            if (part.state != replay_part::status::more) {
                return part.state;
            }
        }
    };
    CHECK(read_all() == replay_part::status::waiting);
    CHECK(seen == all);
    buffer.append(key, "x");
    buffer.finish(key, "end");
    CHECK(read_all() == replay_part::status::ended);
    CHECK(seen == all + "x\nend\n");
    CHECK(buffer.read(key, 50, no_limit).lines == "x\nend\n");
}

TEST_CASE("A stream above its limit drops its first frames and reports them as gone, not skipped")
{
    replay_buffer buffer({.stream_bytes = 4'000, .total_bytes = 100'000});
    buffer.open(key);
    for (int i = 0; i < 10; ++i) {
        buffer.append(key, std::string(1000, 'x'));
    }
    CHECK(buffer.bytes() <= 4'000);
    CHECK(buffer.read(key, 0, no_limit).state == replay_part::status::gone);
    CHECK(buffer.read(key, 9, no_limit).lines.size() == 1001);
    CHECK(buffer.end_position(key) == 10);
}

TEST_CASE("The oldest finished streams are evicted, running streams stay")
{
    replay_buffer buffer({.stream_bytes = 10'000, .total_bytes = 10'000});
    const auto add = [&](const std::string& name, bool finished) {
        buffer.open({"w", name});
        buffer.append({"w", name}, std::string(2'500, 'x'));
        if (finished) {
            buffer.finish({"w", name}, "end");
        }
    };
    const auto is_kept = [&](const std::string& name) {
        return buffer.read({"w", name}, 0, no_limit).state != replay_part::status::gone;
    };
    add("running", false);
    add("old", true);
    add("new", true);
    add("newest", true);
    CHECK(is_kept("running"));
    CHECK_FALSE(is_kept("old"));
    CHECK(is_kept("newest"));
    add("running-2", false);
    add("running-3", false);
    add("running-4", false);
    CHECK(buffer.is_full());
    CHECK(is_kept("running"));
    buffer.open({"w", "running"});
    CHECK(buffer.read({"w", "running"}, 0, no_limit).lines.empty());
}

TEST_CASE("An outcome stays until its own batch is durable, so that every outcome is billed")
{
    outcome_list list;
    outcome first;
    first.key = key;
    first.holder = {"router-a", 5};
    list.add(first, "127.0.0.1:1");
    const auto batch = list.oldest(first.holder, 10);
    outcome second = first;
    second.attempt = 2;
    list.add(second, "127.0.0.1:1");
    CHECK(list.remove({"router-b", 5}, {key}, batch.last_number) == 0);
    CHECK(list.remove(first.holder, {{"depot", "other"}}, batch.last_number) == 0);
    CHECK(list.remove(first.holder, {key}, batch.last_number) == 1);
    REQUIRE(list.size() == 1);
    CHECK(list.oldest(first.holder, 10).outcomes.front().attempt == 2);
    CHECK(list.remove(first.holder, {key}, no_limit) == 1);
    CHECK(list.holders().empty());
}

TEST_CASE("Two different crashes quarantine content; one crash reported twice does not")
{
    quarantine_table table;
    CHECK(table.record("d", "agent-1#3/k1/1") == 1);
    CHECK(table.record("d", "agent-1#3/k1/1") == 1);
    CHECK_FALSE(table.is_quarantined("d"));
    CHECK(table.record("d", "agent-2#1/k2/1") == 2);
    CHECK(table.is_quarantined("d"));
    CHECK_FALSE(table.is_quarantined("e"));
    table.quarantine("e");
    CHECK(table.is_quarantined("e"));
    for (std::size_t i = 0; i < quarantine_table::max_digests; ++i) {
        table.record(std::to_string(i), "crash");
    }
    CHECK(table.size() <= quarantine_table::max_digests);
    CHECK(table.is_quarantined("d"));
}

TEST_CASE("Retries stay within their share of the first attempts")
{
    retry_budget budget({.share = 0.1, .max_available = 5});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.record_first_attempt();
        retries += budget.try_retry() ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 105);
    std::mt19937_64 first(7);
    std::mt19937_64 second(7);
    for (std::uint32_t retry = 1; retry < 100; ++retry) {
        const milliseconds delay = budget.delay(retry, first);
        CHECK(delay == budget.delay(retry, second));
        CHECK(delay >= milliseconds{10});
        CHECK(delay <= milliseconds{1'000});
    }
}

TEST_CASE("A retry budget follows a change of its limits without losing or gaining retries")
{
    const auto [first_max, second_max, spent, available] =
        GENERATE(table<double, double, int, int>({
            {1, 5, 0, 5},
            {1, 5, 1, 4},
            {8, 2, 0, 2},
            {8, 2, 7, 1},
        }));
    retry_budget budget({.share = 0.1, .max_available = first_max});
    for (int i = 0; i < spent; ++i) {
        CHECK(budget.try_retry());
    }
    budget.set_options({.share = 0.1, .max_available = second_max});
    int retries = 0;
    while (budget.try_retry()) {
        ++retries;
    }
    CHECK(retries == available);
}

} // namespace
} // namespace dotterelport::request
