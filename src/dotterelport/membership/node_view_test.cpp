#include <catch2/catch.hpp>

#include "dotterelport/membership/node_view.hpp"

namespace dotterelport::membership {
namespace {

using namespace std::chrono_literals;

node_record router(const std::string& name, const std::string& domain, std::uint64_t epoch = 1)
{
    node_record record;
    record.id = {name, epoch};
    record.vm = "vm-" + name;
    record.failure_domain = domain;
    record.peer_address = {"127.0.0.1", 7101};
    return record;
}

/// A fleet seen by several routers, so that their choices can be compared.
struct fleet {
    std::vector<node_record> records;
    std::map<std::string, node_view> views;
    object_store::version revision = 0;

    explicit fleet(std::vector<node_record> nodes) : records(std::move(nodes))
    {
        for (const auto& record : records) {
            views.emplace(record.id.node, node_view(record));
        }
        for (const auto& record : records) {
            write(record.id.node, record, 0ms);
        }
        list_vms(0ms);
    }

    [[nodiscard]] object_store::listing no_changes() const
    {
        object_store::listing result;
        result.available = true;
        result.revision = revision;
        return result;
    }

    void write(const std::string& key, const node_record& record, milliseconds now)
    {
        ++revision;
        object_store::listing changes = no_changes();
        changes.objects.push_back({node_key(key), revision, to_json(record).dump()});
        for (auto& [name, view] : views) {
            CHECK(view.apply(changes, now) == 0);
        }
    }

    void poll(milliseconds now)
    {
        for (auto& [name, view] : views) {
            view.apply(no_changes(), now);
        }
    }

    void list_vms(milliseconds now, const std::string& missing = "",
                  const std::string& leaving = "")
    {
        object_store::vm_listing list{.available = true, .vms = {}};
        for (const auto& record : records) {
            if (record.vm != missing) {
                list.vms[record.vm] = record.vm == leaving ? object_store::vm_state::leaving
                                                           : object_store::vm_state::live;
            }
        }
        for (auto& [name, view] : views) {
            view.apply(list, now);
        }
    }

    /// Fails calls to a node once a second, as probes do.
    void fail_calls(const std::string& node, milliseconds from, milliseconds until)
    {
        for (milliseconds now = from; now <= until; now += 1s) {
            poll(now);
            for (auto& [name, view] : views) {
                if (name != node) {
                    view.report_contact(node, false, now);
                }
            }
        }
    }

