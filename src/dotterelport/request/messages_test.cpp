#include <catch2/catch.hpp>

#include "dotterelport/base/error.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::request {
namespace {

admission sample_admission()
{
    return {.key = {"depot", "k1"},
            .attempt = 2,
            .agent = {"agent-1", 3},
            .holder = {"router-a", 5},
            .holder_address = "127.0.0.1:7101",
            .budget = "depot-main",
            .upper_tokens = 600,
            .generation = 12,
            .time_left = milliseconds{30'000},
            .priority = priority::interactive,
            .service = "coal-llm",
            .kind = request_kind::call,
            .idempotent = true,
            .digest = "ab",
            .offset = 7,
            .join_only = true,
            .payload = {{"method", "GET"}}};
}

TEST_CASE("Messages keep all fields under the names that other processes expect")
{
    const json document = to_json(sample_admission());
    CHECK(document.at("deadline_ms") == 30'000);
    CHECK(document.at("agent") == "agent-1#3");
    CHECK(to_json(parse_admission(document)) == document);
    outcome result;
    result.key = {"depot", "k1"};
    result.attempt = 2;
    result.budget = "depot-main";
    result.holder = {"router-a", 5};
    result.verdict = verdict::may_have_run;
    result.charged = 600;
    result.service = "coal-llm";
    result.agent = {"agent-1", 3};
    CHECK(to_json(result).at("tokens") == 600);
    CHECK(to_json(parse_outcome(to_json(result))) == to_json(result));
}

TEST_CASE("An admission without a required field, or with a wrong type, is rejected")
{
    json document = to_json(sample_admission());
    const std::string field = GENERATE("workspace", "key", "agent", "holder", "upper_tokens",
                                       "priority", "kind", "digest", "payload", "generation");
    SECTION("missing")
    {
        document.erase(field);
        CHECK_THROWS_AS(parse_admission(document), format_error);
    }
    SECTION("negative or of another type")
    {
        document[field] = -1;
        if (field != "payload") {
            CHECK_THROWS_AS(parse_admission(document), format_error);
        }
    }
}

TEST_CASE("A formatted frame parses to the same frame, and an invalid line is rejected")
{
    const frame value = GENERATE(
        frame{admitted_frame{1, true}}, frame{chunk_frame{2, 9, {{"text", "a\nb"}}}},
        frame{end_frame{1, verdict::ran, 20, 100}},
        frame{error_frame{3, verdict::not_run, failure_reason::key_reused, "another digest"}});
    const std::string line = format_frame(value);
    CHECK(line.find('\n') == std::string::npos);
    CHECK(format_frame(parse_frame(line)) == line);
    CHECK(parse_frame(line).index() == value.index());
    const std::string invalid_line =
        GENERATE("", "{", "[]", R"({"type":"other","attempt":1})", R"({"type":"end","attempt":1})",
                 R"({"type":"chunk","attempt":-1,"sequence":0,"data":{}})");
    CHECK_THROWS_AS(parse_frame(invalid_line), format_error);
}

} // namespace
} // namespace dotterelport::request
