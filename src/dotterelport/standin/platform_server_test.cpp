#include <catch2/catch.hpp>

#include <functional>
#include <string>

#include "dotterelport/object_store/client.hpp"
#include "dotterelport/standin/platform_server.hpp"

namespace dotterelport::standin {
namespace {

constexpr milliseconds test_timeout{3'000};

/// The stand-in and a client on the same event loop.
struct fixture {
    net::event_loop loop;
    platform_server server;
    net::http_client http{loop};
    object_store::client client{http, server.address()};

    explicit fixture(const platform_server::options& settings = {}) : server(loop, settings) {}

    /// @brief Runs the event loop until a call is answered.
    template<typename Result>
    Result wait(const std::function<void(std::function<void(const Result&)>)>& call)
    {
        Result result;
        call([&](const Result& answer) {
            result = answer;
            loop.stop();
        });
        loop.run_for(test_timeout);
        return result;
    }

    object_store::write_result write(const std::string& key, const std::string& value,
                                     std::optional<object_store::version> if_version)
    {
        return wait<object_store::write_result>(
            [&](auto done) { client.write(key, value, if_version, done); });
    }

    object_store::read_result read(const std::string& key)
    {
        return wait<object_store::read_result>([&](auto done) { client.read(key, done); });
    }
};

TEST_CASE("The API stores and returns objects unchanged for any key and value")
{
    fixture net;
    const std::string key = GENERATE("a", "bill/0/router-a#5/1", "a b+c%20", "x?y&z=1");
    const std::string value = GENERATE(std::string(), std::string("{\"a\": \"\\u00e9\\n\"}"),
                                       std::string(object_store::max_value_bytes, '"'));
    CHECK(net.read(key).status == object_store::read_status::absent);
    const auto written = net.write(key, value, 0);
    CHECK(written.status == object_store::write_status::applied);
    const auto read = net.read(key);
    CHECK(read.status == object_store::read_status::found);
    CHECK(read.value.value == value);
    CHECK(read.value.object_version == written.object_version);
    CHECK(net.write(key, value, 0).status == object_store::write_status::conflict);
    CHECK(net.write(key, value + std::string(object_store::max_value_bytes + 1, 'x'), {}).status ==
          object_store::write_status::too_large);
    const auto removed = net.wait<object_store::write_result>(
        [&](auto done) { net.client.remove(key, written.object_version, done); });
    CHECK(removed.status == object_store::write_status::applied);
    const auto changes = net.wait<object_store::listing>(
        [&](auto done) { net.client.list(key, written.object_version, done); });
    CHECK(changes.deleted == std::vector<std::string>{key});
}

TEST_CASE("A lost answer is reported as unknown although the write took effect")
{
    fixture net;
    const bool use_pooled_connection = GENERATE(false, true);
    if (use_pooled_connection) {
        net.read("a");
    }
    net.server.set_faults({.answers_to_lose = 1});
    CHECK(net.write("a", "1", 0).status == object_store::write_status::unknown);
    CHECK(net.read("a").value.value == "1");
    CHECK(net.write("b", "1", 0).status == object_store::write_status::applied);
}

TEST_CASE("In an outage calls are unavailable and have no effect, and waiting watches end")
{
    fixture net;
    net.loop.schedule(milliseconds{50}, [&] { net.server.set_faults({.outage = true}); });
    const auto watched = net.wait<object_store::listing>(
        [&](auto done) { net.client.watch("a", 0, milliseconds{2'000}, done); });
    CHECK_FALSE(watched.available);
    CHECK(net.write("a", "1", 0).status == object_store::write_status::unavailable);
    CHECK(net.read("a").status == object_store::read_status::unavailable);
    CHECK(net.client.trouble_duration() > milliseconds{0});
    net.server.set_faults({});
    CHECK(net.read("a").status == object_store::read_status::absent);
    CHECK(net.client.trouble_duration() == milliseconds{0});
}

TEST_CASE("A watch reports a change at once and nothing after its timeout")
{
    fixture net;
    const bool change = GENERATE(false, true);
    if (change) {
        net.loop.schedule(milliseconds{30}, [&] { net.server.objects().write("p/a", "1", 0); });
    }
    const milliseconds start = steady_now();
    const auto result = net.wait<object_store::listing>(
        [&](auto done) { net.client.watch("p/", 0, milliseconds{300}, done); });
    CHECK(result.available);
    CHECK(result.objects.size() == (change ? 1 : 0));
    CHECK((steady_now() - start < milliseconds{250}) == change);
    CHECK(net.server.counters().calls(call_kind::watch) == 1);
}

TEST_CASE("Calls above the rate limit are refused and counted")
{
    fixture net({.writes_per_second = 5, .reads_per_second = 3});
    int applied = 0;
    int found = 0;
    for (int i = 0; i < 8; ++i) {
        applied += net.write("a/b", "1", {}).status == object_store::write_status::applied ? 1 : 0;
        found += net.read("a/b").status == object_store::read_status::found ? 1 : 0;
    }
    CHECK(applied == 5);
    CHECK(found == 3);
    CHECK(net.server.counters().to_json()["write"]["by_segment"]["a"]["rate_limited"] == 3);
}

TEST_CASE("The VM list shows changes after its lag")
{
    vm_list vms(milliseconds{100});
    vms.set("vm-1", object_store::vm_state::live, milliseconds{0});
    vms.set("vm-1", object_store::vm_state::leaving, milliseconds{50});
    vms.set("vm-1", std::nullopt, milliseconds{200});
    CHECK(vms.visible(milliseconds{99}).vms.empty());
    CHECK(vms.visible(milliseconds{100}).vms.at("vm-1") == object_store::vm_state::live);
    CHECK(vms.visible(milliseconds{150}).vms.at("vm-1") == object_store::vm_state::leaving);
    CHECK(vms.visible(milliseconds{300}).vms.empty());
}

} // namespace
} // namespace dotterelport::standin