    [[nodiscard]] int closers_of(const incarnation& id, milliseconds now) const
    {
        int count = 0;
        for (const auto& [name, view] : views) {
            for (const auto& other : view.routers_to_close(now)) {
                count += other == id && name != id.node ? 1 : 0;
            }
        }
        return count;
    }
};

fleet two_domains()
{
    return fleet({router("a1", "coronel"), router("a2", "coronel"), router("a3", "coronel"),
                  router("b1", "lota"), router("b2", "lota")});
}

// Guards against one lost packet, or a burst of failures at once, moving the shards of a router.
TEST_CASE("A node is silent only after failures over some time, until it answers twice")
{
    auto nodes = two_domains();
    auto& view = nodes.views.at("a1");
    for (int i = 0; i < 10; ++i) {
        view.report_contact("a2", false, 100ms);
    }
    CHECK_FALSE(view.is_silent("a2", 100ms));
    view.report_contact("a2", false, 2'200ms);
    CHECK(view.is_silent("a2", 2'200ms));
    CHECK(view.live_nodes(node_role::router, 2'200ms).size() == 4);
    view.report_contact("a2", true, 2'300ms);
    CHECK(view.is_silent("a2", 2'300ms));
    view.report_contact("a2", true, 2'400ms);
    CHECK_FALSE(view.is_silent("a2", 2'400ms));
}

// Guards against failures of an earlier incarnation being counted for the next one.
TEST_CASE("A new incarnation starts as live")
{
    auto nodes = two_domains();
    nodes.fail_calls("a2", 1s, 5s);
    auto& view = nodes.views.at("a1");
    view.report_leaving("a2");
    REQUIRE(view.is_silent("a2", 5s));
    nodes.write("a2", router("a2", "coronel", 2), 6s);
    CHECK_FALSE(view.is_silent("a2", 6s));
    CHECK(view.live_nodes(node_role::router, 6s).size() == 5);
    CHECK(view.is_gone({"a2", 1}, 6s));
    CHECK_FALSE(view.is_gone({"a2", 2}, 6s));
}

// Guards against new work for a leaving node, for each of the four ways to detect that it leaves.
TEST_CASE("Leaving nodes are not live")
{
    auto nodes = two_domains();
    auto& view = nodes.views.at("a1");
    const int way = GENERATE(range(0, 4));
    if (way == 0) {
        view.report_leaving("a2");
    } else if (way == 1) {
        nodes.list_vms(1s, "", "vm-a2");
    } else if (way == 2) {
        nodes.list_vms(1s, "vm-a2");
    } else {
        auto record = router("a2", "coronel");
        record.state = node_state::leaving;
        nodes.write("a2", record, 1s);
    }
    CHECK(view.live_nodes(node_role::router, 1s).size() == 4);
    CHECK_FALSE(view.is_gone({"a2", 1}, 1s));
}

// Guards against a new VM that is not in the list yet being treated as gone.
TEST_CASE("A listed VM is gone after two lists without it, a VM that was never listed only after a "
          "longer time")
{
    auto nodes = two_domains();
    auto& view = nodes.views.at("a1");
    nodes.list_vms(1s, "vm-a2");
    CHECK_FALSE(view.is_gone({"a2", 1}, 1s));
    nodes.list_vms(3s, "vm-a2");
    CHECK(view.is_gone({"a2", 1}, 3s));

    nodes.write("a9", router("a9", "coronel"), 4s);
    nodes.list_vms(5s);
    nodes.list_vms(20s);
    CHECK_FALSE(view.is_gone({"a9", 1}, 20s));
    nodes.list_vms(40s);
    CHECK(view.is_gone({"a9", 1}, 40s));
}

// Guards against an empty or partial list making all nodes appear gone.
TEST_CASE("A VM list without this node's own VM is ignored")
{
    auto nodes = two_domains();
    nodes.list_vms(1s, "vm-a1", "vm-a3");
    nodes.list_vms(60s, "vm-a1", "vm-a3");
    CHECK(nodes.views.at("a1").live_nodes(node_role::router, 60s).size() == 5);
    CHECK(nodes.views.at("a2").live_nodes(node_role::router, 60s).size() == 3);
    CHECK(nodes.views.at("a2").is_gone({"a1", 1}, 60s));
}

// Guards against every router trying to close a failed one at the same time, and against none
// trying.
TEST_CASE("A silent router is closed by one router of its domain")
{
    auto nodes = two_domains();
    nodes.fail_calls("a2", 1s, 5s);
    CHECK(nodes.closers_of({"a2", 1}, 5s) == 0);
    nodes.fail_calls("a2", 6s, 7s);
    CHECK(nodes.closers_of({"a2", 1}, 7s) == 1);
    CHECK(nodes.views.at("b1").routers_to_close(7s).empty());
    // The router that ranks second takes over in case the first has failed as well.
    nodes.fail_calls("a2", 8s, 13s);
    CHECK(nodes.closers_of({"a2", 1}, 13s) == 2);
}

// Guards against both sides of a partition closing each other's routers while these still reach
// the platform.
TEST_CASE("Another domain closes a silent router only if no router of its domain writes records")
{
    auto nodes = two_domains();
    const bool domain_alive = GENERATE(false, true);
    for (milliseconds now = 1s; now <= 60s; now += 1s) {
        for (const auto* name : {"b1", "b2"}) {
            nodes.fail_calls(name, now, now);
            nodes.views.at("b1").report_contact("b2", true, now);
            nodes.views.at("b2").report_contact("b1", true, now);
        }
        if (domain_alive && now % 10s == 0s) {
            nodes.write("b1", router("b1", "lota"), now);
        }
        if (now == 25s) {
            CHECK(nodes.closers_of({"b2", 1}, now) == 0);
        }
    }
    CHECK((nodes.closers_of({"b2", 1}, 60s) > 0) == !domain_alive);
}

// Guards against grants of an earlier incarnation staying open after its node registers again.
TEST_CASE("An earlier incarnation of a router is closed once the next one is registered")
{
    auto nodes = two_domains();
    const auto old = router("a2", "coronel");
    nodes.write("a2#1", old, 1s);
    CHECK(nodes.closers_of({"a2", 1}, 1s) == 0);
    nodes.views.at("a2").update_self(router("a2", "coronel", 2), nodes.revision + 1, 2s);
    nodes.write("a2", router("a2", "coronel", 2), 2s);
    int closers = 0;
    for (const auto& [name, view] : nodes.views) {
        closers += static_cast<int>(view.routers_to_close(2s).size());
    }
    CHECK(closers == 1);
    CHECK(nodes.views.at("a1").nodes().size() == 5);
}

// Guards against a record that stays in state closing forever because its closer failed.
TEST_CASE("An unfinished closing is taken over by another router")
{
    auto nodes = two_domains();
    auto record = router("a2", "coronel");
    record.state = node_state::closing;
    nodes.write("a2", record, 1s);
    CHECK(nodes.closers_of({"a2", 1}, 1s) == 1);
    CHECK(nodes.closers_of({"a2", 1}, 32s) == 2);
    record.state = node_state::closed;
    nodes.write("a2", record, 33s);
    CHECK(nodes.closers_of({"a2", 1}, 200s) == 0);
}

// Guards against a router that no other router probes, and against every router probing every
// other.
TEST_CASE("Each router is probed by a few routers of its own domain and of other domains")
{
    std::vector<node_record> records(60);
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i] = router("router-" + std::to_string(i), "domain-" + std::to_string(i % 6));
    }
    const fleet nodes(records);
    std::map<std::string, int> probes;
    for (const auto& [name, view] : nodes.views) {
        for (const auto& target : view.routers_to_probe(0ms)) {
            CHECK(target.id.node != name);
            ++probes[target.id.node];
        }
    }
    CHECK(probes.size() == records.size());
    for (const auto& [name, count] : probes) {
        CHECK(count == 5);
    }
}

// Guards against routers of a domain that disagree on the owner of a shard.
TEST_CASE("All routers choose the same live owner of a shard")
{
    auto nodes = two_domains();
    const auto shard = static_cast<std::uint32_t>(GENERATE(range(0, 8)));
    const auto owner = nodes.views.at("a1").shard_owner(shard, "coronel", 0ms);
    REQUIRE(owner);
    for (const auto& [name, view] : nodes.views) {
        CHECK(view.shard_owner(shard, "coronel", 0ms)->id == owner->id);
    }
    nodes.list_vms(1s, owner->vm);
    const auto next = nodes.views.at("b1").shard_owner(shard, "coronel", 1s);
    CHECK(next->id != owner->id);
    CHECK_FALSE(nodes.views.at("a1").shard_owner(shard, "arauco", 0ms));
    CHECK(nodes.views.at("b1").failure_domains(0ms) == std::vector<std::string>{"lota", "coronel"});
}

} // namespace
} // namespace dotterelport::membership
