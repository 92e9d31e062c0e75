#include <catch2/catch.hpp>

#include <string>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/settings.hpp"

namespace dotterelport {
namespace {

const json schema = json::parse(R"({
    "type": "object",
    "additionalProperties": false,
    "required": ["name"],
    "properties": {
        "name": {"type": "string", "minLength": 1},
        "ports": {"type": "array", "items": {"type": "integer", "minimum": 1, "maximum": 65535}}
    }
})");

TEST_CASE("A violation names the source, the JSON path and what was expected")
{
    struct row {
        std::string document;
        std::string path;
        std::string expected;
    };
    const auto [document, path, expected] = GENERATE(
        row{R"({"name": 5})", "/name", "type \"string\""},
        row{R"({"name": "a", "ports": [1, 70000]})", "/ports/1", "maximum 65535"},
        row{R"({"name": "a", "prots": []})", "", "prots"}, row{R"({"ports": []})", "", "name"});
    try {
        check_schema(json::parse(document), schema, "a.json");
        FAIL("accepted " + document);
    } catch (const format_error& failure) {
        CHECK(failure.source() == "a.json");
        CHECK(failure.path() == path);
        CHECK_THAT(failure.description(), Catch::Contains(expected));
    }
}

TEST_CASE("A valid document is accepted, and a syntax error names its line")
{
    check_schema(json::parse(R"({"name": "a", "ports": [80]})"), schema, "a.json");
    CHECK_THROWS_WITH(parse_json("{\n\"name\": ,\n}", "a.json"), Catch::Contains("line 2"));
    CHECK_THROWS_WITH(read_json_file("/nonexistent.json"), Catch::Contains("cannot be read"));
}

} // namespace
} // namespace dotterelport
