#include <catch2/catch.hpp>

#include <random>

#include "dotterelport/net/event_loop.hpp"
#include "request_decisions.hpp"

namespace dotterelport::gateway {
namespace {

/// A store that is never reached.
struct absent_objects final : object_store::conditional_objects {
    void read(const std::string& /*key*/,
              std::function<void(const object_store::read_result&)> /*done*/) override
    {}
    void write(const std::string& /*key*/, const std::string& /*value*/,
               std::optional<object_store::version> /*if_version*/,
               std::function<void(const object_store::write_result&)> /*done*/) override
    {}
};

struct decision_fixture {
    net::event_loop loop;
    absent_objects objects;
    peer_link link{loop, {.node = "edge-1", .address = {"127.0.0.1", 0}, .failure_domain = "a"}};
    server_directory servers{{}};
    server_statements statements{link, servers};
    routing::placement placement;
    std::mt19937_64 random{3};
    admission admissions{true, random};
    crash_watch crashes{loop, link, objects};
    std::map<std::string, std::string> regions{{"a", "north"}, {"b", "south"}};
    std::optional<stop_order> stopping;
    decision_context context{"a",        regions, servers, statements, placement,
                             admissions, crashes, link,    stopping};
    service_catalogue catalogue = service_catalogue::builder(1).build();
    route target{.name = "r1", .target_latency = milliseconds{200}};
    std::string service = "s1";
    request_view request{.catalogue = catalogue,
                         .target = target,
                         .service = service,
                         .time_limit = milliseconds{1'000},
                         .time_left = milliseconds{1'000}};
    milliseconds now = steady_now();

    decision_fixture()
    {
        for (const auto& [id, domain] : {std::pair("i-1", "a"), std::pair("i-2", "b")}) {
            servers.update({.id = id, .service = "s1", .failure_domain = domain, .capacity = 4},
                           now);
        }
        admissions.record_report("s1", {.capacity = 4, .slowdown = 1.0});
    }

    void fill(const std::string& server)
    {
        admissions.server_full("s1", {.server = server, .permitted_after = milliseconds{500}}, now);
    }

    /// The chosen server; empty if the step is not to send.
    [[nodiscard]] std::string chosen(server_comparison* comparison = nullptr) const
    {
        const auto plan = plan_request(context, request, now, comparison);
        return plan.step == request_step::send ? plan.choice->server : "";
    }
};

// Guards against a comparison that lists a full server as usable, or a choice that depends on
// whether it is explained.
TEST_CASE("A plan leaves out a full server while another one is free")
{
    decision_fixture run;
    CHECK(run.chosen() == "i-1");
    run.fill("i-1");
    server_comparison comparison;
    CHECK(run.chosen(&comparison) == "i-2");
    CHECK(run.chosen() == "i-2");
    CHECK(comparison.full == std::vector<std::string>{"i-1"});
    REQUIRE(comparison.assessments.size() == 2);
    CHECK(comparison.assessments[0].is_excluded);
}

// Guards against a plan that takes a place in the queue or draws a random Retry-After.
TEST_CASE("A plan to wait while all servers are full changes nothing")
{
    decision_fixture run;
    run.fill("i-1");
    run.fill("i-2");
    // The servers stay full for longer than the request may wait.
    run.admissions.decide_after_refusal(
        "s1", {.target_latency = milliseconds{200}, .servers = {"i-1", "i-2"}}, run.now);
    const auto random_before = run.random;
    CHECK(plan_request(run.context, run.request, run.now).step == request_step::no_capacity);
    run.target.target_latency = milliseconds{900};
    const auto plan = plan_request(run.context, run.request, run.now);
    CHECK(plan.step == request_step::wait);
    CHECK(plan.longest_wait == milliseconds{900});
    CHECK_FALSE(run.admissions.has_waiting());
    CHECK(run.random == random_before);
}

// Guards against requests outside their regions, and against a refusal that blames the memory.
TEST_CASE("A plan uses only servers in the regions that the route allows")
{
    decision_fixture run;
    run.target.regions = region_list{"south"};
    CHECK(run.chosen() == "i-2");
    run.target.regions = region_list{};
    CHECK(plan_request(run.context, run.request, run.now).step == request_step::no_server);
}

} // namespace
} // namespace dotterelport::gateway
