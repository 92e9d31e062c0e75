#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "dotterelport/base/error.hpp"
#include "dotterelport/net/datagram_socket.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/net/rpc.hpp"
#include "dotterelport/net/tcp_connection.hpp"

namespace dotterelport::net {
namespace {

constexpr milliseconds test_limit{3'000};

/// A server and a client on one loop.
struct fixture {
    event_loop loop;
    http_server server{loop};
    http_client client{loop};
    endpoint address;

    endpoint listen() { return address = server.listen({"127.0.0.1", 0}); }

    client_answer fetch(const client_request& request)
    {
        client_answer result;
        client.fetch(request, [&](const client_answer& answer) {
            result = answer;
            loop.stop();
        });
        loop.run_for(test_limit);
        return result;
    }
};

TEST_CASE("SIGHUP does not end a process, and calls the function that is set for it")
{
    event_loop loop;
    ::raise(SIGHUP);
    int calls = 0;
    loop.on_reload([&] { ++calls; });
    for (int i = 0; i < 2; ++i) {
        ::raise(SIGHUP);
        loop.run_for(milliseconds{20});
    }
    CHECK(calls == 2);
}

TEST_CASE("A complete answer arrives unchanged, also over a kept-alive connection")
{
    fixture net;
    net.server.route("POST", "/echo", [](const http_request& request, const auto& response) {
        response->send(201, {{"X-Test", std::string(request.header("x-name").value_or("none"))}},
                       request.body);
    });
    net.listen();
    const std::string body =
        GENERATE(std::string(), std::string("text"), std::string(300'000, 'x'));
    for (int i = 0; i < 3; ++i) {
        const auto answer = net.fetch({.to = net.address,
                                       .method = "POST",
                                       .path = "/echo",
                                       .headers = {{"X-Name", "a"}},
                                       .body = body});
        CHECK(answer.status == 201);
        CHECK(answer.body == body);
        CHECK(find_header(answer.headers, "X-Test") == "a");
    }
    CHECK(net.server.requests_in_progress() == 0);
}

TEST_CASE("A streamed answer arrives in parts and in order")
{
    fixture net;
    net.server.route("GET", "/stream", [&](const http_request&, const auto& response) {
        response->start(200, {{"content-type", "text/plain"}});
        for (int i = 0; i < 5; ++i) {
            net.loop.schedule(milliseconds{5 * i}, [response, i] {
                response->write(std::to_string(i));
                if (i == 4) {
                    response->finish();
                }
            });
        }
    });
    net.listen();
    std::vector<std::string> parts;
    net.client.start({.to = net.address, .path = "/stream"},
                     {.on_head = nullptr,
                      .on_data = [&](std::string_view data) { parts.emplace_back(data); },
                      .on_complete = [&] { net.loop.stop(); },
                      .on_failure = nullptr});
    net.loop.run_for(test_limit);
    std::string all;
    for (const auto& part : parts) {
        all += part;
    }
    CHECK(all == "01234");
    CHECK(parts.size() > 1);
}

TEST_CASE("Failures report the stage that the exchange had reached")
{
    fixture net;
    net.server.route("GET", "/silent", [](const http_request&, const auto&) {});
    net.server.route("GET", "/dropped",
                     [](const http_request&, const auto& response) { response->abort(); });
    net.server.route("GET", "/cut", [&](const http_request&, const auto& response) {
        response->start(200, {});
        response->write("half");
        net.loop.schedule(milliseconds{20}, [response] { response->abort(); });
    });
    net.listen();
    struct row {
        std::string path;
        bool listening;
        failure_stage stage;
    };
    const auto [path, listening, stage] = GENERATE(
        row{"/x", false, failure_stage::connect}, row{"/silent", true, failure_stage::sent},
        row{"/dropped", true, failure_stage::sent}, row{"/cut", true, failure_stage::answering});
    const endpoint to = listening ? net.address : endpoint{"127.0.0.1", 1};
    const auto answer = net.fetch({.to = to, .path = path, .answer_timeout = milliseconds{200}});
    CHECK(answer.failed());
    CHECK(answer.stage == stage);
}

/// Answers each connection with given bytes and then ends it, normally or by a reset.
struct ending_server {
    event_loop& loop;
    std::string answer;
    bool by_reset;
    std::vector<std::unique_ptr<tcp_connection>> connections;
    tcp_listener listener;

    ending_server(event_loop& event_loop, std::string bytes, bool reset)
        : loop(event_loop), answer(std::move(bytes)), by_reset(reset),
          listener(loop, {"127.0.0.1", 0}, [this](auto connection) {
              auto* raw = connection.get();
              connections.push_back(std::move(connection));
              raw->start({.on_input = [this, raw] { raw->write(answer); },
                          .on_end = [](stream_end /*end*/) {}});
              // A reset would discard bytes that the client has not received yet.
              loop.schedule(milliseconds{60}, [this, raw] {
                  raw->consume(raw->input().size());
                  if (by_reset) {
                      raw->reset_on_close();
                  }
                  connections.clear();
              });
          })
    {}
};

TEST_CASE("Only the normal end of a connection completes an answer that it delimits")
{
    const auto [answer, by_reset, is_complete] = GENERATE(table<std::string, bool, bool>({
        {"HTTP/1.1 200 OK\r\n\r\n{\"a\":1}", false, true},
        {"HTTP/1.1 200 OK\r\n\r\n{\"a\":1}", true, false},
        {"HTTP/1.0 200 OK\r\n\r\n{\"a\":1}", true, false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1}", false, false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1}", true, false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n", false, false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}", true, true},
    }));
    CAPTURE(answer, by_reset);
    fixture net;
    const ending_server server(net.loop, answer, by_reset);
    const auto received = net.fetch({.to = server.listener.address()});
    CHECK(received.failed() != is_complete);
    CHECK((received.failed() ? received.stage == failure_stage::answering
                             : received.body == "{\"a\":1}"));
}

TEST_CASE("Two sockets never share an address, for datagrams or for connections")
{
    event_loop loop;
    SECTION("datagrams")
    {
        const datagram_socket first(loop, {"127.0.0.1", 0}, [](auto) {});
        CHECK_THROWS_AS(datagram_socket(loop, first.address(), [](auto) {}), error);
    }
    SECTION("connections")
    {
        const tcp_listener first(loop, {"127.0.0.1", 0}, [](auto) {});
        CHECK_THROWS_AS(tcp_listener(loop, first.address(), [](auto) {}), error);
    }
}

TEST_CASE("An answer that ends inside its head is no answer")
{
    const std::string answer =
        GENERATE("HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r");
    const bool by_reset = GENERATE(false, true);
    CAPTURE(answer, by_reset);
    fixture net;
    const ending_server server(net.loop, answer, by_reset);
    const auto received = net.fetch({.to = server.listener.address()});
    CHECK(received.failed());
    CHECK(received.stage == failure_stage::sent);
}

TEST_CASE(
    "A request that asks for a connection of its own gets no second copy of an earlier answer")
{
    fixture net;
    std::vector<std::unique_ptr<tcp_connection>> connections;
    int answers = 0;
    const tcp_listener server(net.loop, {"127.0.0.1", 0}, [&](auto connection) {
        auto* raw = connection.get();
        connections.push_back(std::move(connection));
        raw->start({.on_input =
                        [&, raw, copy = std::string()]() mutable {
                            raw->consume(raw->input().size());
                            const std::string own =
                                "HTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\n" +
                                std::to_string(++answers);
                            raw->write(copy + own);
                            copy = own;
                        },
                    .on_end = [](stream_end /*end*/) {}});
    });
    for (const std::string expected : {"1", "2"}) {
        const auto received =
            net.fetch({.to = server.address(), .headers = {{"connection", "close"}}});
        CHECK(received.body == expected);
    }
    CHECK(connections.size() == 2);
}

// Guards against a loop that waits for sockets while a write of an exchange is pending. The server
// has its own loop, as its events would otherwise wake up the client's.
TEST_CASE("Exchanges on a kept-alive connection do not wait for the loop's next timer")
{
    std::promise<endpoint> listening;
    std::thread peer([&] {
        event_loop loop;
        http_server server(loop);
        server.route("GET", "/", [](const http_request&, const auto& response) {
            response->send(200, {}, "body");
        });
        server.route("GET", "/stop", [&](const http_request&, const auto& response) {
            response->send(200, {}, "");
            loop.schedule(milliseconds{20}, [&] { loop.stop(); });
        });
        listening.set_value(server.listen({"127.0.0.1", 0}));
        loop.run();
    });
    fixture net;
    net.address = listening.get_future().get();
    constexpr int exchanges = 20;
    // With the fault each exchange takes up to 50 ms; without it less than 1 ms.
    constexpr milliseconds limit{400};
    const auto start = steady_now();
    for (int i = 0; i < exchanges; ++i) {
        CHECK(net.fetch({.to = net.address}).status == 200);
    }
    CHECK(steady_now() - start < limit);
    net.fetch({.to = net.address, .path = "/stop"});
    peer.join();
}

TEST_CASE("A client that disconnects is reported to the server")
{
    fixture net;
    bool closed = false;
    net.server.route("GET", "/stream", [&](const http_request&, const auto& response) {
        response->on_close([&] {
            closed = true;
            net.loop.stop();
        });
        response->start(200, {});
        for (int i = 0; i < 20; ++i) {
            net.loop.schedule(milliseconds{10 * i}, [response] { response->write("x"); });
        }
    });
    net.listen();
    const auto exchange = net.client.start({.to = net.address, .path = "/stream"}, {});
    net.loop.schedule(milliseconds{50}, [&] { net.client.cancel(exchange); });
    net.loop.run_for(test_limit);
    CHECK(closed);
}

// Guards against functions of other requests that run inside write(), for example while its caller
// iterates over the connections that it writes to.
TEST_CASE("A connection that gives way to a limit is reported after the write that needs room")
{
    fixture net;
    constexpr std::size_t limit = 24U << 20U;
    constexpr std::size_t answer_bytes = 16U << 20U;
    http_server server(net.loop,
                       {.clients = client_limits{.bytes = limit, .connections = 10, .reserve = 0}});
    std::vector<std::shared_ptr<http_response>> responses;
    bool writing = false;
    int closed = 0;
    int closed_while_writing = 0;
    server.route("GET", "/", [&](const http_request&, const auto& response) {
        responses.push_back(response);
        response->on_close([&] {
            ++closed;
            closed_while_writing += writing ? 1 : 0;
        });
        response->start(200, {});
    });
    const endpoint to = server.listen({"127.0.0.1", 0});
    constexpr std::size_t client_count = 2;
    std::vector<std::unique_ptr<tcp_connector>> connectors;
    connectors.reserve(client_count);
    std::vector<std::unique_ptr<tcp_connection>> clients;
    for (std::size_t i = 0; i < client_count; ++i) {
        connectors.push_back(std::make_unique<tcp_connector>(
            net.loop, to, test_limit, [&](std::unique_ptr<tcp_connection> opened) {
                opened->start({.on_input = [] {}, .on_end = [](stream_end) {}});
                opened->pause_reading();
                opened->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
                clients.push_back(std::move(opened));
            }));
        // The first client has moved least when the second one needs room.
        net.loop.run_for(milliseconds{200});
    }
    REQUIRE(responses.size() == client_count);
    for (const auto& response : responses) {
        // Larger than what the kernel accepts; the second answer needs the room of the first.
        writing = true;
        response->write(std::string(answer_bytes, 'x'));
        writing = false;
        net.loop.run_for(milliseconds{100});
    }
    CHECK(closed == 1);
    CHECK(closed_while_writing == 0);
}

TEST_CASE("An exchange may be cancelled from its own callbacks")
{
    fixture net;
    net.server.route("GET", "/", [](const http_request&, const auto& response) {
        response->send(200, {}, "body");
    });
    net.listen();
    const bool in_head = GENERATE(true, false);
    exchange_id exchange = 0;
    bool completed = false;
    exchange = net.client.start({.to = net.address},
                                {.on_head =
                                     [&](int, const header_list&) {
                                         if (in_head) {
                                             net.client.cancel(exchange);
                                         }
                                     },
                                 .on_data = [&](std::string_view) { net.client.cancel(exchange); },
                                 .on_complete = [&] { completed = true; },
                                 .on_failure = [&](auto, const auto&) { completed = true; }});
    net.loop.run_for(milliseconds{100});
    CHECK_FALSE(completed);
    CHECK(net.client.exchanges_in_progress() == 0);
}

TEST_CASE("A request body over the limit is rejected")
{
    fixture net;
    http_server small(net.loop, {.max_body_bytes = 10, .idle_timeout = milliseconds{1000}});
    small.route("POST", "/",
                [](const http_request&, const auto& response) { response->send(200, {}, ""); });
    const endpoint to = small.listen({"127.0.0.1", 0});
    CHECK(net.fetch({.to = to, .method = "POST", .body = std::string(100, 'x')}).status == 413);
}

TEST_CASE("RPC methods answer at once or later, and report errors")
{
    fixture net;
    rpc_server rpc(net.server);
    rpc_client caller(net.client);
    rpc.add("add", [](const json& parameters) {
        return json{{"sum", parameters.at("a").get<int>() + parameters.at("b").get<int>()}};
    });
    rpc.add("fail", [](const json&) -> json { throw rpc_error("wrong_incarnation"); });
    rpc.add_deferred("later", [&](const json& parameters, const rpc_server::reply& done) {
        net.loop.schedule(milliseconds{5}, [parameters, done] { done(parameters); });
    });
    net.listen();
    const auto call = [&](const std::string& method, const json& parameters) {
        rpc_result result;
        caller.call(net.address, method, parameters, test_limit, [&](const rpc_result& value) {
            result = value;
            net.loop.stop();
        });
        net.loop.run_for(test_limit);
        return result;
    };
    CHECK(call("add", {{"a", 1}, {"b", 2}}).value == json{{"sum", 3}});
    CHECK(call("later", {{"x", 1}}).value == json{{"x", 1}});
    const auto refused = call("fail", json::object());
    CHECK(refused.outcome == rpc_result::status::refused);
    CHECK(refused.message.find("wrong_incarnation") != std::string::npos);
    CHECK(call("absent", json::object()).outcome == rpc_result::status::refused);
}

TEST_CASE("Server-sent events are reassembled from any split of the bytes")
{
    const std::string stream = "data: one\r\n\r\n: comment\ndata: two\ndata: three\n\n";
    const std::size_t size = GENERATE(1U, 2U, 7U, 100U);
    std::vector<std::string> events;
    sse_parser parser([&](std::string_view data) { events.emplace_back(data); });
    for (std::size_t i = 0; i < stream.size(); i += size) {
        parser.feed(std::string_view(stream).substr(i, size));
    }
    CHECK(events == std::vector<std::string>{"one", "two\nthree"});
}

TEST_CASE("Query parameters are percent-decoded")
{
    http_request request;
    request.query = "prefix=node%2F&since=3&empty";
    CHECK(request.parameter("prefix") == "node/");
    CHECK(request.parameter("since") == "3");
    CHECK(request.parameter("empty") == "");
    CHECK_FALSE(request.parameter("absent").has_value());
    CHECK(percent_decode(percent_encode("a b/%~")) == "a b/%~");
}

} // namespace
} // namespace dotterelport::net
