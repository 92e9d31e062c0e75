#include <catch2/catch.hpp>

#include "chat_request.hpp"
#include "router_fixture.hpp"

namespace dotterelport::router {
namespace {

struct bad_chat {
    const char* body;
    int status;
    const char* code;
};

// Guards against requests that are billed or sent although they are malformed.
TEST_CASE("A malformed chat request is refused and nothing is reserved")
{
    router_fixture router;
    router.add_agent("agent-1", "coal-llm").scripts = {complete_with({"a"})};
    const auto row = GENERATE(
        bad_chat{"{", 400, "invalid_request"}, bad_chat{"[]", 400, "invalid_request"},
        bad_chat{R"({"messages":[]})", 400, "invalid_request"},
        bad_chat{R"({"model":1,"messages":[]})", 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b"})", 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[]})", 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"x","content":"a"}]})", 400,
                 "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user"}]})", 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user","content":3}]})", 400,
                 "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user","content":"a"}],"stream":1})",
                 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user","content":"a"}],)"
                 R"("stream_options":{"include_usage":true}})",
                 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user","content":"a"}],)"
                 R"("max_tokens":0})",
                 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user","content":"a"}],)"
                 R"("max_tokens":513})",
                 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user","content":"a"}],)"
                 R"("max_tokens":1.5})",
                 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user","content":"a"}],)"
                 R"("temperature":"hot"})",
                 400, "invalid_request"},
        bad_chat{R"({"model":"ember-7b","messages":[{"role":"user","content":"a"}],"n":2})", 400,
                 "invalid_request"},
        bad_chat{R"({"model":"absent","messages":[{"role":"user","content":"a"}]})", 404,
                 "unknown_model"},
        bad_chat{R"({"model":"slate-3b","messages":[{"role":"user","content":"a"}]})", 403,
                 "workspace_not_allowed"});
    CAPTURE(row.body);
    const auto answer = router.call_text("POST", "/v1/chat/completions", row.body, {});
    CHECK(answer.status == row.status);
    CHECK(error_code_of(answer) == row.code);
    CHECK(net::find_header(answer.headers, verdict_header) == "not_run");
    CHECK(router.reservations.empty());
}

TEST_CASE("Deep nesting and oversized bodies are refused")
{
    router_fixture router;
    const auto deep =
        router.call_text("POST", "/v1/chat/completions", std::string(900'000, '['), {});
    CHECK(deep.status == 400);
    const auto large = router.call_text("POST", "/v1/chat/completions",
                                        std::string(max_caller_body_bytes + 1, 'x'), {});
    CHECK(large.status == 413);
    CHECK(error_code_of(large) == "body_too_large");
}

struct bad_call {
    const char* method;
    const char* path;
    const char* bearer;
    int status;
    const char* code;
};

// Guards against calls that bypass the declared routes of a service or the rights of the workspace.
TEST_CASE("A call outside the declared routes or without rights is refused")
{
    router_fixture router;
    router.add_agent("agent-1", "dispatch").scripts = {complete_with({"a"})};
    const auto row = GENERATE(
        bad_call{"GET", "/v1/services/dispatch/other", "depot-key", 404, "unknown_route"},
        bad_call{"DELETE", "/v1/services/dispatch/bookings", "depot-key", 404, "unknown_route"},
        bad_call{"GET", "/v1/services/absent/x", "depot-key", 404, "unknown_route"},
        bad_call{"GET", "/v1/services/coal-llm/x", "depot-key", 404, "unknown_route"},
        bad_call{"GET", "/v1/services/dispatch", "depot-key", 404, "unknown_route"},
        bad_call{"GET", "/v1/services/dispatch/stock/../bookings", "depot-key", 400,
                 "invalid_request"},
        bad_call{"GET", "/v1/services/dispatch/stock/%2e%2e/bookings", "depot-key", 400,
                 "invalid_request"},
        bad_call{"GET", "/v1/services/dispatch/stock/coal", "yard-key", 403,
                 "workspace_not_allowed"},
        bad_call{"GET", "/v1/services/dispatch/stock/coal", "wrong", 401, "invalid_key"},
        bad_call{"GET", "/v1/models", "wrong", 401, "invalid_key"},
        bad_call{"GET", "/v2/models", "depot-key", 404, "unknown_route"});
    CAPTURE(row.path);
    const auto answer = router.call(row.method, row.path, nullptr,
                                    {{"authorization", std::string("Bearer ") + row.bearer}});
    CHECK(answer.status == row.status);
    CHECK(error_code_of(answer) == row.code);
    CHECK(router.reservations.empty());
}

TEST_CASE("Header values with the wrong form are refused")
{
    router_fixture router;
    const auto header =
        GENERATE(std::pair<std::string, std::string>{"Idempotency-Key", "a b"},
                 std::pair<std::string, std::string>{"X-Dotterelport-Offset", "1"},
                 std::pair<std::string, std::string>{"X-Dotterelport-Offset", "x"},
                 std::pair<std::string, std::string>{"X-Dotterelport-Deadline-Ms", "0"});
    CHECK(router.chat(json::object(), {header}).status == 400);
}

TEST_CASE("Only models that the workspace may use are listed")
{
    router_fixture router;
    const auto answer = router.call("GET", "/v1/models");
    const json body = json::parse(answer.body);
    REQUIRE(body["data"].size() == 1);
    CHECK(body["data"][0]["id"] == "ember-7b");
}

TEST_CASE("A router that is not ready or is stopping refuses requests with a reason")
{
    router_fixture router;
    router.listen();
    const bool stopping = GENERATE(true, false);
    if (!stopping) {
        router.not_ready = "no configuration";
    } else {
        router.chat({{"model", "absent"}});
        router.callers->stop();
    }
    const auto answer = router.chat();
    CHECK(answer.status == 503);
    CHECK(error_code_of(answer) == (stopping ? "leaving" : "not_ready"));
}

// Guards against spending more than was reserved: the bound must cover all words of the prompt.
TEST_CASE("The prompt bound covers every part of the prompt")
{
    const json plain = {{"messages", {{{"role", "user"}, {"content", "a b c d"}}}}};
    CHECK(prompt_token_bound(plain) >= 4);
    const json parts = {
        {"messages",
         {{{"role", "user"}, {"content", {{{"type", "text"}, {"text", "a b c d e f"}}}}}}}};
    CHECK(prompt_token_bound(parts) >= 6);
    json tools = plain;
    tools["tools"] = json::array({{{"type", "function"}, {"function", {{"name", "book"}}}}});
    CHECK(prompt_token_bound(tools) > prompt_token_bound(plain));
}

} // namespace
} // namespace dotterelport::router
