#include <catch2/catch.hpp>

#include <random>

#include "explanation.hpp"

namespace dotterelport::gateway {
namespace {

net::http_request query_of(const std::string& query)
{
    return {.method = "GET", .path = "/explain", .query = query, .headers = {}, .body = {}};
}

TEST_CASE("A query for an explanation has the parts of the prompt and the size of the request")
{
    const auto request = parse_explained_request(
        query_of("method=POST&host=a.example&path=/chat/1%3Fx&workspace=t1&parts=a1:60,ff:40"
                 "&prompt_tokens=100&output_tokens=7&deadline_ms=900"));
    CHECK(request.path == "/chat/1");
    CHECK(request.workspace == "t1");
    REQUIRE(request.parts.size() == 2);
    CHECK(request.parts[1] == routing::prompt_part{.id = 255, .size = 40});
    CHECK(request.prompt_tokens == 100);
    CHECK(request.max_output_tokens == 7);
    CHECK(request.deadline == milliseconds{900});
}

// Guards against malformed numbers that are read as 0 or as a smaller number.
TEST_CASE("A query with a missing or malformed parameter is rejected")
{
    const std::string route = "method=GET&host=a.example&path=/chat/1&";
    for (const char* bad :
         {"prompt_tokens=12x", "prompt_tokens=-1", "output_tokens=", "deadline_ms=99999999999",
          "parts=a1", "parts=:4", "parts=a1:x", "parts=a1:3,,a2:4"}) {
        CAPTURE(bad);
        CHECK_THROWS_AS(parse_explained_request(query_of(route + bad)), invalid_query);
    }
    CHECK_THROWS_AS(parse_explained_request(query_of("method=GET&host=a.example")), invalid_query);
}

// Guards against an assessment that is recorded like a real request: a rejection holds back less
// urgent requests, and each Retry-After uses the random sequence.
TEST_CASE("The assessment of a start agrees with the decision and changes nothing")
{
    std::mt19937_64 random{7};
    admission admissions(true, random);
    admissions.record_report("s1", {.running = 1, .waiting = 0, .capacity = 8, .slowdown = 1.0});
    const milliseconds now{1'000};
    for (int i = 0; i < 4; ++i) {
        admissions.record_start("s1", 1'000, milliseconds{1'000}, milliseconds{200}, now);
    }
    const admission_request urgent{.priority = 0,
                                   .time_limit = milliseconds{500},
                                   .time_left = milliseconds{500},
                                   .expected_start_ms = 2'000};
    const admission_request other{.priority = 1,
                                  .time_limit = milliseconds{5'000},
                                  .time_left = milliseconds{5'000},
                                  .expected_start_ms = 2'000};
    const auto random_before = random;
    CHECK(admissions.assess_start("s1", urgent, now)->is_too_late());
    CHECK_FALSE(admissions.assess_start("s1", other, now)->is_too_late());
    CHECK(random == random_before);
    CHECK(std::holds_alternative<send_now>(admissions.decide("s1", other, now)));
    CHECK(std::holds_alternative<reject_now>(admissions.decide("s1", urgent, now)));
    // The rejection holds the less urgent request back, in the assessment too.
    CHECK(admissions.assess_start("s1", other, now)->is_too_late());
    CHECK(std::holds_alternative<reject_now>(admissions.decide("s1", other, now)));
}

} // namespace
} // namespace dotterelport::gateway
