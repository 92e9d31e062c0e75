#include <catch2/catch.hpp>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/hash.hpp"
#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/verdict.hpp"

namespace dotterelport {
namespace {

TEST_CASE("Only requests that did not run, or are idempotent, may be retried")
{
    struct row {
        verdict value;
        bool idempotent;
        bool retry;
    };
    const auto [value, idempotent, retry] =
        GENERATE(row{verdict::not_run, false, true}, row{verdict::not_run, true, true},
                 row{verdict::may_have_run, false, false}, row{verdict::may_have_run, true, true},
                 row{verdict::ran, false, false}, row{verdict::ran, true, false});
    CHECK(may_retry(value, idempotent) == retry);
    CHECK(parse_verdict(to_string(value)) == value);
}

TEST_CASE("Incarnations are unchanged by formatting and parsing, and malformed ones are rejected")
{
    const incarnation value{"router-a", 12};
    CHECK(parse_incarnation(to_string(value)) == value);
    const std::string malformed = GENERATE("", "#1", "router", "router#", "router#x", "router#1x");
    CHECK_THROWS_AS(parse_incarnation(malformed), format_error);
}

TEST_CASE("Hashes match the published test vectors")
{
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(hash128_hex("") == "99aa06d3014798d86001c324468d497f");
    CHECK(equal_constant_time("key", "key"));
    CHECK_FALSE(equal_constant_time("key", "kez"));
    CHECK_FALSE(equal_constant_time("key", "keys"));
}

} // namespace
} // namespace dotterelport
