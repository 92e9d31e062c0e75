#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/net/backend_client.hpp"
#include "dotterelport/net/tcp_connection.hpp"

namespace dotterelport::net {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds test_limit{2'000};

/// A server that answers each request with given bytes, and a client.
struct fixture {
    event_loop loop;
    std::vector<std::unique_ptr<tcp_connection>> connections;
    std::string answer;
    /// The server closes its connections after its answer.
    bool close_after_answer = false;
    std::unique_ptr<tcp_listener> listener;
    backend_client client{loop};
    std::optional<int> status;
    std::string body;
    std::optional<backend_failure> failure;
    bool complete = false;

    fixture()
    {
        listener = std::make_unique<tcp_listener>(
            loop, endpoint{"127.0.0.1", 0}, [this](std::unique_ptr<tcp_connection> connection) {
                auto* raw = connection.get();
                connections.push_back(std::move(connection));
                raw->start({.on_input =
                                [this, raw] {
                                    raw->consume(raw->input().size());
                                    raw->write(answer);
                                },
                            .on_end = [](stream_end /*end*/) {},
                            .on_drained =
                                [this] {
                                    if (close_after_answer) {
                                        loop.post([this] { connections.clear(); });
                                    }
                                }});
            });
    }

    void call(const std::string& expected_id = "")
    {
        status.reset();
        failure.reset();
        body.clear();
        complete = false;
        client.start({.to = listener->address(), .bytes = "GET / HTTP/1.1\r\n\r\n"},
                     {.on_head =
                          [this, expected_id](const http1_answer_head& head) {
                              if (find_header(head.headers, "Id").value_or("") != expected_id) {
                                  return false;
                              }
                              status = head.status;
                              return true;
                          },
                      .on_data = [this](std::string_view data) { body.append(data); },
                      .on_complete =
                          [this] {
                              complete = true;
                              loop.stop();
                          },
                      .on_failure =
                          [this](backend_failure reason) {
                              failure = reason;
                              loop.stop();
                          }});
        loop.run_for(test_limit);
    }
};

TEST_CASE("An idle connection is reused")
{
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    net.call();
    net.call();
    CHECK(net.complete);
    CHECK(net.body == "ok");
    CHECK(net.client.statistics().connections_opened == 1);
}

TEST_CASE("A connection is not kept when its server is about to close it")
{
    const std::string header =
        GENERATE(as<std::string>(), "Connection: close", "Keep-Alive: timeout=0");
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 2\r\n\r\nok";
    net.call();
    net.call();
    CHECK(net.complete);
    CHECK(net.client.statistics().connections_opened == 2);
}

TEST_CASE("A request that must not be repeated does not reuse a connection that was idle for long")
{
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    net.call();
    net.loop.run_for(60ms);
    net.client.start({.to = net.listener->address(), .bytes = "x\r\n\r\n", .max_idle = 20ms},
                     {.on_head = [](const http1_answer_head&) { return true; },
                      .on_data = [](std::string_view) {},
                      .on_complete = [&] { net.loop.stop(); },
                      .on_failure = [](backend_failure) {}});
    net.loop.run_for(test_limit);
    CHECK(net.client.statistics().connections_opened == 2);
}

TEST_CASE("The ways in which an answer can end are distinguished")
{
    const auto [answer, expected] = GENERATE(table<std::string, std::optional<backend_failure>>({
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", backend_failure::truncated},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
         backend_failure::truncated},
        {"HTTP/1.1 200 OK\r\n\r\npart", std::nullopt},
        {"not an answer\r\n\r\n", backend_failure::malformed},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", backend_failure::malformed},
    }));
    fixture net;
    net.answer = answer;
    net.close_after_answer = true;
    net.call();
    CHECK(net.failure == expected);
    CHECK(net.complete == !expected.has_value());
}

TEST_CASE("An answer without a length is not complete when its connection is reset")
{
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\n\r\npart";
    net.loop.schedule(100ms, [&] {
        REQUIRE(net.connections.size() == 1);
        net.connections[0]->reset_on_close();
        net.connections.clear();
    });
    net.call();
    CHECK(net.failure == backend_failure::reset);
    CHECK_FALSE(net.complete);
}

TEST_CASE("A reset that a write detects first does not complete an answer without a length")
{
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\n\r\npart";
    // More than the buffers of a connection that its server does not read.
    constexpr std::size_t request_size = 64U << 20U;
    tcp_listener unread(net.loop, {"127.0.0.1", 0}, [&](auto connection) {
        connection->write(net.answer);
        net.connections.push_back(std::move(connection));
    });
    net.loop.schedule(200ms, [&] {
        REQUIRE(net.connections.size() == 1);
        net.connections[0]->reset_on_close();
        net.connections.clear();
    });
    net.client.start({.to = unread.address(), .bytes = std::string(request_size, 'x')},
                     {.on_head = [](const http1_answer_head&) { return true; },
                      .on_data = [](std::string_view) {},
                      .on_complete =
                          [&] {
                              net.complete = true;
                              net.loop.stop();
                          },
                      .on_failure =
                          [&](backend_failure reason) {
                              net.failure = reason;
                              net.loop.stop();
                          }});
    net.loop.run_for(test_limit);
    CHECK_FALSE(net.complete);
    CHECK(net.failure == backend_failure::reset);
}

TEST_CASE("An answer to another request is skipped")
{
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
                 "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew";
    net.call("new");
    CHECK(net.complete);
    CHECK(net.body == "new");
    CHECK(net.client.statistics().unmatched_answers == 1);
    net.call("new");
    CHECK(net.client.statistics().connections_opened == 2);
}

TEST_CASE("The end of the connection does not complete a call whose own answer has not begun")
{
    const std::string other = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nId: old\r\n\r\nold",
                                       "HTTP/1.1 200 OK\r\nId: old\r\nConnection: close\r\n\r\n",
                                       "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold",
                                       "HTTP/1.1 102 Processing\r\n\r\n");
    fixture net;
    net.answer = other;
    net.close_after_answer = true;
    net.call("new");
    CHECK_FALSE(net.complete);
    CHECK(net.failure == backend_failure::truncated);
}

