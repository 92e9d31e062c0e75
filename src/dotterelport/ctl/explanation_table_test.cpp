#include <catch2/catch.hpp>

#include <sstream>

#include "dotterelport/ctl/explanation_table.hpp"

namespace dotterelport::ctl {
namespace {

// Guards against a table that omits why a server was left out, or what a choice was based on.
TEST_CASE("The table of an explanation shows the decision, the exclusions and the used cost terms")
{
    const json explanation = json::parse(R"({
        "route": "chat", "kind": "streaming", "workspace": "t1", "configuration": 3,
        "gateway_overloaded": false,
        "services": [{"service": "s1", "share": 1.0,
            "decision": {"action": "send", "server": "i-1", "cost_ms": 12.34},
            "admission": {"active": true, "short_of_capacity": false, "closed_ms": 0,
                          "expected_start_ms": 10, "likely_start_ms": 8, "earliest_start_ms": 4,
                          "limit_ms": 500},
            "budget": {"outcome": "asks_owner", "owner": "edge-2", "tokens": 110},
            "servers": [
                {"server": "i-1", "failure_domain": "a", "excluded": [], "avoided": [],
                 "permitted_in_ms": 0, "chosen": true, "cost_ms": 12.34, "cached_tokens": 60,
                 "memory_share": 0.25, "terms_ms": {"prefill": 12.34, "queue": 0}},
                {"server": "i-2", "failure_domain": "b", "excluded": ["cold"],
                 "permitted_in_ms": 450, "chosen": false}]}]})");
    std::ostringstream out;
    print_explanation(explanation, out);
    CHECK(out.str() ==
          "route chat (streaming), workspace t1, configuration 3\n"
          "\n"
          "service s1 (100.0 % of the requests)\n"
          "decision: send to i-1, cost 12.3 ms\n"
          "admission: active, expected start 10.0 ms, likely 8.0 ms, at the earliest 4.0 ms, "
          "limit 500 ms\n"
          "budget: 110 tokens, asked of edge-2\n"
          "SERVER  FAILURE DOMAIN  STATE                     COST  CACHED  MEMORY  prefill\n"
          "i-1     a               chosen                    12.3  60      0.250   12.3\n"
          "i-2     b               cold,permitted in 450 ms  -     -       -       -\n");
}

TEST_CASE("The table of an explanation shows a rejection with the range of its Retry-After")
{
    const json explanation = json::parse(R"({
        "route": "chat", "kind": "streaming", "workspace": "", "configuration": 3,
        "gateway_overloaded": true,
        "services": [{"service": "s1", "share": 0.5,
            "decision": {"action": "reject", "status": 503, "reason": "no_capacity",
                         "retry_after_ms": 150, "latest_retry_after_ms": 450},
            "admission": {"active": true, "short_of_capacity": true, "closed_ms": 90},
            "budget": {"outcome": "not_needed", "tokens": 0}, "servers": []}]})");
    std::ostringstream out;
    print_explanation(explanation, out);
    CHECK(out.str().find("decision: reject with 503, no_capacity, Retry-After 0.150 to 0.450 s") !=
          std::string::npos);
    CHECK(out.str().find("gateway_overloaded") != std::string::npos);
    CHECK(out.str().find("short of capacity, servers full for 90 ms") != std::string::npos);
}

} // namespace
} // namespace dotterelport::ctl
