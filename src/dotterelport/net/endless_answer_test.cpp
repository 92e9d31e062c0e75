#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/standin/endless_server.hpp"

namespace dotterelport::net {
namespace {

using namespace std::chrono_literals;

// Guards against a peer whose answer uses up the memory of the process that collects it.
TEST_CASE("Collected answers without end fail within a bounded memory, and other answers arrive")
{
    constexpr int endless_calls = 16;
    constexpr std::size_t allowed_growth = std::size_t{80} << 20U;
    event_loop loop;
    standin::endless_server server("HTTP/1.1 200 OK\r\n\r\n", std::string(4'000, 'x'));
    http_server other(loop);
    other.route("GET", "/", [](const http_request& /*request*/, const auto& response) {
        response->send(200, {}, std::string(10'000, 'y'));
    });
    const auto other_address = other.listen({"127.0.0.1", 0});
    http_client client(loop);
    const std::size_t before = standin::reset_peak_memory();
    std::vector<client_answer> ended;
    for (int i = 0; i < endless_calls; ++i) {
        client.fetch({.to = server.address()},
                     [&](const client_answer& answer) { ended.push_back(answer); });
    }
    int served = 0;
    for (int i = 0; i < 5; ++i) {
        client.fetch({.to = other_address},
                     [&](const client_answer& answer) { served += answer.status == 200 ? 1 : 0; });
        loop.run_for(100ms);
    }
    for (int i = 0; i < 50 && ended.size() < endless_calls; ++i) {
        loop.run_for(100ms);
    }
    CHECK(served == 5);
    REQUIRE(ended.size() == endless_calls);
    for (const auto& answer : ended) {
        CHECK(answer.failed());
        CHECK(answer.message == too_large_message);
    }
    CHECK(client.buffers().used() == 0);
    CHECK(client.exchanges_in_progress() == 0);
    CHECK(standin::peak_memory() - before < allowed_growth);
}

TEST_CASE("A line or an event without end is not kept")
{
    constexpr std::size_t limit = 100;
    std::vector<std::string> received;
    const auto keep = [&](std::string_view text) { received.emplace_back(text); };
    line_splitter lines(keep, limit);
    lines.feed("first\n");
    lines.feed(std::string(limit + 1, 'x'));
    CHECK(lines.is_overlong());
    CHECK(lines.incomplete_bytes() == 0);
    lines.feed("\nlate\n");
    sse_parser events(keep, limit);
    for (int i = 0; i < 20; ++i) {
        events.feed("data: 123456\n");
    }
    CHECK(events.is_overlong());
    CHECK(events.incomplete_bytes() == 0);
    events.feed("\ndata: late\n\n");
    CHECK(received == std::vector<std::string>{"first"});
}

} // namespace
} // namespace dotterelport::net
