#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/agent/backend.hpp"
#include "dotterelport/standin/endless_server.hpp"

namespace dotterelport::agent {
namespace {

/// An answer of an engine or application that never ends.
struct endless_answer {
    request::request_kind kind;
    std::string beginning;
    std::string repeated;
};

// Guards against an engine whose bytes use up the memory of the agent.
TEST_CASE("Runs whose answers have no end are ended within a bounded memory")
{
    constexpr std::size_t runs = 12;
    constexpr std::size_t allowed_growth = std::size_t{110} << 20U;
    const std::string block(4'000, 'x');
    const auto item = GENERATE_COPY(
        endless_answer{request::request_kind::chat,
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", block},
        endless_answer{request::request_kind::chat,
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
                       "data: " + block + "\r\n"},
        endless_answer{request::request_kind::call, "HTTP/1.1 200 OK\r\n\r\n", block},
        endless_answer{request::request_kind::call, "HTTP/1.1 200 OK\r\nX: ", block});
    CAPTURE(item.beginning, item.repeated.substr(0, 10));
    net::event_loop loop;
    standin::endless_server engine(item.beginning, item.repeated);
    backend target(loop, engine.address());
    const std::size_t before = standin::reset_peak_memory();
    std::vector<backend_result> results;
    for (std::size_t i = 0; i < runs; ++i) {
        target.start(item.kind, {.to = engine.address()},
                     {.on_chunk = [](const json& /*data*/) {},
                      .on_end = [&](const backend_result& result) { results.push_back(result); }});
    }
    for (int i = 0; i < 100 && results.size() < runs; ++i) {
        loop.run_for(milliseconds{50});
    }
    REQUIRE(results.size() == runs);
    for (const auto& result : results) {
        CHECK(result.reason.has_value());
        CHECK(result.run_verdict == verdict::may_have_run);
    }
    CHECK(standin::peak_memory() - before < allowed_growth);
}

} // namespace
} // namespace dotterelport::agent
