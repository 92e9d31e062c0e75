#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "agent_attempt.hpp"
#include "dotterelport/request/messages.hpp"
#include "dotterelport/standin/endless_server.hpp"

namespace dotterelport::router {
namespace {

// Guards against an agent whose bytes use up the memory of the router.
TEST_CASE("Attempts whose answers have no end are ended within a bounded memory")
{
    constexpr std::size_t attempt_count = 8;
    constexpr std::size_t allowed_growth = std::size_t{110} << 20U;
    const std::string chunk = request::format_frame(
        request::chunk_frame{1, 0, {{"choices", {{{"delta", {{"content", "text"}}}}}}}});
    // A line without end, and lines that belong to no attempt.
    const std::string repeated = GENERATE_COPY(std::string(4'000, 'x'), chunk + "\n");
    net::event_loop loop;
    standin::endless_server agent("HTTP/1.1 200 OK\r\n\r\n", repeated);
    net::http_client http(loop);
    net::rpc_client rpc(http);
    const std::size_t before = standin::reset_peak_memory();
    std::vector<attempt_result> results;
    std::vector<std::shared_ptr<agent_attempt>> attempts;
    for (std::size_t i = 0; i < attempt_count; ++i) {
        request::admission admission;
        admission.key = {"w", "k" + std::to_string(i)};
        admission.attempt = 1;
        admission.time_left = milliseconds{3'000};
        attempts.push_back(std::make_shared<agent_attempt>(
            agent_attempt::context{loop, http, rpc, [](const incarnation&) { return false; }},
            admission, agent.address(),
            attempt_handler{
                .on_done = [&](const attempt_result& result) { results.push_back(result); }}));
        attempts.back()->start();
    }
    for (int i = 0; i < 200 && results.size() < attempt_count; ++i) {
        loop.run_for(milliseconds{50});
    }
    CHECK(results.size() == attempt_count);
    for (const auto& result : results) {
        CHECK(std::holds_alternative<request::error_frame>(result));
    }
    CHECK(standin::peak_memory() - before < allowed_growth);
}

} // namespace
} // namespace dotterelport::router
