#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/hash.hpp"
#include "dotterelport/config/diff.hpp"
#include "dotterelport/config/parts.hpp"
#include "dotterelport/config/snapshot.hpp"
#include "dotterelport/config/test_documents.hpp"

namespace dotterelport::config {
namespace {

TEST_CASE("A refused document is reported with the JSON path and what was expected")
{
    struct row {
        std::string pointer;
        json value;
        std::string path;
        std::string expected;
    };
    const auto [pointer, value, path, expected] = GENERATE(
        row{"/format", 2, "/format", "enum [1]"}, row{"/surplus", 1, "/", "surplus"},
        row{"/settings/budget_shards", 0, "/settings/budget_shards", "minimum 1"},
        row{"/services/0/kind", "engine", "/services/0/kind", "application"},
        row{"/services/0/models", json::array(), "/services/0/models", "minItems 1"},
        row{"/services/1/name", "coal-llm", "/services/1/name", "/services/0/name"},
        row{"/services/1/routes/0/idempotent", "no", "/services/1/routes/0/idempotent", "boolean"},
        row{"/services/1/lookup", "/bookings", "/services/1/lookup", "key"},
        row{"/workspaces/0/name", "a/b", "/workspaces/0/name", "pattern"},
        row{"/workspaces/1/name", "depot", "/workspaces/1/name", "unique workspace name"},
        row{"/workspaces/0/services/0", "other", "/workspaces/0/services/0", "name of a service"},
        row{"/workspaces/0/keys/0", "secret", "/workspaces/0/keys/0", "sha256:"},
        row{"/workspaces/1/keys/0", "sha256:" + sha256_hex("depot-key"), "/workspaces/1/keys/0",
            "unique key"},
        row{"/workspaces/0/budgets/0/prepaid_tokens", -1, "/workspaces/0/budgets/0/prepaid_tokens",
            "minimum 0"},
        row{"/workspaces/0/budgets/0/services/0", "other", "/workspaces/0/budgets/0/services/0",
            "\"*\""},
        row{"/workspaces/1/budgets/0/name", "depot-main", "/workspaces/1/budgets/0/name",
            "unique budget name"});
    json document = to_json(small_document());
    document[json::json_pointer(pointer)] = value;
    try {
        parse_document(document.dump(), "fleet.json");
        FAIL("accepted " << pointer);
    } catch (const format_error& failure) {
        CAPTURE(failure.what());
        CHECK(failure.source() == "fleet.json");
        CHECK((failure.path().empty() ? "/" : failure.path()) == path);
        CHECK(failure.description().find(expected) != std::string::npos);
    }
}

TEST_CASE("A document round-trips through its canonical form and through its parts")
{
    const document value = small_document();
    CHECK(to_json(parse_document(to_json(value).dump(), "test")) == to_json(value));
    const auto parts = split(value, "test");
    CHECK(parts.parts.size() == workspace_bucket_count + 1);
    std::vector<std::shared_ptr<const part>> parsed(parts.parts.size());
    for (std::size_t i = 0; i < parsed.size(); ++i) {
        const auto& hash = parts.parts[i];
        if (!hash.empty()) {
            parsed[i] = std::make_shared<part>(parse_part(parts.contents.at(hash), "test"));
        }
    }
    CHECK(to_json(join(parsed)) == to_json(value));
}

TEST_CASE("Differences name each element with its old and new values")
{
    const document before = small_document();
    document after = before;
    after.workspaces[0].budgets[0].prepaid = 300'000;
    after.workspaces[1].name = "yard";
    after.services[0].max_output_tokens = 64;
    const auto changes = diff(before, after);
    std::vector<std::string> lines;
    lines.reserve(changes.size());
    for (const auto& item : changes) {
        lines.push_back(describe(item).substr(0, describe(item).find('\n')));
    }
    CHECK(lines == std::vector<std::string>{"changed service coal-llm", "removed workspace vendor",
                                            "added workspace yard", "changed budget depot-main",
                                            "changed budget vendor-main"});
    CHECK(describe(changes[3]) == "changed budget depot-main\n  prepaid_tokens: 200000 -> 300000");
    CHECK(diff(before, before).empty());
}

TEST_CASE("A snapshot finds workspaces by key, and budgets and services by name")
{
    const snapshot value(7, small_document());
    const workspace* depot = value.workspace_of_key("depot-key");
    REQUIRE(depot != nullptr);
    CHECK(depot->name == "depot");
    CHECK(value.workspace_of_key("other") == nullptr);
    CHECK(value.workspace_of_key(sha256_hex("depot-key")) == nullptr);
    CHECK(value.service_of_model("ember-7b") == value.find_service("coal-llm"));
    CHECK(value.workspace_of_budget("depot-main") == depot);
    CHECK(value.find_budget("other") == nullptr);
    const service* model = value.find_service("coal-llm");
    const service* dispatch = value.find_service("dispatch");
    CHECK(snapshot::budget_for(*depot, *dispatch)->name == "depot-main");
    const workspace* vendor = value.find_workspace("vendor");
    CHECK(snapshot::allows(*vendor, *model));
    CHECK_FALSE(snapshot::allows(*vendor, *dispatch));
    CHECK(snapshot::budget_for(*vendor, *dispatch) == nullptr);
    CHECK(shard_of("depot", {.budget_shards = 1}) == 0);
}

} // namespace
} // namespace dotterelport::config
