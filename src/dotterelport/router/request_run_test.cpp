#include <catch2/catch.hpp>

#include "dotterelport/net/line_splitter.hpp"
#include "router_fixture.hpp"

namespace dotterelport::router {
namespace {

using request::admitted_frame;
using request::end_frame;
using request::error_frame;
using request::failure_reason;

/// Contents of a streamed answer.
struct stream_content {
    std::string text;
    std::vector<json> events;
    bool done = false;
};

stream_content read_stream(const std::string& body)
{
    stream_content result;
    net::sse_parser parser([&](std::string_view data) {
        if (data == "[DONE]") {
            result.done = true;
            return;
        }
        const json event = json::parse(data);
        result.events.push_back(event);
        if (event.contains("choices") && !event["choices"].empty()) {
            result.text += event["choices"][0]["delta"].value("content", "");
        }
    });
    parser.feed(body);
    return result;
}

TEST_CASE("A whole completion is collected from the chunks")
{
    router_fixture router;
    auto& agent = router.add_agent("agent-1", "coal-llm");
    agent.scripts = {complete_with({"one ", "two"})};
    const auto answer = router.chat({{"max_tokens", 10}}, {{"Idempotency-Key", "k1"}});
    REQUIRE(answer.status == 200);
    const json body = json::parse(answer.body);
    CHECK(body["object"] == "chat.completion");
    CHECK(body["model"] == "ember-7b");
    CHECK(body["choices"][0]["message"]["content"] == "one two");
    CHECK(body["usage"]["total_tokens"] == 5);
    CHECK(net::find_header(answer.headers, verdict_header) == "ran");
    CHECK(net::find_header(answer.headers, request_key_header) == "k1");
    REQUIRE(agent.admissions.size() == 1);
    CHECK(agent.admissions[0].key == request_key{"depot", "k1"});
    CHECK(agent.admissions[0].generation == 7);
    CHECK(agent.admissions[0].payload["max_tokens"] == 10);
    CHECK(agent.admissions[0].upper_tokens == router.reservations[0].upper_tokens);
}

TEST_CASE("A stream has one id, usage only on request, and ends with [DONE]")
{
    router_fixture router;
    router.add_agent("agent-1", "coal-llm").scripts = {complete_with({"one ", "two"})};
    const bool include_usage = GENERATE(true, false);
    json changes = {{"stream", true}};
    if (include_usage) {
        changes["stream_options"] = {{"include_usage", true}};
    }
    const auto answer = router.chat(changes);
    const auto content = read_stream(answer.body);
    CHECK(net::find_header(answer.headers, "content-type") == "text/event-stream");
    CHECK(content.text == "one two");
    CHECK(content.done);
    REQUIRE(content.events.size() == (include_usage ? 3 : 2));
    CHECK(content.events[0]["id"] == content.events[1]["id"]);
    if (include_usage) {
        CHECK(content.events[2]["usage"]["completion_tokens"] == 2);
    }
}

// A caller receives only its own answer: repeated and late frames and those of other attempts must
// not reach it.
TEST_CASE("Frames of other attempts and repeated frames are dropped")
{
    router_fixture router;
    router.add_agent("agent-1", "coal-llm").scripts = {
        send_frames({admitted_frame{1, false}, word_chunk(0, "a"), word_chunk(0, "a"),
                     word_chunk(1, "x", 2), word_chunk(1, "b"), word_chunk(0, "a"),
                     end_frame{2, verdict::ran, 1, 1}, end_frame{1, verdict::ran, 3, 2}})};
    const auto content = read_stream(router.chat({{"stream", true}}).body);
    CHECK(content.text == "ab");
    CHECK(content.done);
}

// A caller receives the whole answer: a broken connection or a gap must not lose or repeat chunks.
TEST_CASE("A broken or incomplete stream is joined again at the next missing chunk")
{
    router_fixture router;
    auto& agent = router.add_agent("agent-1", "coal-llm");
    const bool gap = GENERATE(true, false);
    agent.scripts = {gap ? send_frames({admitted_frame{1, false}, word_chunk(0, "a"),
                                        word_chunk(2, "c"), end_frame{1, verdict::ran, 3, 3}})
                         : break_after(router.loop, {admitted_frame{1, false}, word_chunk(0, "a")}),
                     complete_with({"a", "b", "c"})};
    const auto content = read_stream(router.chat({{"stream", true}}).body);
    CHECK(content.text == "abc");
    CHECK(content.done);
    REQUIRE(agent.admissions.size() == 2);
    CHECK(agent.admissions[1].offset == 1);
    CHECK(agent.admissions[1].join_only);
    CHECK(router.reservations.size() == 1);
}

struct retry_row {
    failure_reason reason;
    verdict outcome;
    bool retried;
    int released;
};

TEST_CASE("Another agent is tried only where the verdict and the reason allow it")
{
    router_fixture router;
    auto& first = router.add_agent("agent-1", "coal-llm");
    auto& second = router.add_agent("agent-2", "coal-llm");
    const auto row =
        GENERATE(retry_row{failure_reason::leaving, verdict::not_run, true, 1},
                 retry_row{failure_reason::busy, verdict::not_run, true, 1},
                 retry_row{failure_reason::wrong_incarnation, verdict::not_run, true, 1},
                 retry_row{failure_reason::backend_crashed, verdict::may_have_run, true, 0},
                 retry_row{failure_reason::replay_gone, verdict::ran, false, 0},
                 retry_row{failure_reason::key_reused, verdict::not_run, false, 1},
                 retry_row{failure_reason::deadline, verdict::may_have_run, false, 0});
    CAPTURE(request::to_string(row.reason));
    first.scripts = {send_frames({error_frame{1, row.outcome, row.reason, "m"}})};
    second.scripts = {complete_with({"ok"})};
    const auto answer = router.chat();
    CHECK((answer.status == 200) == row.retried);
    CHECK(router.released == row.released);
    CHECK(second.admissions.size() == (row.retried ? 1 : 0));
    if (!row.retried) {
        CHECK(net::find_header(answer.headers, verdict_header) == to_string(row.outcome));
    }
}

TEST_CASE("Retries stop when the retry budget of the service is exhausted")
{
    router_fixture router;
    router.retries_left = 0;
    router.add_agent("agent-1", "coal-llm").scripts = {
        send_frames({error_frame{1, verdict::not_run, failure_reason::busy, "m"}})};
    auto& second = router.add_agent("agent-2", "coal-llm");
    CHECK(error_code_of(router.chat()) == "busy");
    CHECK(second.admissions.empty());
}

// Guards against an answer that mixes the texts of two attempts.
TEST_CASE("A stream that has started ends with an error event instead of a new attempt")
{
    router_fixture router;
    router.add_agent("agent-1", "coal-llm").scripts = {send_frames(
        {admitted_frame{1, false}, word_chunk(0, "a"),
         error_frame{1, verdict::may_have_run, failure_reason::backend_crashed, "crashed"}})};
    auto& second = router.add_agent("agent-2", "coal-llm");
    second.scripts = {complete_with({"b"})};
    const bool stream = GENERATE(true, false);
    const auto answer = router.chat({{"stream", stream}});
    if (!stream) {
        CHECK(json::parse(answer.body)["choices"][0]["message"]["content"] == "b");
        return;
    }
    const auto content = read_stream(answer.body);
    CHECK_FALSE(content.done);
    CHECK(content.events.back()["error"]["code"] == "backend_crashed");
    CHECK(content.events.back()["error"]["verdict"] == "may_have_run");
    CHECK(second.admissions.empty());
}

// A request that is reported as not_run must not run: an admission whose answer was lost may still
// run, unless the agent refuses the key.
TEST_CASE("An admission without an answer is resolved by a permanent refusal")
{
    router_fixture router;
    auto& agent = router.add_agent("agent-1", "coal-llm");
    const bool refused = GENERATE(true, false);
    agent.key_state = refused ? "unknown" : "running";
    agent.scripts = {[](const auto&, auto& response) { response.abort(); },
                     send_frames({error_frame{1, verdict::not_run, failure_reason::busy, "m"}})};
    router.retries_left = 0;
    const auto answer = router.chat();
    CHECK(net::find_header(answer.headers, verdict_header) ==
          (refused ? "not_run" : "may_have_run"));
}

TEST_CASE("A key that runs at another agent is joined at that agent, from the offset")
{
    router_fixture router;
    router.add_agent("agent-1", "coal-llm").scripts = {complete_with({"wrong"})};
    auto& other = router.add_agent("agent-2", "coal-llm", "lota");
    other.scripts = {complete_with({"a", "b", "c"})};
    router.reservation.status = reserve_status::key_in_use;
    router.reservation.agent = other.record.id;
    const auto answer =
        router.chat({{"stream", true}}, {{"Idempotency-Key", "k"}, {"X-Dotterelport-Offset", "1"}});
    CHECK(read_stream(answer.body).text == "bc");
}

TEST_CASE("Budget refusals have their own codes")
{
    router_fixture router;
    router.add_agent("agent-1", "coal-llm");
    router.reservation.status = GENERATE(reserve_status::exhausted, reserve_status::unavailable);
    const bool exhausted = router.reservation.status == reserve_status::exhausted;
    const auto answer = router.chat();
    CHECK(answer.status == (exhausted ? 402 : 503));
    CHECK(net::find_header(answer.headers, "retry-after").has_value() == !exhausted);
}

// Guards the backend servers: content that crashed two of them must never reach a third one.
TEST_CASE("Content that crashed two backend servers is quarantined")
{
    router_fixture router;
    for (const auto* node : {"agent-1", "agent-2", "agent-3"}) {
        router.add_agent(node, "coal-llm").scripts = {
            [](const request::admission& admission, net::http_response& response) {
                send_frames({admitted_frame{admission.attempt, false},
                             error_frame{admission.attempt, verdict::may_have_run,
                                         failure_reason::backend_crashed, "crashed"}})(admission,
                                                                                       response);
            }};
    }
    const auto first = router.chat();
    CHECK(error_code_of(first) == "quarantined");
    CHECK(net::find_header(first.headers, verdict_header) == "may_have_run");
    const auto again = router.chat();
    CHECK(error_code_of(again) == "quarantined");
    CHECK(net::find_header(again.headers, verdict_header) == "not_run");
    std::size_t admissions = 0;
    for (const auto& fake : router.fake_agents) {
        admissions += fake->admissions.size();
    }
    CHECK(admissions == 2);
}

TEST_CASE("Agents in the router's own failure domain are preferred")
{
    router_fixture router;
    auto& remote = router.add_agent("agent-1", "coal-llm", "lota");
    auto& local = router.add_agent("agent-2", "coal-llm", "coronel");
    remote.scripts = local.scripts = {complete_with({"a"})};
    router.chat();
    CHECK(local.admissions.size() == 1);
}

TEST_CASE("The answer of a plain service is forwarded")
{
    router_fixture router;
    auto& agent = router.add_agent("agent-1", "dispatch");
    const json data = {{"status", 203},
                       {"headers", {{"content-type", "text/plain"}, {"server", "x"}}},
                       {"body", "12 tonnes"}};
    agent.scripts = {send_frames({admitted_frame{1, false}, request::chunk_frame{1, 0, data},
                                  end_frame{1, verdict::ran, 0, 0}})};
    const auto answer = router.call("GET", "/v1/services/dispatch/stock/coal?grade=2");
    CHECK(answer.status == 203);
    CHECK(answer.body == "12 tonnes");
    CHECK(net::find_header(answer.headers, "content-type") == "text/plain");
    CHECK(net::find_header(answer.headers, "server") != "x");
    REQUIRE(agent.admissions.size() == 1);
    CHECK(agent.admissions[0].payload["path"] == "/stock/coal?grade=2");
    CHECK_FALSE(agent.admissions[0].payload["headers"].contains("authorization"));
    CHECK(agent.admissions[0].upper_tokens == 1);
}

} // namespace
} // namespace dotterelport::router
