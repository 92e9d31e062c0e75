#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelport/agent/agent.hpp"
#include "dotterelport/agent/test_reader.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/request/messages.hpp"
#include "dotterelport/standin/engine.hpp"
#include "dotterelport/standin/service.hpp"

namespace dotterelport::agent {
namespace {

using request::failure_reason;

constexpr milliseconds test_timeout{5'000};
const incarnation self{"agent-1", 3};
const incarnation holder{"router-a", 5};

standin::engine::options engine_options()
{
    standin::engine::options options;
    options.batch = {
        .slots = 4, .token_ms = 2, .token_ms_per_sequence = 0, .prefill_ms_per_token = 0};
    options.load_update_interval = milliseconds{20};
    options.cache.event_delay = milliseconds{10};
    options.crash_on_marker = true;
    return options;
}

/// An agent with a stand-in engine, a stand-in application and a holder, on one event loop.
struct fixture {
    net::event_loop loop;
    net::http_client client{loop};
    net::rpc_client rpc{client};
    standin::engine engine{loop, engine_options()};
    standin::service service{loop, {.latency = milliseconds{2}, .crash_on_marker = true}};
    net::http_server holder_server{loop};
    net::rpc_server holder_methods{holder_server};
    net::endpoint holder_address = holder_server.listen({"127.0.0.1", 0});
    json outcomes = json::array();
    bool is_durable = true;
    std::uint64_t generation = 7;
    net::http_server agent_server{loop};
    net::rpc_server agent_methods{agent_server};
    net::endpoint backend_server;
    std::unique_ptr<agent> subject;
    net::endpoint address;

    explicit fixture(request::request_kind kind = request::request_kind::chat)
    {
        const bool is_chat = kind == request::request_kind::chat;
        const net::endpoint any{"127.0.0.1", 0};
        backend_server = is_chat ? engine.listen(any) : service.listen(any);
        start_agent(backend_server);
        subject->set_kind(is_chat ? config::service_kind::model
                                  : config::service_kind::application);
        holder_methods.add("outcomes", [this](const json& parameters) {
            json durable = json::array();
            for (const json& item : parameters["outcomes"]) {
                outcomes.push_back(item);
                durable.push_back({{"workspace", item["workspace"]}, {"key", item["key"]}});
            }
            return json{{"durable", is_durable ? durable : json::array()}};
        });
    }

    void start_agent(const net::endpoint& backend_server)
    {
        subject = std::make_unique<agent>(
            loop, rpc, agent::options{.service = "svc", .backend_server = backend_server});
        subject->set_incarnation(self);
        subject->set_generation_source([this] {
            return agent::generation_state{generation, milliseconds{60'000}};
        });
        subject->serve(agent_server, agent_methods);
        address = agent_server.listen({"127.0.0.1", 0});
    }

    [[nodiscard]] request::admission message(const std::string& key,
                                             const std::string& text = "one two three") const
    {
        request::admission result;
        result.key = {"depot", key};
        result.agent = self;
        result.holder = holder;
        result.holder_address = to_string(holder_address);
        result.budget = "depot-main";
        result.upper_tokens = 500;
        result.generation = generation;
        result.time_left = milliseconds{3'000};
        result.service = "svc";
        result.idempotent = true;
        result.digest = text;
        result.payload = {{"model", "m"}, {"messages", {{{"role", "user"}, {"content", text}}}}};
        return result;
    }

    [[nodiscard]] request::admission booking(const std::string& key, const json& body) const
    {
        auto result = message(key);
        result.kind = request::request_kind::call;
        result.idempotent = false;
        result.payload = {{"method", "POST"},
                          {"path", "/bookings"},
                          {"headers", {{"content-type", "application/json"}}},
                          {"body", body.dump()}};
        return result;
    }

    std::shared_ptr<reader> send(const request::admission& new_admission)
    {
        return send_admission(client, address, new_admission);
    }

    bool wait(const std::function<bool()>& condition)
    {
        const milliseconds end = steady_now() + test_timeout;
        while (!condition() && steady_now() < end) {
            loop.run_for(milliseconds{5});
        }
        return condition();
    }

    std::shared_ptr<reader> run(const request::admission& new_admission)
    {
        auto result = send(new_admission);
        REQUIRE(wait([&] { return result->ended; }));
        return result;
    }

    net::rpc_result call(const std::string& method, json parameters)
    {
        if (!parameters.contains("agent") && method != "status") {
            parameters["agent"] = to_string(self);
        }
        net::rpc_result result;
        bool done = false;
        rpc.call(address, method, parameters, test_timeout, [&](const net::rpc_result& rpc_answer) {
            result = rpc_answer;
            done = true;
        });
        wait([&] { return done; });
        return result;
    }

    net::rpc_result call_key(const std::string& method, const std::string& key)
    {
        return call(method, {{"workspace", "depot"}, {"key", key}});
    }
};

TEST_CASE("A chat request is streamed, charged with its usage and reported until durable")
{
    fixture net;
    net.is_durable = false;
    const auto result = net.run(net.message("k1"));
    const auto* end = result->last<request::end_frame>();
    REQUIRE(end != nullptr);
    CHECK(end->verdict == verdict::ran);
    CHECK(result->text().rfind("depot/k1/0/", 0) == 0);
    REQUIRE(net.wait([&] { return net.outcomes.size() >= 2; }));
    CHECK_FALSE(net.subject->is_drained());
    const auto outcome = request::parse_outcome(net.outcomes.front());
    CHECK(outcome.charged == end->prompt_tokens + end->completion_tokens);
    CHECK(outcome.verdict == verdict::ran);
    CHECK(outcome.holder == holder);
    net.is_durable = true;
    CHECK(net.wait([&] { return net.subject->is_drained(); }));
}

TEST_CASE("Charged tokens never exceed the reservation")
{
    fixture net;
    auto message = net.message("k1");
    message.upper_tokens = 2;
    net.run(message);
    REQUIRE(net.wait([&] { return !net.outcomes.empty(); }));
    CHECK(request::parse_outcome(net.outcomes.front()).charged == 2);
}

TEST_CASE("A retry joins the run of a disconnected reader at any offset, without lost or repeated "
          "chunks")
{
    fixture net;
    const auto first = net.send(net.message("k1"));
    REQUIRE(net.wait([&] { return first->frames.size() > 5; }));
    const bool is_reader_lost = GENERATE(true, false);
    if (is_reader_lost) {
        net.client.cancel(first->exchange);
    }
    auto retry = net.message("k1");
    retry.offset = GENERATE(0U, 3U);
    const auto second = net.run(retry);
    const auto complete = net.run(net.message("k1"));
    CHECK(std::get<request::admitted_frame>(second->frames.front()).joined);
    CHECK(net.engine.counters().to_json()["keys"]["depot/k1"]["runs"] == 1);
    const std::string text = complete->text();
    const std::string tail = second->text(retry.offset);
    CHECK_FALSE(tail.empty());
    CHECK(text.substr(text.size() - tail.size()) == tail);
    CHECK((retry.offset == 0) == (tail.size() == text.size()));
    CHECK(second->last<request::end_frame>() != nullptr);
    if (!is_reader_lost) {
        CHECK(first->text() == text);
    }
}

TEST_CASE("After refuse, a late admission does not run")
{
    fixture net;
    CHECK(net.call_key("lookup", "k1").value["state"] == "unknown");
    CHECK(net.call_key("refuse", "k1").value["state"] == "refused");
    const auto result = net.run(net.message("k1"));
    const auto* refusal = result->last<request::error_frame>();
    REQUIRE(refusal != nullptr);
    CHECK(refusal->reason == failure_reason::refused_key);
    CHECK(refusal->verdict == verdict::not_run);
    CHECK(net.engine.counters().to_json()["total"]["runs"] == 0);
}

TEST_CASE("A fenced holder is refused permanently; its runs and outcomes are reported and "
          "acknowledged")
{
    fixture net;
    net.is_durable = false;
    net.run(net.message("k1"));
    net.engine.set_faults({{"freeze", true}});
    const auto running = net.send(net.message("k2"));
    REQUIRE(net.wait([&] { return !running->frames.empty(); }));
    const json fence_report = net.call("fence", {{"holder", to_string(holder)}}).value;
    REQUIRE(fence_report["running"].size() == 1);
    CHECK(fence_report["running"][0]["key"] == "k2");
    REQUIRE(fence_report["outcomes"].size() == 1);
    CHECK(fence_report["outcomes"][0]["key"] == "k1");
    const auto late = net.run(net.message("k3"));
    CHECK(late->last<request::error_frame>()->reason == failure_reason::fenced);
    net.engine.set_faults({{"freeze", false}});
    REQUIRE(net.wait([&] { return running->ended; }));
    const json keys = {{{"workspace", "depot"}, {"key", "k1"}},
                       {{"workspace", "depot"}, {"key", "k2"}}};
    net.call("acknowledge", {{"holder", to_string(holder)}, {"keys", keys}});
    // k2 ended after the first answer to fence, so its outcome is not acknowledged yet.
    const json second_fence_report = net.call("fence", {{"holder", to_string(holder)}}).value;
    REQUIRE(second_fence_report["outcomes"].size() == 1);
    CHECK(second_fence_report["outcomes"][0]["key"] == "k2");
    net.call("acknowledge", {{"holder", to_string(holder)}, {"keys", keys}});
    CHECK(net.subject->is_drained());
}

TEST_CASE("Messages for an earlier incarnation change nothing")
{
    fixture net;
    auto old = net.message("k1");
    old.agent.epoch = 2;
    CHECK(net.run(old)->last<request::error_frame>()->reason == failure_reason::wrong_incarnation);
    const json parameters = {{"agent", "agent-1#2"}, {"workspace", "depot"}, {"key", "k1"}};
    const auto refused = net.call("refuse", parameters);
    CHECK(refused.outcome == net::rpc_result::status::refused);
    CHECK(refused.message.find("wrong_incarnation") != std::string::npos);
    CHECK(net.run(net.message("k1"))->last<request::end_frame>() != nullptr);
}

TEST_CASE("A request whose backend server goes down is reported as crashed and charged in full")
{
    const auto kind = GENERATE(request::request_kind::chat, request::request_kind::call);
    fixture net(kind);
    const std::string marker(standin::crash_marker);
    const auto message = kind == request::request_kind::chat
                             ? net.message("k1", marker)
                             : net.booking("k1", {{"note", marker}});
    const auto crashed = net.run(message);
    const auto* failure = crashed->last<request::error_frame>();
    REQUIRE(failure != nullptr);
    CHECK(failure->reason == failure_reason::backend_crashed);
    CHECK(failure->verdict == verdict::may_have_run);
    REQUIRE(net.wait([&] { return !net.outcomes.empty(); }));
    CHECK(request::parse_outcome(net.outcomes.front()).charged == message.upper_tokens);
    // The backend server is down, so nothing is sent. The attempt is closed although nothing ran.
    auto next = net.message("k2");
    const auto refused = net.run(next);
    const auto* unsent = refused->last<request::error_frame>();
    REQUIRE(unsent != nullptr);
    CHECK(unsent->reason == failure_reason::backend_unreachable);
    CHECK(unsent->verdict == verdict::not_run);
    CHECK(net.run(next)->last<request::error_frame>()->reason == failure_reason::refused_key);
}

// Guards against reporting a crash as a mere error, which let a crashing request reach a third
// backend server.
TEST_CASE("A backend server that goes down and restarts at once is reported as crashed")
{
    fixture net;
    net.engine.on_crash([&] {
        net.engine.simulate_kill();
        net.engine.listen(net.backend_server);
    });
    const auto crashed = net.run(net.message("k1", std::string(standin::crash_marker)));
    REQUIRE(crashed->last<request::error_frame>() != nullptr);
    CHECK(crashed->last<request::error_frame>()->reason == failure_reason::backend_crashed);
}

TEST_CASE("A cancelled request and one past its deadline are stopped at the engine")
{
    fixture net;
    net.engine.set_faults({{"slow_factor", 10.0}});
    const bool is_cancelled = GENERATE(true, false);
    auto message = net.message("k1");
    message.time_left = is_cancelled ? milliseconds{3'000} : milliseconds{100};
    const auto result = net.send(message);
    REQUIRE(net.wait([&] { return net.engine.running_count() == 1; }));
    if (is_cancelled) {
        CHECK(net.call_key("cancel", "k1").value["verdict"] == "may_have_run");
    }
    REQUIRE(net.wait([&] { return result->ended; }));
    CHECK(result->last<request::error_frame>()->reason ==
          (is_cancelled ? failure_reason::cancelled : failure_reason::deadline));
    CHECK(net.wait([&] { return net.engine.running_count() == 0; }));
    CHECK(net.engine.counters().to_json()["total"]["finished"] == 0);
}

TEST_CASE("A booking runs once, even if it is sent again while it runs or later")
{
    fixture net(request::request_kind::call);
    const auto booking = net.booking("k1", {{"lot", 7}});
    const auto first = net.send(booking);
    const auto second = net.run(booking);
    const auto third = net.run(booking);
    CHECK(net.service.bookings() == 1);
    const auto& chunk = std::get<request::chunk_frame>(third->frames.at(1));
    CHECK(chunk.data["status"] == 201);
    CHECK(json::parse(chunk.data["body"].get<std::string>())["key"] == "depot/k1");
    CHECK(std::get<request::chunk_frame>(second->frames.at(1)).data == chunk.data);
    auto other = booking;
    other.digest = "other";
    CHECK(net.run(other)->last<request::error_frame>()->reason == failure_reason::key_reused);
}

// Only requests of callers are billed: a router's own lookup is not billed to the workspace.
TEST_CASE("A call without a budget has no outcome")
{
    fixture net(request::request_kind::call);
    auto lookup = net.booking("lookup-1", {{"lot", 7}});
    lookup.budget.clear();
    const auto result = net.run(lookup);
    CHECK(result->last<request::end_frame>() != nullptr);
    net.run(net.booking("k1", {{"lot", 8}}));
    REQUIRE(net.wait([&] { return !net.outcomes.empty(); }));
    CHECK(std::all_of(net.outcomes.begin(), net.outcomes.end(),
                      [](const json& item) { return item["key"] == "k1"; }));
}

TEST_CASE("A leaving agent refuses new requests and finishes the running ones")
{
    fixture net;
    const auto running = net.send(net.message("k1"));
    REQUIRE(net.wait([&] { return running->frames.size() > 2; }));
    net.subject->leave();
    CHECK(net.call("status", json::object()).value["leaving"] == true);
    CHECK(net.run(net.message("k2"))->last<request::error_frame>()->reason ==
          failure_reason::leaving);
    CHECK_FALSE(net.subject->is_drained());
    REQUIRE(net.wait([&] { return net.subject->is_drained(); }));
    CHECK(running->last<request::end_frame>() != nullptr);
}

TEST_CASE("A request from a router with a stale configuration is refused")
{
    fixture net;
    auto old = net.message("k1");
    old.generation = 6;
    CHECK(net.run(old)->last<request::error_frame>()->reason ==
          failure_reason::stale_configuration);
    net.generation = 0;
    CHECK(net.run(net.message("k2"))->last<request::error_frame>()->reason == failure_reason::busy);
}

TEST_CASE("Malformed admissions are answered with 400 and run nothing")
{
    fixture net(request::request_kind::call);
    auto message = net.booking("k1", {});
    const int fault = GENERATE(0, 1, 2, 3);
    switch (fault) {
    case 0:
        message.payload["path"] = "/bookings HTTP/1.1\r\nx: y";
        break;
    case 1:
        message.payload["headers"] = {{"x", "a\r\nb: c"}};
        break;
    case 2:
        message.service = "other";
        break;
    default:
        message.payload = json::array();
    }
    int status = 0;
    net.client.fetch({.to = net.address,
                      .method = "POST",
                      .path = "/v1/requests",
                      .body = to_json(message).dump()},
                     [&](const net::client_answer& answer) { status = answer.status; });
    CHECK(net.wait([&] { return status != 0; }));
    CHECK(status == 400);
    CHECK(net.service.bookings() == 0);
}

TEST_CASE("Status shows the load and the cached prefixes of the engine")
{
    fixture net;
    std::string text;
    for (int i = 0; i < 40; ++i) {
        text += "word ";
    }
    net.run(net.message("k1", text));
    json status;
    REQUIRE(net.wait([&] {
        status = net.call("status", json::object()).value;
        return status["cache"].value("prefixes", json::array()).size() == 2;
    }));
    CHECK(status["load"]["capacity"] == 4);
    const json same = {{"cache_sequence", status["cache"]["sequence"]}};
    CHECK_FALSE(net.call("status", same).value["cache"].contains("prefixes"));
}

TEST_CASE("An order with a stale fencing number does not reach an engine that ignores the number")
{
    fixture net;
    const auto order = [&](int fencing) {
        return net.call("order", {{"fencing", fencing}, {"action", "load_model"}, {"model", "n"}})
            .value;
    };
    CHECK(order(5)["accepted"] == true);
    CHECK(order(5)["accepted"] == true);
    CHECK(order(4) == json{{"accepted", false}, {"highest_fencing", 5}});
    CHECK(order(6)["highest_fencing"] == 6);
}

} // namespace
} // namespace dotterelport::agent
