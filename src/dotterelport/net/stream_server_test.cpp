#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "dotterelport/net/stream_server.hpp"
#include "dotterelport/net/tcp_connection.hpp"

namespace dotterelport::net {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds test_limit{2'000};

/// A server, and a client that sends raw bytes.
struct fixture {
    event_loop loop;
    std::vector<std::shared_ptr<stream_exchange>> exchanges;
    std::unique_ptr<stream_server> server;
    std::unique_ptr<tcp_connector> connector;
    std::unique_ptr<tcp_connection> client;
    std::string received;
    bool ended = false;

    explicit fixture(const stream_server::options& settings = {})
        : server(std::make_unique<stream_server>(loop, endpoint{"127.0.0.1", 0}, settings,
                                                 [this](std::shared_ptr<stream_exchange> exchange) {
                                                     exchanges.push_back(std::move(exchange));
                                                     loop.stop();
                                                 }))
    {
        connector = std::make_unique<tcp_connector>(
            loop, server->address(), test_limit, [this](std::unique_ptr<tcp_connection> opened) {
                client = std::move(opened);
                client->start({.on_input =
                                   [this] {
                                       received.append(client->input());
                                       client->consume(client->input().size());
                                       loop.stop();
                                   },
                               .on_end =
                                   [this](stream_end /*end*/) {
                                       ended = true;
                                       loop.stop();
                                   }});
                loop.stop();
            });
        loop.run_for(test_limit);
    }

    void send(std::string_view bytes)
    {
        client->write(bytes);
        loop.run_for(test_limit);
    }

    template<typename Condition> void wait_until(Condition condition)
    {
        const milliseconds end = steady_now() + test_limit;
        while (!condition() && steady_now() < end) {
            loop.run_for(50ms);
        }
    }

    /// Runs until the received bytes end with a text.
    void wait_for(std::string_view end)
    {
        wait_until([&] { return received.ends_with(end); });
    }
};

TEST_CASE("Requests on one connection are answered in order, also when they arrive together")
{
    fixture net;
    net.send("POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(net.exchanges.size() == 1);
    CHECK(net.exchanges[0]->body() == "ab");
    net.exchanges[0]->respond(200, {}, "one");
    net.wait_until([&] { return net.exchanges.size() == 2; });
    REQUIRE(net.exchanges.size() == 2);
    CHECK(net.exchanges[1]->head().target == "/2");
}

TEST_CASE("A client that disconnects is detected at once, also before any byte is written")
{
    fixture net;
    net.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(net.exchanges.size() == 1);
    bool gone = false;
    net.exchanges[0]->on_disconnect([&] {
        gone = true;
        net.loop.stop();
    });
    net.client.reset();
    const milliseconds began = steady_now();
    net.loop.run_for(test_limit);
    CHECK(gone);
    CHECK_FALSE(net.exchanges[0]->is_open());
    CHECK(steady_now() - began < 200ms);
}

TEST_CASE("An aborted answer does not look complete")
{
    fixture net;
    net.send("GET / HTTP/1.1\r\n\r\n");
    net.exchanges.at(0)->start(200, {});
    net.exchanges.at(0)->write("part");
    net.wait_for("part\r\n");
    net.exchanges.at(0)->abort();
    net.loop.run_for(test_limit);
    CHECK(net.ended);
    CHECK(net.received.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE(
    "Requests that exceed the limits or are malformed are rejected and not passed to the handler")
{
    const auto [text, status] = GENERATE(table<std::string, std::string>({
        {"GET / HTTP/1.1\r\nA: " + std::string(300, 'x') + "\r\n\r\n", "431"},
        {"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", "413"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" + std::string(64, 'x') +
             "\r\n",
         "413"},
        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {"\x01\r\n\r\n", "400"},
    }));
    fixture net({.max_header_bytes = 256, .max_body_bytes = 32});
    net.send(text);
    CHECK(net.exchanges.empty());
    CHECK(net.received.substr(0, 12) == "HTTP/1.1 " + status);
}

TEST_CASE("A head that does not arrive in time is answered with 408")
{
    fixture net({.header_timeout = 50ms});
    net.send("GET / HT");
    CHECK(net.received.substr(0, 12) == "HTTP/1.1 408");
}

TEST_CASE("While the server drains, answers carry Connection: close")
{
    fixture net;
    net.server->start_draining();
    net.send("GET / HTTP/1.1\r\n\r\n");
    net.exchanges.at(0)->respond(200, {}, "x");
    net.wait_until([&] { return net.ended; });
    CHECK(net.received.find("Connection: close") != std::string::npos);
    CHECK(net.ended);
}

TEST_CASE("Stopping closes idle connections and leaves requests in progress alone")
{
    fixture net;
    net.send("GET / HTTP/1.1\r\n\r\n");
    net.server->stop();
    CHECK(net.server->exchange_count() == 1);
    net.exchanges.at(0)->respond(200, {}, "late");
    net.wait_for("late");
    CHECK(net.received.ends_with("late"));
    net.wait_until([&] { return net.server->exchange_count() == 0; });
    net.server->stop();
    net.wait_until([&] { return net.ended; });
    CHECK(net.ended);
}

} // namespace
} // namespace dotterelport::net
