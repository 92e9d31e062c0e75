#include <catch2/catch.hpp>

#include "booking_record.hpp"
#include "dotterelport/standin/platform_server.hpp"
#include "router_fixture.hpp"

namespace dotterelport::router {
namespace {

using request::admitted_frame;
using request::end_frame;
using request::error_frame;
using request::failure_reason;

const incarnation first_agent{"agent-1", 1};

json answer_data(int booking)
{
    return {{"status", 201},
            {"headers", {{"content-type", "application/json"}}},
            {"body", json{{"booking", booking}}.dump()}};
}

fake_agent::script book(int booking)
{
    return [booking](const request::admission& admission, net::http_response& response) {
        send_frames({admitted_frame{admission.attempt, false},
                     request::chunk_frame{admission.attempt, 0, answer_data(booking)},
                     end_frame{admission.attempt, verdict::ran, 0, 0}})(admission, response);
    };
}

fake_agent::script fail_with(verdict outcome, failure_reason reason)
{
    return [outcome, reason](const request::admission& admission, net::http_response& response) {
        send_frames({error_frame{admission.attempt, outcome, reason, "m"}})(admission, response);
    };
}

struct booking_fixture : router_fixture {
    standin::platform_server store{loop, {}};

    booking_fixture() { platform_address = store.address(); }

    net::client_answer post(const std::string& key = "k1", const json& body = {{"lot", 7}})
    {
        return call("POST", "/v1/services/dispatch/bookings", body, {{"Idempotency-Key", key}});
    }

    std::optional<booking_record> record()
    {
        const auto found = store.objects().read(booking_object({"depot", "k1"}));
        return found.status == object_store::read_status::found
                   ? std::optional(parse_booking_record(found.value.value))
                   : std::nullopt;
    }

