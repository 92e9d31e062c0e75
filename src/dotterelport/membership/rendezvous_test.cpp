#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "dotterelport/base/error.hpp"
#include "dotterelport/membership/node_record.hpp"
#include "dotterelport/membership/rendezvous.hpp"

namespace dotterelport::membership {
namespace {

std::vector<std::string> distinct_names()
{
    const auto names = *rc::gen::nonEmpty<std::set<std::string>>();
    return {names.begin(), names.end()};
}

// Guards against a choice that moves shards between two routers that are both still present.
TEST_CASE("Removing a name moves only the keys that it was chosen for")
{
    CHECK(rc::check("keys of other names stay", [] {
        const auto names = distinct_names();
        const auto key = *rc::gen::arbitrary<std::string>();
        const auto removed = *rc::gen::inRange<std::size_t>(0, names.size());
        const std::size_t before = rendezvous(names, key).value();
        auto fewer = names;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(removed));
        const auto after = rendezvous(fewer, key);
        if (before != removed) {
            RC_ASSERT(after.has_value());
            RC_ASSERT(fewer[*after] == names[before]);
        }
    }));
}

// Guards against two closers that both rank first, or none that does.
TEST_CASE("Ranks are a permutation and rank 0 is the chosen name")
{
    CHECK(rc::check("ranks", [] {
        const auto names = distinct_names();
        const auto key = *rc::gen::arbitrary<std::string>();
        std::set<std::size_t> ranks;
        for (const auto& name : names) {
            ranks.insert(rendezvous_rank(names, name, key));
        }
        RC_ASSERT(ranks.size() == names.size());
        RC_ASSERT(*ranks.rbegin() == names.size() - 1);
        RC_ASSERT(rendezvous_rank(names, names[*rendezvous(names, key)], key) == 0U);
    }));
}

// Guards against a weak weight function that gives some routers most of the shards.
TEST_CASE("Keys spread evenly over names")
{
    const std::vector<std::string> names{"router-1", "router-2", "router-3", "router-4"};
    constexpr int keys = 8'000;
    std::map<std::size_t, int> counts;
    for (int key = 0; key < keys; ++key) {
        ++counts[rendezvous(names, "shard/" + std::to_string(key)).value()];
    }
    for (const auto& [index, count] : counts) {
        CHECK(count * 4 > keys * 0.9);
        CHECK(count * 4 < keys * 1.1);
    }
    CHECK_FALSE(rendezvous({}, "shard/1").has_value());
}

// Guards against a record that loses agents or its token when it is stored in the platform and read
// again.
TEST_CASE("Node records round-trip through JSON, and malformed ones are rejected")
{
    const node_record record{.id = {"router-a", 7},
                             .role = node_role::router,
                             .state = node_state::leaving,
                             .vm = "vm-1",
                             .region = "south",
                             .failure_domain = "lota",
                             .service = "",
                             .peer_address = {"127.0.0.1", 7101},
                             .agents = {{"agent-1", 3}, {"agent-2", 1}},
                             .registration_token = "abc"};
    CHECK(to_json(parse_node_record(to_json(record).dump())) == to_json(record));
    CHECK(parse_node_record(to_json(record).dump()).agents == record.agents);
    json broken = to_json(record);
    const std::string field = GENERATE("node", "epoch", "role", "state", "peers");
    broken[field] = json::array();
    CHECK_THROWS_AS(parse_node_record(broken.dump()), format_error);
    CHECK_THROWS_AS(parse_node_record("{"), format_error);
}

} // namespace
} // namespace dotterelport::membership
