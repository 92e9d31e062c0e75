#include <catch2/catch.hpp>

#include <algorithm>

#include "dotterelport/membership/configuration_sources.hpp"

namespace dotterelport::membership {
namespace {

std::vector<node_record> routers_of(int per_domain)
{
    std::vector<node_record> routers;
    for (const std::string domain : {"coronel", "lota", "arauco"}) {
        for (int i = 0; i < per_domain; ++i) {
            node_record router;
            router.id = {domain + "-" + std::to_string(i), 1};
            router.failure_domain = domain;
            router.peer_address = {"127.0.0.1", static_cast<std::uint16_t>(1'000 + routers.size())};
            routers.push_back(router);
        }
    }
    return routers;
}

TEST_CASE("Configuration sources start with the watchers, including those of other domains")
{
    // Guards against a domain that is cut off from the platform keeping a stale configuration
    // although it can reach routers of other domains that have a newer one.
    const int per_domain = GENERATE(1, 2, 5);
    const auto routers = routers_of(per_domain);
    const std::string self = "lota-0";
    const auto sources = configuration_sources(routers, "lota", self);
    const std::size_t own_watchers = std::min(per_domain, 2);
    const auto watchers = configuration_watchers(routers, "lota");
    CHECK(watchers.size() == own_watchers);
    CHECK(sources.size() == static_cast<std::size_t>(per_domain) - 1 + 2);
    const auto& own_address = std::find_if(routers.begin(), routers.end(), [&](const auto& router) {
                                  return router.id.node == self;
                              })->peer_address;
    CHECK(std::find(sources.begin(), sources.end(), own_address) == sources.end());
    std::vector<net::endpoint> expected;
    for (const auto& watcher : watchers) {
        if (watcher.id.node != self) {
            expected.push_back(watcher.peer_address);
        }
    }
    for (const std::string domain : {"arauco", "coronel"}) {
        expected.push_back(configuration_watchers(routers, domain).front().peer_address);
    }
    REQUIRE(sources.size() >= expected.size());
    CHECK(std::equal(expected.begin(), expected.end(), sources.begin()));
}

} // namespace
} // namespace dotterelport::membership
