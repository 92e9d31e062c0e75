#include <catch2/catch.hpp>

#include <string>

#include "dotterelport/gateway/domain_evacuations.hpp"
#include "dotterelport/gateway/server_directory.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

using domains = std::vector<std::string>;

// Guards against sends to an evacuated domain by a gateway that has just started.
TEST_CASE("Servers are unavailable until the evacuations are known")
{
    server_directory servers({});
    servers.evacuations().require_list();
    servers.update({.id = "i-1", .service = "s1", .failure_domain = "a"}, 0ms);
    CHECK(servers.available("s1").empty());
    CHECK_FALSE(servers.is_available("i-1"));
    servers.evacuations().replace({"b"}, 0ms);
    CHECK(servers.available("s1").size() == 1);
}

TEST_CASE("Only servers of an evacuated domain are unavailable, and only until it ends")
{
    server_directory servers({});
    servers.update({.id = "i-1", .service = "s1", .failure_domain = "a"}, 0ms);
    servers.update({.id = "i-2", .service = "s1", .failure_domain = "b"}, 0ms);
    CHECK(servers.evacuations().begin("a"));
    CHECK_FALSE(servers.evacuations().begin("a"));
    REQUIRE(servers.available("s1").size() == 1);
    CHECK(servers.available("s1").front()->id == "i-2");
    CHECK(servers.evacuations().end("a"));
    CHECK_FALSE(servers.evacuations().end("a"));
    CHECK(servers.available("s1").size() == 2);
}

// Guards against an end of an evacuation that an older copy of the store lacks.
TEST_CASE("A list of a restored store ends an evacuation only after a while")
{
    domain_evacuations evacuations({.confirmation_time = 6s});
    evacuations.replace({"a", "b"}, 0ms);
    SECTION("the store was not restored")
    {
        CHECK(evacuations.replace({"b"}, 1s) == domains{"a"});
        CHECK_FALSE(evacuations.contains("a"));
    }
    SECTION("the evacuation is not written again")
    {
        evacuations.begin_era(1s);
        CHECK(evacuations.replace({}, 2s).empty());
        CHECK(evacuations.expire(7s).empty());
        CHECK(evacuations.contains("a"));
        CHECK(evacuations.expire(8s) == domains{"a", "b"});
    }
    SECTION("the operators write it again")
    {
        evacuations.begin_era(1s);
        evacuations.replace({}, 2s);
        evacuations.begin("a");
        CHECK(evacuations.expire(8s) == domains{"b"});
        CHECK(evacuations.contains("a"));
    }
    SECTION("it is withdrawn after the return")
    {
        evacuations.begin_era(1s);
        evacuations.replace({}, 2s);
        CHECK(evacuations.end("a"));
        CHECK_FALSE(evacuations.contains("a"));
    }
}

} // namespace
} // namespace dotterelport::gateway
