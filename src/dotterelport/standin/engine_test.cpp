#include <catch2/catch.hpp>

#include <sstream>

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/standin/engine.hpp"
#include "dotterelport/standin/service.hpp"

namespace dotterelport::standin {
namespace {

constexpr milliseconds test_timeout{5'000};

struct fixture {
    net::event_loop loop;
    net::http_client client{loop};

    net::client_answer post(const net::endpoint& to, const std::string& path, const json& body,
                            const std::string& key)
    {
        net::client_answer result;
        client.fetch({.to = to,
                      .method = "POST",
                      .path = path,
                      .headers = {{"X-Request-Key", key}, {"Idempotency-Key", key}},
                      .body = body.dump()},
                     [&](const net::client_answer& answer) {
                         result = answer;
                         loop.stop();
                     });
        loop.run_for(test_timeout);
        return result;
    }
};

engine::options fast_options()
{
    engine::options options;
    options.batch = {
        .slots = 4, .token_ms = 1, .token_ms_per_sequence = 0, .prefill_ms_per_token = 0};
    options.load_update_interval = milliseconds{10};
    return options;
}

json chat(const std::string& text, bool stream, tokens max_tokens = 1000)
{
    return {{"model", "ember-7b"},
            {"stream", stream},
            {"max_tokens", max_tokens},
            {"messages", {{{"role", "user"}, {"content", text}}}}};
}

TEST_CASE("Answers with and without streaming agree, and each token has its key and index")
{
    fixture net;
    engine subject(net.loop, fast_options());
    const auto address = subject.listen({"127.0.0.1", 0});
    const auto whole = net.post(address, "/v1/chat/completions", chat("a b c", false), "k 1");
    const json answer = json::parse(whole.body);
    std::string text;
    json usage;
    net::sse_parser parser([&](std::string_view data) {
        const json chunk = json::parse(data, nullptr, false);
        if (chunk.is_discarded()) {
            return;
        }
        usage = chunk.value("usage", json());
        for (const json& choice : chunk["choices"]) {
            text += choice["delta"].value("content", "");
        }
    });
    const auto streamed = net.post(address, "/v1/chat/completions", chat("a b c", true), "k 1");
    parser.feed(streamed.body);
    CHECK(text == answer["choices"][0]["message"]["content"]);
    CHECK(usage == answer["usage"]);
    CHECK(usage["prompt_tokens"] == 3);
    std::istringstream words(text);
    tokens count = 0;
    for (std::string word; words >> word; ++count) {
        CHECK(word.rfind("k_1/" + std::to_string(count) + "/", 0) == 0);
    }
    CHECK(usage["completion_tokens"] == count);
    CHECK(subject.counters().to_json()["keys"]["k 1"]["runs"] == 2);
}

TEST_CASE("A free slot is assigned to the request with the highest priority")
{
    engine_batch batch({.slots = 1});
    batch.add(1, priority::batch);
    batch.add(2, priority::interactive);
    std::vector<engine_batch::sequence_id> order;
    for (int i = 0; i < 2; ++i) {
        batch.begin_step([&](auto id) {
            order.push_back(id);
            return 0;
        });
        batch.remove(order.back());
    }
    CHECK(order == std::vector<engine_batch::sequence_id>{2, 1});
}

TEST_CASE("The prefix cache evicts the least recently used blocks, and its events have gaps")
{
    engine_cache cache({.max_blocks = 2, .event_delay = milliseconds{50}, .event_gap = 2});
    CHECK(cache.use({"a", "b"}, milliseconds{0}) == 0);
    CHECK(cache.use({"a", "b"}, milliseconds{0}) == 2);
    CHECK(cache.use({"c"}, milliseconds{0}) == 0);
    CHECK(cache.use({"a"}, milliseconds{0}) == 1);
    CHECK(cache.use({"a", "b"}, milliseconds{0}) == 1);
    CHECK(cache.events(0, milliseconds{49})["events"].empty());
    const json events = cache.events(0, milliseconds{50})["events"];
    REQUIRE(events.size() >= 2);
    CHECK(events[0]["sequence"] == 1);
    CHECK(events[1]["sequence"] == 3);
}

TEST_CASE("An engine refuses a stale order only if it checks fencing numbers")
{
    const bool checks = GENERATE(true, false);
    engine_orders orders(
        {.models = {"m"}, .load_time = milliseconds{100}, .check_fencing = checks});
    const json load = {{"fencing", 5}, {"action", "load_model"}, {"model", "n"}};
    CHECK(orders.execute(json::parse(load.dump()), milliseconds{0}).first == 200);
    CHECK_FALSE(orders.serves("n", milliseconds{99}));
    CHECK(orders.serves("n", milliseconds{100}));
    const json stale_order = {{"fencing", 4}, {"action", "unload_model"}, {"model", "m"}};
    CHECK(orders.execute(json::parse(stale_order.dump()), milliseconds{0}).first ==
          (checks ? 409 : 200));
    CHECK(orders.serves("m", milliseconds{0}) == checks);
}

TEST_CASE(
    "A request with the crash marker stops the engine in the middle of the stream, if enabled")
{
    fixture net;
    auto options = fast_options();
    options.crash_on_marker = GENERATE(true, false);
    engine subject(net.loop, options);
    const auto address = subject.listen({"127.0.0.1", 0});
    const auto answer =
        net.post(address, "/v1/chat/completions", chat(std::string(crash_marker), true), "k");
    CHECK(answer.failed() == options.crash_on_marker);
    const auto next = net.post(address, "/v1/chat/completions", chat("a", false), "k2");
    CHECK(next.failed() == options.crash_on_marker);
}

TEST_CASE("A slot is freed when its client disconnects")
{
    fixture net;
    engine subject(net.loop, fast_options());
    subject.set_faults({{"slow_factor", 5.0}});
    const auto address = subject.listen({"127.0.0.1", 0});
    net::exchange_id exchange = net.client.start({.to = address,
                                                  .method = "POST",
                                                  .path = "/v1/chat/completions",
                                                  .body = chat("x y z", true).dump()},
                                                 {});
    net.loop.run_for(milliseconds{30});
    CHECK(subject.running_count() == 1);
    net.client.cancel(exchange);
    net.loop.run_for(milliseconds{50});
    CHECK(subject.running_count() == 0);
}

TEST_CASE("A repeated booking books twice, and the lookup reports whether a key ran")
{
    fixture net;
    service subject(net.loop, {.latency = milliseconds{1}});
    const auto address = subject.listen({"127.0.0.1", 0});
    const auto status_of = [&](const std::string& path) {
        int status = 0;
        net.client.fetch({.to = address, .path = path}, [&](const net::client_answer& answer) {
            status = answer.status;
            net.loop.stop();
        });
        net.loop.run_for(test_timeout);
        return status;
    };
    CHECK(status_of("/bookings/k%201") == 404);
    CHECK(net.post(address, "/bookings", {{"lot", 7}}, "k 1").status == 201);
    CHECK(json::parse(net.post(address, "/bookings", {{"lot", 7}}, "k 1").body)["run"] == 2);
    CHECK(subject.bookings() == 2);
    CHECK(status_of("/bookings/k%201") == 200);
    CHECK(status_of("/stock/coal") == 200);
}

} // namespace
} // namespace dotterelport::standin