    /// Stores a record as another router would have written it.
    void store_record(booking_state state, const incarnation& agent, const std::string& digest)
    {
        booking_record stored;
        stored.state = state;
        stored.agent = agent;
        stored.digest = digest;
        stored.token = "other";
        stored.holder = {"router-b", 2};
        stored.holder_address = "127.0.0.1:7102";
        stored.answer = state == booking_state::finished ? answer_data(41) : json();
        store.objects().write(booking_object({"depot", "k1"}), to_json(stored).dump(), 0);
    }
};

std::string digest_of_booking()
{
    const std::string body = json{{"lot", 7}}.dump();
    return hash128_hex(json::array({"POST", "/bookings", body}).dump());
}

struct record_row {
    std::optional<booking_state> state;
    bool same_digest;
    bool own_token;
    bool gone;
    booking_step expected;
};

// A booking runs at most once: a run sends it only after it has recorded its own intent, and
// replaces only a refused intent.
TEST_CASE("The state of a record decides the next step")
{
    using enum booking_step;
    const auto row = GENERATE(record_row{std::nullopt, true, false, false, create},
                              record_row{booking_state::finished, true, false, true, return_answer},
                              record_row{booking_state::refused, true, true, false, replace},
                              record_row{booking_state::intent, true, true, false, send},
                              record_row{booking_state::intent, true, false, false, ask_agent},
                              record_row{booking_state::intent, true, false, true, ask_service},
                              record_row{booking_state::intent, false, false, false, reject},
                              record_row{booking_state::finished, false, false, false, reject});
    std::optional<booking_record> record;
    if (row.state) {
        record.emplace();
        record->state = *row.state;
        record->digest = "d1";
        record->token = row.own_token ? "mine" : "other";
    }
    CHECK(next_step(record, {row.same_digest ? "d1" : "d2", "mine", row.gone}) == row.expected);
}

struct report_row {
    agent_report report;
    int times_asked;
    report_step expected;
};

TEST_CASE("An agent's report decides how a booking is resumed")
{
    const auto row = GENERATE(report_row{agent_report::running, 1, report_step::join},
                              report_row{agent_report::finished, 1, report_step::join},
                              report_row{agent_report::refused, 1, report_step::replace},
                              report_row{agent_report::unknown, 1, report_step::ask_again},
                              report_row{agent_report::unknown, 2, report_step::ask_to_refuse},
                              report_row{agent_report::replaced, 1, report_step::ask_service},
                              report_row{agent_report::unreachable, 1, report_step::ask_again},
                              report_row{agent_report::unreachable, 100, report_step::ask_service});
    CHECK(next_step(row.report, row.times_asked) == row.expected);
}

TEST_CASE("A booking record is unchanged by formatting and parsing")
{
    booking_record value;
    value.state = booking_state::finished;
    value.agent = first_agent;
    value.holder = {"router-a", 3};
    value.answer = answer_data(1);
    CHECK(to_json(parse_booking_record(to_json(value).dump())) == to_json(value));
    CHECK_THROWS_AS(parse_booking_record("{}"), error);
}

// A booking runs at most once, also if the caller repeats it after the answer was lost.
TEST_CASE("A booking is recorded, and its retries receive the stored answer")
{
    booking_fixture router;
    auto& agent = router.add_agent("agent-1", "dispatch");
    agent.scripts = {book(1)};
    const auto first = router.post();
    CHECK(first.status == 201);
    CHECK(net::find_header(first.headers, verdict_header) == "ran");
    REQUIRE(router.record());
    CHECK(router.record()->state == booking_state::finished);
    const auto again = router.post();
    CHECK(again.status == 201);
    CHECK(again.body == first.body);
    CHECK(agent.admissions.size() == 1);
    CHECK_FALSE(agent.admissions[0].idempotent);
    const auto other = router.post("k1", {{"lot", 8}});
    CHECK(other.status == 422);
    CHECK(error_code_of(other) == "key_reused");
}

TEST_CASE("A booking that an agent refused runs at another agent in a later attempt")
{
    booking_fixture router;
    router.add_agent("agent-1", "dispatch").scripts = {
        fail_with(verdict::not_run, failure_reason::leaving)};
    auto& second = router.add_agent("agent-2", "dispatch");
    second.scripts = {book(2)};
    CHECK(router.post().status == 201);
    CHECK(router.released == 1);
    REQUIRE(second.admissions.size() == 1);
    CHECK(second.admissions[0].attempt == 2);
    CHECK(router.record()->agent == second.record.id);
}

// A booking runs at most once: after the verdict may_have_run it is never sent again.
TEST_CASE("A booking that may have run is not repeated")
{
    booking_fixture router;
    auto& first = router.add_agent("agent-1", "dispatch");
    first.scripts = {fail_with(verdict::may_have_run, failure_reason::backend_error),
                     fail_with(verdict::not_run, failure_reason::busy)};
    auto& second = router.add_agent("agent-2", "dispatch");
    const bool found = GENERATE(true, false);
    // The second message to each agent is the lookup at the service.
    const json lookup = {{"status", found ? 200 : 404}, {"body", R"({"ran":true,"booking":5})"}};
    second.scripts = {send_frames({admitted_frame{1, false}, request::chunk_frame{1, 0, lookup},
                                   end_frame{1, verdict::ran, 0, 0}})};
    const auto answer = router.post();
    CHECK(net::find_header(answer.headers, verdict_header) == (found ? "ran" : "may_have_run"));
    CHECK(answer.status == (found ? 200 : 502));
    REQUIRE(second.admissions.size() == 1);
    CHECK(second.admissions[0].payload["method"] == "GET");
    CHECK(second.admissions[0].payload["path"] == "/bookings/depot%2Fk1");
    // Only requests of callers are billed: the router's own lookup call is neither reserved nor
    // billed.
    CHECK(second.admissions[0].budget.empty());
    CHECK(second.admissions[0].upper_tokens == 0);
    CHECK(router.reservations.size() == 1);
}

struct resume_row {
    std::string key_state;
    bool gone;
    int status;
    std::string body;
    std::size_t refusals;
};

TEST_CASE("A booking that another router began is resumed according to its agent's report")
{
    booking_fixture router;
    auto& first = router.add_agent("agent-1", "dispatch");
    first.scripts = {book(9)};
    const auto row = GENERATE(resume_row{"running", false, 201, R"({"booking":9})", 0},
                              resume_row{"finished", false, 201, R"({"booking":9})", 0},
                              resume_row{"unknown", false, 201, R"({"booking":9})", 1},
                              resume_row{"running", true, 502, "", 0});
    CAPTURE(row.key_state, row.gone);
    first.key_state = row.key_state;
    router.store_record(booking_state::intent, first_agent, digest_of_booking());
    if (row.gone) {
        router.gone.insert(first_agent);
        router.agents.update({});
    }
    const auto answer = router.post();
    CHECK(answer.status == row.status);
    if (!row.gone) {
        CHECK(answer.body == row.body);
        CHECK(first.admissions.at(0).join_only == (row.refusals == 0));
    } else {
        CHECK(net::find_header(answer.headers, verdict_header) == "may_have_run");
    }
    CHECK(std::count(first.calls.begin(), first.calls.end(), "refuse") ==
          static_cast<std::ptrdiff_t>(row.refusals));
}

TEST_CASE("A lost answer of the platform is resolved by reading the record")
{
    booking_fixture router;
    auto& agent = router.add_agent("agent-1", "dispatch");
    agent.scripts = {book(3)};
    router.store.set_faults({.answers_to_lose = 1});
    CHECK(router.post().status == 201);
    CHECK(agent.admissions.size() == 1);
    CHECK(router.record()->state == booking_state::finished);
}

// During an outage of the platform no booking can be recorded. A booking must still run at most
// once, and one that is reported as not_run must not run.
TEST_CASE("Bookings are refused while the platform is down")
{
    booking_fixture router;
    auto& agent = router.add_agent("agent-1", "dispatch");
    agent.scripts = {book(3)};
    router.store.set_faults({.outage = true});
    agent.key_state = GENERATE("unknown", "finished");
    const auto answer = router.post();
    CHECK(answer.status == 503);
    CHECK(error_code_of(answer) == "platform_unavailable");
    CHECK(net::find_header(answer.headers, verdict_header) ==
          (agent.key_state == "unknown" ? "not_run" : "may_have_run"));
    CHECK(agent.admissions.empty());
}

TEST_CASE("Two requests with one key at the same time make one booking")
{
    booking_fixture router;
    auto& agent = router.add_agent("agent-1", "dispatch");
    agent.scripts = {book(3)};
    router.listen();
    std::vector<std::string> bodies;
    for (int i = 0; i < 2; ++i) {
        router.http.fetch(
            {.to = router.address,
             .method = "POST",
             .path = "/v1/services/dispatch/bookings",
             .headers = {{"authorization", "Bearer depot-key"}, {"Idempotency-Key", "k1"}},
             .body = "{}"},
            [&](const net::client_answer& answer) {
                bodies.push_back(answer.body);
                if (bodies.size() == 2) {
                    router.loop.stop();
                }
            });
    }
    router.loop.run_for(milliseconds{5'000});
    REQUIRE(bodies.size() == 2);
    CHECK(bodies[0] == bodies[1]);
    CHECK(agent.admissions.size() == 1);
}

} // namespace
} // namespace dotterelport::router