TEST_CASE("A server that sends heads or answers to other requests without end is given up")
{
    const std::string repeated =
        GENERATE(as<std::string>(), "HTTP/1.1 102 Processing\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold",
                 "HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n",
                 "HTTP/1.1 200 OK\r\nId: old\r\n\r\nold");
    fixture net;
    // The first write contains the head, the later ones repeat it or continue its body.
    net.answer = repeated;
    const periodic_timer more(net.loop, 1ms, [&] {
        for (const auto& connection : net.connections) {
            for (int i = 0; i < 64; ++i) {
                connection->write(repeated + std::string(1'000, ' '));
            }
        }
    });
    const milliseconds began = steady_now();
    net.call("new");
    CHECK(net.failure == backend_failure::malformed);
    CHECK(steady_now() - began < 1s);
    CHECK(net.client.connection_count() == 0);
}

TEST_CASE("Interim heads before an answer are skipped")
{
    fixture net;
    net.answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    net.call();
    CHECK(net.complete);
    CHECK(net.body == "ok");
}

TEST_CASE("A call knows whether its connection was used before")
{
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::vector<bool> reused;
    for (int i = 0; i < 2; ++i) {
        exchange_id id = 0;
        id = net.client.start({.to = net.listener->address(), .bytes = "x\r\n\r\n"},
                              {.on_head =
                                   [&](const http1_answer_head&) {
                                       reused.push_back(net.client.is_reused(id));
                                       return true;
                                   },
                               .on_data = [](std::string_view) {},
                               .on_complete = [&] { net.loop.stop(); },
                               .on_failure = [](backend_failure) {}});
        net.loop.run_for(test_limit);
    }
    CHECK(reused == std::vector<bool>{false, true});
}

TEST_CASE("Bytes after an answer belong to no request")
{
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
                 "Content-Length: 5\r\n\r\nextra";
    net.call();
    CHECK(net.body == "ok");
    net.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
    net.call();
    CHECK(net.body == "no");
    CHECK(net.client.statistics().connections_opened == 2);
}

TEST_CASE("Bytes that arrive on an idle connection close it")
{
    fixture net;
    net.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    net.call();
    net.connections.at(0)->write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    net.loop.run_for(50ms);
    CHECK(net.client.connection_count() == 0);
    net.call();
    CHECK(net.body == "ok");
    CHECK(net.client.statistics().stray_bytes == 1);
}

TEST_CASE("A cancelled call closes its connection at once")
{
    fixture net;
    const auto id = net.client.start({.to = net.listener->address(), .bytes = "x\r\n\r\n"},
                                     {.on_head = [](const http1_answer_head&) { return true; },
                                      .on_data = [](std::string_view) {},
                                      .on_complete = [] { FAIL("completed"); },
                                      .on_failure = [](backend_failure) { FAIL("failed"); }});
    net.loop.run_for(50ms);
    CHECK(net.client.was_sent(id));
    net.client.cancel(id);
    CHECK(net.client.connection_count() == 0);
    CHECK(net.client.calls_in_progress() == 0);
    net.loop.run_for(50ms);
}

TEST_CASE("A call to a port without a listener fails without being sent")
{
    fixture net;
    const endpoint address = net.listener->address();
    net.listener.reset();
    std::optional<backend_failure> failure;
    net.client.start({.to = address, .bytes = "x"},
                     {.on_head = [](const http1_answer_head&) { return true; },
                      .on_data = [](std::string_view) {},
                      .on_complete = [] {},
                      .on_failure =
                          [&](backend_failure reason) {
                              failure = reason;
                              net.loop.stop();
                          }});
    net.loop.run_for(test_limit);
    CHECK(failure == backend_failure::not_connected);
}

} // namespace
} // namespace dotterelport::net
