#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

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
    std::optional<stream_end> end;

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
                                   [this](stream_end how) {
                                       end = how;
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

// Guards against answers to pipelined requests that fill the memory while nobody reads them.
TEST_CASE("No further request is taken from a client that leaves its answers unread")
{
    fixture net;
    constexpr std::size_t large = std::size_t{16} << 20U;
    net.client->pause_reading();
    net.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(net.exchanges.size() == 1);
    net.exchanges[0]->respond(200, {}, std::string(large, 'x'));
    net.loop.run_for(100ms);
    CHECK(net.exchanges.size() == 1);
    net.client->resume_reading();
    net.wait_until([&] { return net.exchanges.size() == 2; });
    REQUIRE(net.exchanges.size() == 2);
    CHECK(net.exchanges[1]->head().target == "/2");
}

// Guards against a body that finds no room but keeps what it has.
TEST_CASE("A body that finds no room is refused and keeps none")
{
    fixture net(
        {.clients = {.bytes = 100'000, .connections = 10, .reserve = 50'000, .small = 10'000}});
    std::vector<limit_cause> causes;
    net.server->on_limit([&](limit_cause cause) { causes.push_back(cause); });
    net.send("POST /1 HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(90'000, 'x'));
    net.wait_until([&] { return !causes.empty(); });
    REQUIRE(causes == std::vector{limit_cause::request_bytes});
    net.wait_until([&] { return net.end.has_value(); });
    CHECK(net.exchanges.empty());
    CHECK(net.server->held_bytes() == 0);
}

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

// Guards against a time limit for heads that also refuses bodies which take longer.
TEST_CASE("A body may take longer than its head")
{
    fixture net({.header_timeout = 50ms});
    net.send("POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\na");
    net.loop.run_for(200ms);
    net.send("b");
    net.wait_until([&] { return !net.exchanges.empty(); });
    REQUIRE(net.exchanges.size() == 1);
    CHECK(net.exchanges[0]->body() == "ab");
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
    CHECK(net.end.has_value());
    CHECK(net.received.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE("A whole answer after the beginning of another one cuts that one")
{
    fixture net;
    net.send("GET / HTTP/1.1\r\n\r\n");
    net.exchanges.at(0)->start(200, {});
    net.exchanges.at(0)->write("part");
    net.wait_for("part\r\n");
    net.exchanges.at(0)->respond(504, {}, "timeout");
    net.wait_until([&] { return net.end.has_value(); });
    CHECK(net.end.has_value());
    CHECK(net.received.ends_with("part\r\n"));
}

TEST_CASE("An answer that the connection's end delimits is complete only if it was finished")
{
    enum class ending { finished, aborted, server_ended };
    const auto how = GENERATE(ending::finished, ending::aborted, ending::server_ended);
    fixture net;
    net.send("GET / HTTP/1.0\r\n\r\n");
    net.exchanges.at(0)->start(200, {});
    net.exchanges.at(0)->write("part");
    net.wait_for("part");
    if (how == ending::finished) {
        net.exchanges.at(0)->finish();
    } else if (how == ending::aborted) {
        net.exchanges.at(0)->abort();
    } else {
        net.server.reset();
    }
    net.wait_until([&] { return net.end.has_value(); });
    CHECK(net.end == (how == ending::finished ? stream_end::finished : stream_end::reset));
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
    net.wait_until([&] { return net.end.has_value(); });
    CHECK(net.received.find("Connection: close") != std::string::npos);
    CHECK(net.end.has_value());
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
    net.wait_until([&] { return net.end.has_value(); });
    CHECK(net.end.has_value());
}

/// A client that uses blocking calls, so that its requests wait in the kernel while the loop does
/// not run.
class kernel_client {
public:
    explicit kernel_client(const endpoint& server) : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
                0);
    }
    ~kernel_client() { ::close(descriptor_); }
    kernel_client(const kernel_client&) = delete;
    kernel_client& operator=(const kernel_client&) = delete;

    void send(std::string_view bytes) const
    {
        REQUIRE(::send(descriptor_, bytes.data(), bytes.size(), 0) ==
                static_cast<ssize_t>(bytes.size()));
    }

    /// Bytes that have arrived; empty after a reset.
    [[nodiscard]] std::string received() const
    {
        std::array<char, 1'024> buffer{};
        const ssize_t size = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(0, size))};
    }

private:
    int descriptor_;
};

TEST_CASE("Requests that arrived before the server stops are handled")
{
    fixture net;
    // One on a connection that was used before, and some on connections that wait to be accepted.
    const kernel_client kept(net.server->address());
    net.loop.run_for(20ms);
    std::vector<std::unique_ptr<kernel_client>> waiting;
    kept.send("GET /kept HTTP/1.1\r\n\r\n");
    for (int i = 0; i < 3; ++i) {
        waiting.push_back(std::make_unique<kernel_client>(net.server->address()));
        waiting.back()->send("GET /waiting HTTP/1.1\r\n\r\n");
    }
    net.server->start_draining();
    net.server->stop();
    net.wait_until([&] { return net.exchanges.size() == 4; });
    CHECK(net.exchanges.size() == 4);
    for (const auto& exchange : net.exchanges) {
        exchange->respond(503, {}, "late");
    }
    net.loop.run_for(50ms);
    CHECK(kept.received().ends_with("late"));
    for (const auto& client : waiting) {
        CHECK(client->received().ends_with("late"));
    }
}

// A request that is on the connection when it is closed would be lost: its client cannot know
// whether it was executed.
TEST_CASE("A connection is closed after an answer only once the requests on it are answered")
{
    const bool in_kernel = GENERATE(true, false);
    fixture net;
    const std::string second = "GET /2 HTTP/1.1\r\n\r\n";
    const kernel_client client(net.server->address());
    client.send("GET /1 HTTP/1.1\r\n\r\n" + (in_kernel ? "" : second));
    net.wait_until([&] { return net.exchanges.size() == 1; });
    REQUIRE(net.exchanges.size() == 1);
    if (in_kernel) {
        client.send(second);
    }
    net.server->close_after_answers(true);
    net.exchanges[0]->respond(200, {}, "one");
    net.wait_until([&] { return net.exchanges.size() == 2; });
    REQUIRE(net.exchanges.size() == 2);
    const std::string first_answer = client.received();
    CHECK(first_answer.ends_with("one"));
    CHECK(first_answer.find("Connection: close") == std::string::npos);
    net.exchanges[1]->respond(200, {}, "two");
    // The connection of the fixture's own client stays open.
    net.wait_until([&] { return net.server->connection_count() == 1; });
    const std::string second_answer = client.received();
    CHECK(second_answer.ends_with("two"));
    CHECK(second_answer.find("Connection: close") != std::string::npos);
    CHECK(net.server->connection_count() == 1);
}

// A client may send its next request before it has read that the connection closes.
TEST_CASE("A request that arrives during the last answer of a connection is answered as well")
{
    fixture net;
    const kernel_client client(net.server->address());
    client.send("GET /1 HTTP/1.1\r\n\r\n");
    net.wait_until([&] { return net.exchanges.size() == 1; });
    REQUIRE(net.exchanges.size() == 1);
    net.server->close_after_answers(true);
    net.exchanges[0]->start(200, {});
    client.send("GET /2 HTTP/1.1\r\n\r\n");
    net.exchanges[0]->finish();
    net.wait_until([&] { return net.exchanges.size() == 2; });
    REQUIRE(net.exchanges.size() == 2);
    net.exchanges[1]->respond(200, {}, "two");
    net.loop.run_for(50ms);
    CHECK(client.received().ends_with("two"));
    CHECK(net.server->connection_count() == 1);
}

TEST_CASE("Connections are kept again once the server no longer closes them")
{
    fixture net;
    net.server->close_after_answers(true);
    net.server->close_after_answers(false);
    net.send("GET / HTTP/1.1\r\n\r\n");
    net.exchanges.at(0)->respond(200, {}, "x");
    net.loop.run_for(50ms);
    CHECK(net.received.find("Connection: close") == std::string::npos);
    CHECK(net.server->connection_count() == 1);
}

TEST_CASE("A client that has left is noticed before the loop reads that")
{
    fixture net;
    auto leaving = std::make_unique<kernel_client>(net.server->address());
    leaving->send("GET / HTTP/1.1\r\n\r\n");
    net.wait_until([&] { return net.exchanges.size() == 1; });
    REQUIRE(net.exchanges.size() == 1);
    CHECK_FALSE(net.exchanges[0]->is_abandoned());
    leaving.reset();
    CHECK(net.exchanges[0]->is_open());
    CHECK(net.exchanges[0]->is_abandoned());
}

} // namespace
} // namespace dotterelport::net
