#include <catch2/catch.hpp>

#include <string>

#include "dotterelport/base/error.hpp"
#include "dotterelport/gateway/attempt_policy.hpp"
#include "dotterelport/gateway/event_stream.hpp"
#include "dotterelport/gateway/peer_exchange.hpp"
#include "dotterelport/gateway/server_directory.hpp"
#include "dotterelport/gateway/service_catalogue.hpp"
#include "dotterelport/gateway/settings.hpp"
#include "dotterelport/gateway/stop_policy.hpp"

namespace dotterelport::gateway {
namespace {

using namespace std::chrono_literals;

TEST_CASE("Decision after a failed attempt")
{
    const attempt_report sent_once{.outcome = verdict::may_have_run,
                                   .may_repeat = true,
                                   .sends = 1,
                                   .max_sends = 2,
                                   .time_left = 500ms};
    auto with = [&](auto change) {
        attempt_report result = sent_once;
        change(result);
        return result;
    };
    const auto [report, expected] = GENERATE_COPY(table<attempt_report, std::string>({
        {sent_once, "send_again"},
        {with([](auto& r) { r.may_repeat = false; }), "report_failure"},
        {with([](auto& r) { r.max_sends = 1; }), "report_failure"},
        {with([](auto& r) { r.end = attempt_end::timeout; }), "report_failure"},
        {with([](auto& r) { r.end = attempt_end::no_server; }), "report_failure"},
        {with([](auto& r) {
             r.end = attempt_end::no_server;
             r.has_output = true;
         }),
         "break_off"},
        {with([](auto& r) {
             r.end = attempt_end::no_server;
             r.outcome = verdict::not_run;
             r.sends = 0;
         }),
         "refuse_not_run"},
        {with([](auto& r) { r.time_left = 10ms; }), "report_failure"},
        {with([](auto& r) { r.has_output = true; }), "send_again"},
        {with([](auto& r) {
             r.has_output = true;
             r.may_repeat = false;
         }),
         "break_off"},
        {with([](auto& r) {
             r.outcome = verdict::not_run;
             r.may_repeat = false;
         }),
         "send_again"},
        {with([](auto& r) {
             r.outcome = verdict::not_run;
             r.max_sends = 1;
         }),
         "refuse_not_run"},
        {with([](auto& r) {
             r.outcome = verdict::not_run;
             r.sends = 0;
             r.failed_connects = 1;
         }),
         "send_again"},
        {with([](auto& r) {
             r.outcome = verdict::not_run;
             r.sends = 0;
             r.failed_connects = 3;
         }),
         "refuse_not_run"},
    }));
    request::retry_budget retries;
    CHECK(to_string(decide_after_attempt(report, retries)) == expected);
}

TEST_CASE("An empty retry budget prevents retries, but not the first send after failed connects")
{
    request::retry_budget empty({.share = 0, .max_available = 0});
    attempt_report report{
        .outcome = verdict::not_run, .sends = 1, .max_sends = 2, .time_left = 500ms};
    CHECK(to_string(decide_after_attempt(report, empty)) == "refuse_not_run");
    report.sends = 0;
    report.failed_connects = 1;
    CHECK(to_string(decide_after_attempt(report, empty)) == "send_again");
}

TEST_CASE("An attempt that timed out is reported as a gateway timeout")
{
    request::retry_budget retries;
    const auto decision = decide_after_attempt(
        {.outcome = verdict::may_have_run, .sends = 1, .end = attempt_end::timeout}, retries);
    CHECK(std::get<report_failure>(decision).status == 504);
}

TEST_CASE("Only complete events are passed on, whatever the size of the received chunks")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";
    for (std::size_t step = 1; step < text.size(); ++step) {
        event_stream stream;
        std::string passed;
        for (std::size_t at = 0; at < text.size(); at += step) {
            const std::string complete_events = stream.append(text.substr(at, step));
            CHECK((complete_events.empty() || complete_events.ends_with("\n\n") ||
                   complete_events.ends_with("\r\n\r\n")));
            passed += complete_events;
        }
        CHECK(passed == text);
        CHECK(stream.events() == 3);
        CHECK(stream.last_id() == 3);
    }
}

TEST_CASE("A stream resumed at another server has no duplicate and no incomplete event")
{
    event_stream stream;
    CHECK(stream.append("id: 1\n\nid: 2\n\nid: 3\nda") == "id: 1\n\nid: 2\n\n");
    stream.resume();
    CHECK(stream.append("id: 2\n\nid: 3\ndata: x\n\n") == "id: 3\ndata: x\n\n");
    CHECK(stream.events() == 3);
}

TEST_CASE("Only events that an earlier server sent are dropped, not those whose ids go back")
{
    event_stream stream;
    const std::string text = GENERATE("id: 2\n\nid: 1\n\n", "id: 2\n\nid: 2\n\nid: 3\n\n");
    CAPTURE(text);
    CHECK(stream.append(text) == text);
    stream.resume();
    CHECK(stream.append("id: 1\n\n" + text + "id: 9\n\n").ends_with("id: 9\n\n"));
    CHECK_FALSE(stream.ends_before_resumption());
}

service_catalogue catalogue_with(const std::vector<std::string>& prefixes)
{
    service_catalogue::builder builder(5);
    for (const auto& prefix : prefixes) {
        route item;
        item.name = prefix;
        item.host = "Shop.example";
        item.path_prefix = prefix;
        item.services = {{.service = "s", .weight = 1}};
        builder.add(item);
    }
    builder.add(workspace{.name = "w", .keys = {"k1", "k2"}, .priority = {}, .prepaid = {}});
    return builder.build();
}

TEST_CASE("Comments are passed on, but are not events")
{
    event_stream stream;
    CHECK(stream.append(": wait\n\n") == ": wait\n\n");
    CHECK(stream.append("\n\n") == "\n\n");
    CHECK(stream.events() == 0);
    CHECK(stream.append(": wait\ndata: x\n\n") == ": wait\ndata: x\n\n");
    CHECK(stream.events() == 1);
}

TEST_CASE("An event that never ends is noticed, in time that is proportional to its size")
{
    event_stream stream;
    const std::string part(1'000, 'x');
    int parts = 0;
    while (!stream.is_overlong()) {
        CHECK(stream.append(part).empty());
        REQUIRE(++parts <= 300);
    }
    CHECK(parts > 200);
    stream.resume();
    CHECK_FALSE(stream.is_overlong());
    CHECK(stream.append("id: 1\n\n") == "id: 1\n\n");
}

TEST_CASE("A stopping gateway sends callers to another one, or to its own next run")
{
    const stop_order order{.received = 10s, .grace = 8s};
    const auto [others, now, expected] = GENERATE(table<bool, milliseconds, milliseconds>({
        {true, 12s, 1ms},
        {false, 12s, 7s},
        {false, 17s, 2s},
        {false, 20s, 1s},
    }));
    CHECK(retry_after_stop(order, others, now) == expected);
}

TEST_CASE("A gateway that is about to exit accepts no request")
{
    stop_order order{.received = 10s, .grace = 8s};
    route booking;
    booking.kind = route_kind::non_idempotent;
    booking.target_latency = 150ms;
    const bool others_serve = GENERATE(true, false);
    CHECK(accepts_request(order, booking, 2s, others_serve, 11s));
    order.closing = true;
    CHECK_FALSE(accepts_request(order, booking, 2s, others_serve, 11s));
}

TEST_CASE("The longest prefix of a path selects the route")
{
    const auto catalogue = catalogue_with({"/a/", "/a/b/", "/c/"});
    const auto [host, path, expected] = GENERATE(table<std::string, std::string, std::string>({
        {"shop.example", "/a/x", "/a/"},
        {"SHOP.example:80", "/a/b/x", "/a/b/"},
        {"shop.example", "/a/b", "/a/"},
        {"shop.example", "/a/bb/x", "/a/"},
        {"shop.example", "/a", ""},
        {"shop.example", "/", ""},
        {"shop.example", "", ""},
        {"other.example", "/a/x", ""},
    }));
    const route* found = catalogue.find_route(host, path);
    CHECK((found == nullptr ? "" : found->name) == expected);
}

TEST_CASE("A workspace is found by each of its keys")
{
    const auto catalogue = catalogue_with({"/a/"});
    REQUIRE(catalogue.find_workspace("k2") != nullptr);
    CHECK(catalogue.find_workspace("k2")->name == "w");
    CHECK(catalogue.find_workspace("k3") == nullptr);
}

backend_server server(const std::string& id, std::uint64_t started = 1)
{
    return {.id = id,
            .service = "s",
            .address = {"10.0.0.1", 80},
            .failure_domain = "a",
            .capacity = 4,
            .draining = false,
            .started_ms = started};
}

struct directory_fixture {
    std::vector<std::string> removed;
    server_directory servers{{.missing_grace = 1'500ms},
                             [this](const backend_server& item) { removed.push_back(item.id); }};
};

TEST_CASE("A server that drains or is replaced gets no new requests")
{
    directory_fixture directory;
    directory.servers.replace({server("a"), server("b"), server("c")}, false, 0ms);
    auto draining = server("a");
    draining.draining = true;
    directory.servers.update(draining, 0ms);
    directory.servers.mark_replaced("b");
    const auto available = directory.servers.available("s");
    REQUIRE(available.size() == 1);
    CHECK(available[0]->id == "c");
    CHECK_FALSE(directory.servers.is_available("b"));
}

TEST_CASE("Only registrations that expired in an outage are kept for the grace period")
{
    directory_fixture directory;
    directory.servers.replace({server("a"), server("b")}, false, 0ms);
    directory.servers.replace({}, true, 1'000ms);
    CHECK(directory.servers.available("s").size() == 2);
    directory.servers.update(server("a"), 0ms);
    directory.servers.expire(2'500ms);
    CHECK(directory.removed == std::vector<std::string>{"b"});
    directory.servers.replace({}, false, 3'000ms);
    CHECK(directory.servers.available("s").empty());
}

TEST_CASE("A server that was draining before an outage is removed without a grace period")
{
    directory_fixture directory;
    auto draining = server("a");
    draining.draining = true;
    directory.servers.replace({draining}, false, 0ms);
    directory.servers.remove("a", true, 10ms);
    CHECK(directory.servers.size() == 0);
}

TEST_CASE("A new start under an old id is a new server")
{
    directory_fixture directory;
    directory.servers.replace({server("a", 1)}, false, 0ms);
    directory.servers.update(server("a", 1), 0ms);
    CHECK(directory.removed.empty());
    directory.servers.update(server("a", 2), 0ms);
    CHECK(directory.removed == std::vector<std::string>{"a"});
    CHECK(directory.servers.is_available("a"));
}

TEST_CASE("Errors in settings name the invalid field")
{
    const json valid = {{"name", "n"},
                        {"failure_domain", "a"},
                        {"callers", "1.2.3.4:1"},
                        {"operators", "1.2.3.4:2"},
                        {"peers", "1.2.3.4:3"},
                        {"store", "1.2.3.4:4"},
                        {"relay_port", 5},
                        {"grace_s", 2.5},
                        {"admission", false},
                        {"unknown", true}};
    CHECK(parse_settings(valid, "test").grace == 2'500ms);
    CHECK_FALSE(parse_settings(valid, "test").admission);
    CHECK(settings{}.admission);
    const auto [field, value] = GENERATE(table<std::string, json>({
        {"name", ""},
        {"callers", "nowhere"},
        {"store", 7},
        {"relay_port", 0},
        {"grace_s", -1},
        {"admission", 1},
        {"overload_relief", "yes"},
    }));
    json changed = valid;
    changed[field] = value;
    CHECK_THROWS_WITH(parse_settings(changed, "test"), Catch::Contains("/" + field));
    changed.erase("name");
    CHECK_THROWS_AS(parse_settings(changed, "test"), format_error);
}

// Load pattern: three gateways with a grace period of 8 s receive stop orders at intervals of 2 s,
// so that none accepts new requests from 7.7 s to 9.6 s.
TEST_CASE("Requests that a gateway still accepts after a stop order")
{
    struct row {
        route_kind kind;
        milliseconds target_latency;
        milliseconds time_limit;
        bool others_serve;
        milliseconds after;
        bool accepted;
    };
    const auto [kind, target_latency, time_limit, others_serve, after, accepted] =
        GENERATE(row{route_kind::streaming, 800ms, 15s, false, 2'600ms, true},
                 row{route_kind::streaming, 800ms, 15s, false, 2'800ms, false},
                 row{route_kind::streaming, 800ms, 15s, true, 2'600ms, true},
                 row{route_kind::streaming, 800ms, 15s, true, 2'800ms, false},
                 row{route_kind::non_idempotent, 300ms, 3s, false, 2'800ms, true},
                 row{route_kind::idempotent, 300ms, 3s, false, 6'000ms, true},
                 row{route_kind::idempotent, 300ms, 3s, false, 7'000ms, false},
                 row{route_kind::idempotent, 300ms, 500ms, false, 7'000ms, true},
                 row{route_kind::non_idempotent, 0ms, 3s, false, 6'000ms, true},
                 row{route_kind::non_idempotent, 0ms, 3s, false, 7'000ms, false},
                 row{route_kind::non_idempotent, 300ms, 3s, true, 4'600ms, true},
                 row{route_kind::non_idempotent, 300ms, 3s, true, 4'700ms, false},
                 row{route_kind::idempotent, 300ms, 3s, true, 4'700ms, false},
                 row{route_kind::idempotent, 300ms, 30s, true, 0ms, false});
    const stop_order order{.received = 1'000ms, .grace = 8'000ms};
    route target;
    target.kind = kind;
    target.target_latency = target_latency;
    CHECK(accepts_request(order, target, time_limit, others_serve, order.received + after) ==
          accepted);
}

TEST_CASE("A gateway with a stop order leaves when other gateways can serve its callers")
{
    struct row {
        milliseconds after;
        bool is_idle;
        bool is_last;
        bool leaves;
    };
    const auto [after, is_idle, is_last, leaves] =
        GENERATE(row{2'000ms, true, false, false}, row{2'400ms, true, false, true},
                 row{2'400ms, false, false, false}, row{2'400ms, true, true, false},
                 row{7'000ms, true, true, false}, row{7'700ms, false, true, true});
    const stop_order order{.received = 1'000ms, .grace = 8'000ms};
    CHECK(may_leave(order, order.received + after, is_idle, is_last) == leaves);
}

// Guards against ignoring the loads of gateways of the previous release while a fleet is updated.
TEST_CASE("Load messages with and without the memory that requests hold are accepted")
{
    const json earlier = json::parse(R"([[["engine-0", 9000, 2]], []])");
    const auto without = parse_load_message(earlier).shares.at(0);
    CHECK(without.pending_prefill_tokens == 9'000);
    CHECK(without.running == 2);
    CHECK(without.held_tokens == 0);
    const load_message message{.shares = {{"engine-0", 9'000, 2, 18'500}}, .prompts = {}};
    CHECK(parse_load_message(to_json(message)).shares.at(0).held_tokens == 18'500);
}

// Guards against sending a request again and again, and against an unclear answer for a request
// that no server has got, while all engines are full.
TEST_CASE("A request for which no engine has memory left is refused as not run")
{
    request::retry_budget retries(request::retry_budget::options{});
    const auto decision = decide_after_attempt({.outcome = verdict::not_run,
                                                .may_repeat = true,
                                                .max_sends = 3,
                                                .time_left = 2s,
                                                .end = attempt_end::engines_full},
                                               retries);
    CHECK(std::holds_alternative<refuse_not_run>(decision));
    CHECK(to_string(attempt_end::engines_full) == "engines_full");
}

} // namespace
} // namespace dotterelport::gateway
