#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/net/tcp_connection.hpp"
#include "dotterelport/object_store/store_relay.hpp"
#include "dotterelport/standin/endless_server.hpp"

namespace dotterelport::object_store {
namespace {

using namespace std::chrono_literals;

/// A store behind a relay.
struct fixture {
    net::event_loop loop;
    net::http_server store{loop, {.max_body_bytes = 4U << 20U}};
    net::http_client client{loop};
    std::unique_ptr<store_relay> relay;

    explicit fixture(std::size_t max_connections = 500)
    {
        store.route("POST", "/echo", [](const net::http_request& request, const auto& response) {
            response->send(200, {}, request.body);
        });
        const auto address = store.listen({"127.0.0.1", 0});
        relay = std::make_unique<store_relay>(
            loop, store_relay::options{.listen = {"127.0.0.1", 0},
                                       .store = address,
                                       .max_connections = max_connections});
    }

    net::client_answer call(const std::string& body)
    {
        net::client_answer result;
        client.fetch({.to = relay->address(), .method = "POST", .path = "/echo", .body = body},
                     [&](const net::client_answer& answer) {
                         result = answer;
                         loop.stop();
                     });
        loop.run_for(2s);
        return result;
    }
};

TEST_CASE("Calls and answers pass through the relay unchanged, also over a reused connection")
{
    fixture run;
    const std::string body = GENERATE(std::string("x"), std::string(500'000, 'y'));
    for (int i = 0; i < 3; ++i) {
        const auto answer = run.call(body);
        CHECK(answer.status == 200);
        CHECK(answer.body == body);
    }
    CHECK(run.relay->connection_count() == 1);
}

TEST_CASE("The relay closes a connection if it cannot reach the store")
{
    fixture run;
    run.relay->set_store({"127.0.0.1", 1});
    CHECK(run.call("x").failed());
    run.loop.run_for(50ms);
    CHECK(run.relay->connection_count() == 0);
}

/// A store that begins an answer whose end is the end of its connection.
struct unframed_store {
    std::vector<std::unique_ptr<net::tcp_connection>> connections;
    net::tcp_listener listener;

    explicit unframed_store(net::event_loop& loop)
        : listener(loop, {"127.0.0.1", 0}, [this](auto connection) {
              auto* raw = connection.get();
              connections.push_back(std::move(connection));
              raw->start({.on_input =
                              [raw] {
                                  raw->consume(raw->input().size());
                                  raw->write("HTTP/1.1 200 OK\r\n\r\n{\"items\":[]}");
                              },
                          .on_end = [](net::stream_end /*end*/) {}});
          })
    {}
};

TEST_CASE(
    "An answer that ends with its connection is complete behind the relay only if it was before")
{
    enum class ending { store_closes, store_resets, relay_ends };
    const auto end = GENERATE(ending::store_closes, ending::store_resets, ending::relay_ends);
    fixture run;
    unframed_store store(run.loop);
    run.relay->set_store(store.listener.address());
    run.loop.schedule(100ms, [&] {
        REQUIRE(store.connections.size() == 1);
        if (end == ending::relay_ends) {
            run.relay.reset();
            return;
        }
        store.connections[0]->reset_on_close(end == ending::store_resets);
        store.connections.clear();
    });
    CHECK(run.call("x").failed() == (end != ending::store_closes));
}

TEST_CASE("Connections beyond the limit are closed")
{
    fixture run(0);
    CHECK(run.call("x").failed());
}

// Guards against silent connections that take all places, so that no router reaches the store.
TEST_CASE("A connection that has sent nothing gives way to a new one, one in use does not")
{
    fixture run(2);
    std::vector<std::unique_ptr<net::tcp_connector>> connectors;
    std::vector<std::unique_ptr<net::tcp_connection>> silent;
    for (int i = 0; i < 2; ++i) {
        connectors.push_back(std::make_unique<net::tcp_connector>(
            run.loop, run.relay->address(), 500ms,
            [&](auto connection) { silent.push_back(std::move(connection)); }));
        run.loop.run_for(50ms);
    }
    REQUIRE(run.relay->connection_count() == 2);
    CHECK(run.call("x").status == 200);
    CHECK(run.relay->connection_count() == 2);
    connectors.push_back(std::make_unique<net::tcp_connector>(
        run.loop, run.relay->address(), 500ms,
        [&](auto connection) { silent.push_back(std::move(connection)); }));
    run.loop.run_for(50ms);
    CHECK(run.call("x").status == 200);
    CHECK(run.relay->connection_count() == 2);
}

TEST_CASE("Calls that are cancelled at any moment leak no connection")
{
    fixture run;
    std::mt19937 random(3);
    for (int i = 0; i < 200; ++i) {
        const auto id = run.client.start({.to = run.relay->address(),
                                          .method = "POST",
                                          .path = "/echo",
                                          .body = std::string(random() % 100'000, 'z')},
                                         {});
        run.loop.run_for(milliseconds{static_cast<int>(random() % 3)});
        run.client.cancel(id);
    }
    run.loop.run_for(100ms);
    CHECK(run.call("x").status == 200);
    CHECK(run.relay->connection_count() <= 2);
}

// Guards against a store that sends faster than a router reads.
TEST_CASE("The relay keeps a bounded part of answers that routers do not read")
{
    constexpr int readers = 12;
    constexpr std::size_t allowed_growth = std::size_t{24} << 20U;
    fixture run;
    standin::endless_server store("HTTP/1.1 200 OK\r\n\r\n", std::string(4'000, 'x'));
    run.relay->set_store(store.address());
    const std::size_t before = standin::reset_peak_memory();
    std::vector<std::unique_ptr<net::tcp_connector>> connectors;
    std::vector<std::unique_ptr<net::tcp_connection>> connections;
    connectors.reserve(readers);
    for (int i = 0; i < readers; ++i) {
        connectors.push_back(std::make_unique<net::tcp_connector>(
            run.loop, run.relay->address(), 500ms, [&](auto connection) {
                REQUIRE(connection != nullptr);
                connection->start({.on_input = [] {}, .on_end = [](net::stream_end /*end*/) {}});
                connection->pause_reading();
                connection->write("GET / HTTP/1.1\r\n\r\n");
                connections.push_back(std::move(connection));
            }));
    }
    run.loop.run_for(1'500ms);
    CHECK(store.accepted() == readers);
    CHECK(standin::peak_memory() - before < allowed_growth);
    run.relay->set_store({"127.0.0.1", 1});
}

// Guards against a pause that is never ended.
TEST_CASE("A large answer passes the relay while its router reads slowly")
{
    fixture run;
    const std::string body(3'000'000, 'y');
    const auto answer = run.call(body);
    CHECK(answer.status == 200);
    CHECK(answer.body == body);
}

} // namespace
} // namespace dotterelport::object_store
