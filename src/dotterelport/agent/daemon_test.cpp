#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

#include "dotterelport/agent/daemon.hpp"
#include "dotterelport/agent/test_reader.hpp"
#include "dotterelport/config/publisher.hpp"
#include "dotterelport/net/rpc.hpp"
#include "dotterelport/standin/engine.hpp"
#include "dotterelport/standin/platform_server.hpp"

namespace dotterelport::agent {
namespace {

constexpr milliseconds test_timeout{8'000};

constexpr const char* configuration = R"({"format": 1,
  "services": [{"name": "coal-llm", "kind": "model", "models": ["ember-7b"],
                "max_output_tokens": 100}],
  "workspaces": [{"name": "depot", "services": ["coal-llm"], "priority": "normal", "keys": [],
                  "budgets": [{"name": "depot-main", "services": ["*"],
                               "prepaid_tokens": 1000}]}],
  "settings": {"budget_shards": 4, "flush_ms": 500}})";

/// An agent process beside a stand-in engine, with a stand-in platform and a holder of grants.
struct fixture {
    net::event_loop loop;
    net::http_client client{loop};
    net::rpc_client rpc{client};
    standin::platform_server platform{loop, {}};
    object_store::client platform_client{client, platform.address()};
    standin::engine engine{loop, {}};
    net::http_server holder_server{loop};
    net::rpc_server holder_methods{holder_server};
    net::endpoint holder_address = holder_server.listen({"127.0.0.1", 0});
    int pushes = 0;
    bool is_durable = false;
    process::settings settings;
    std::unique_ptr<daemon> subject;

    fixture()
    {
        holder_methods.add("outcomes", [this](const json& parameters) {
            ++pushes;
            return json{{"durable", is_durable ? parameters["outcomes"] : json::array()}};
        });
        settings.name = "agent-1";
        settings.vm = "agent-1";
        settings.failure_domain = "lota";
        settings.service = "coal-llm";
        settings.platform = platform.address();
        settings.peers_address = free_address();
        settings.operators_address = free_address();
        settings.backend_server = engine.listen({"127.0.0.1", 0});
        subject = std::make_unique<daemon>(loop, settings);
    }

    net::endpoint free_address()
    {
        net::http_server probe(loop);
        return probe.listen({"127.0.0.1", 0});
    }

    bool wait(const std::function<bool()>& condition)
    {
        const milliseconds end = steady_now() + test_timeout;
        while (!condition() && steady_now() < end) {
            loop.run_for(milliseconds{5});
        }
        return condition();
    }

    void publish()
    {
        config::publisher publisher(loop, platform_client, {});
        bool done = false;
        publisher.publish(config::parse_document(configuration, "test"), std::nullopt, "id",
                          [&](const config::publish_result& result) {
                              done = std::holds_alternative<config::publish_applied>(result);
                          });
        REQUIRE(wait([&] { return done; }));
    }

    int ready_status()
    {
        int status = -1;
        client.fetch({.to = settings.operators_address, .path = "/readyz"},
                     [&](const net::client_answer& answer) { status = answer.status; });
        wait([&] { return status != -1; });
        return status;
    }

    json status()
    {
        json result;
        rpc.call(
            settings.peers_address, "status", json::object(), test_timeout,
            [&](const net::rpc_result& answer) { result = answer.ok() ? answer.value : "no"; });
        wait([&] { return !result.is_null(); });
        return result;
    }

    [[nodiscard]] request::admission message(const std::string& key) const
    {
        request::admission result;
        result.budget = "depot-main";
        result.key = {"depot", key};
        result.agent = {"agent-1", 1};
        result.holder = {"router-a", 1};
        result.holder_address = to_string(holder_address);
        result.upper_tokens = 200;
        result.generation = 1;
        result.time_left = milliseconds{5'000};
        result.service = "coal-llm";
        result.payload = {{"max_tokens", 20},
                          {"messages", {{{"role", "user"}, {"content", "one two"}}}}};
        return result;
    }

    std::shared_ptr<reader> send(const std::string& key)
    {
        return send_admission(client, settings.peers_address, message(key));
    }
};

TEST_CASE("An agent admits no request before the platform has confirmed a configuration")
{
    fixture net;
    REQUIRE(net.wait([&] { return net.status()["incarnation"] == "agent-1#1"; }));
    CHECK(net.ready_status() == 503);
    const auto early = net.send("k1");
    REQUIRE(net.wait([&] { return early->ended; }));
    REQUIRE(early->last<request::error_frame>() != nullptr);
    CHECK(early->last<request::error_frame>()->reason == request::failure_reason::busy);
    net.publish();
    CHECK(net.wait([&] { return net.ready_status() == 200; }));
    const auto later = net.send("k2");
    REQUIRE(net.wait([&] { return later->ended; }));
    CHECK(later->last<request::end_frame>() != nullptr);
}

TEST_CASE("A draining agent finishes its request and runs on until the outcome is durable")
{
    fixture net;
    net.publish();
    REQUIRE(net.wait([&] { return net.ready_status() == 200; }));
    const auto running = net.send("k1");
    REQUIRE(net.wait([&] { return running->frames.size() > 2; }));
    net.subject->drain();
    CHECK(net.status()["leaving"] == true);
    const auto refused = net.send("k2");
    REQUIRE(net.wait([&] { return refused->ended && running->ended; }));
    REQUIRE(refused->last<request::error_frame>() != nullptr);
    CHECK(refused->last<request::error_frame>()->reason == request::failure_reason::leaving);
    CHECK(running->last<request::end_frame>() != nullptr);
    const milliseconds watched_until = steady_now() + milliseconds{1'500};
    REQUIRE(net.wait([&] { return steady_now() > watched_until; }));
    CHECK(net.pushes > 0);
    CHECK(net.status()["leaving"] == true);
    net.is_durable = true;
    const milliseconds start = steady_now();
    net.loop.run_for(test_timeout);
    CHECK(steady_now() - start < test_timeout);
}

} // namespace
} // namespace dotterelport::agent
