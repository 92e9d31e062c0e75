#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "dotterelport/object_store/store.hpp"

namespace dotterelport::object_store {
namespace {

std::vector<std::string> keys_of(const listing& value)
{
    std::vector<std::string> keys;
    for (const auto& item : value.objects) {
        keys.push_back(item.key);
    }
    return keys;
}

TEST_CASE("A conditional write takes effect only if the object has the given version")
{
    struct row {
        bool exists;
        std::optional<version> if_version;
        write_status expected;
    };
    const auto [exists, if_version, expected] = GENERATE(
        row{false, std::nullopt, write_status::applied}, row{false, 0, write_status::applied},
        row{false, 1, write_status::conflict}, row{true, std::nullopt, write_status::applied},
        row{true, 0, write_status::conflict}, row{true, 1, write_status::applied},
        row{true, 2, write_status::conflict});
    store objects;
    if (exists) {
        objects.write("a", "old", 0);
    }
    const auto result = objects.write("a", "new", if_version);
    CHECK(result.status == expected);
    const auto present = objects.read("a");
    if (expected == write_status::applied) {
        CHECK(present.value.value == "new");
        CHECK(present.value.object_version == result.object_version);
    } else {
        CHECK(present.value.value == (exists ? "old" : ""));
        CHECK(result.object_version == (exists ? 1 : 0));
    }
}

TEST_CASE("Values up to 1,000,000 bytes are accepted")
{
    const auto [bytes, expected] = GENERATE(
        table<std::size_t, write_status>({{max_value_bytes, write_status::applied},
                                          {max_value_bytes + 1, write_status::too_large}}));
    store objects;
    CHECK(objects.write("a", std::string(bytes, 'x'), std::nullopt).status == expected);
    CHECK(objects.size() == (expected == write_status::applied ? 1 : 0));
}

TEST_CASE("A listing since a revision contains the changes after it, including removals")
{
    store objects;
    objects.write("p/a", "1", 0);
    objects.write("p/b", "1", 0);
    const version since = objects.write("q/a", "1", 0).object_version;
    objects.write("p/b", "2", std::nullopt);
    objects.write("p/c", "1", 0);
    CHECK(objects.remove("p/a", 99).status == write_status::conflict);
    CHECK(objects.remove("p/a", 1).status == write_status::applied);
    CHECK(objects.remove("p/a", 1).status == write_status::conflict);
    const auto changes = objects.list("p/", since);
    CHECK(keys_of(changes) == std::vector<std::string>{"p/b", "p/c"});
    CHECK(changes.deleted == std::vector<std::string>{"p/a"});
    CHECK(changes.revision == objects.revision());
    CHECK(keys_of(objects.list("p/", 0)) == std::vector<std::string>{"p/b", "p/c"});
    CHECK(objects.list("p/", objects.revision()).objects.empty());
}

TEST_CASE("A watch calls its function once, immediately if there already is a change")
{
    store objects;
    const version since = objects.write("p/a", "1", 0).object_version;
    int answers = 0;
    const auto count = [&](const listing&) { ++answers; };
    CHECK(objects.watch("p/", since, count) != 0);
    objects.write("q/a", "1", 0);
    CHECK(answers == 0);
    objects.write("p/a", "2", since);
    objects.write("p/a", "3", std::nullopt);
    CHECK(answers == 1);
    CHECK(objects.watch("p/", since, count) == 0);
    CHECK(answers == 2);
    objects.cancel(objects.watch("p/", objects.revision(), count));
    objects.write("p/a", "4", std::nullopt);
    CHECK(answers == 2);
}

TEST_CASE("Applying listings since any revisions yields the present objects")
{
    // Guards against a change that no listing reports, which would leave readers with stale
    // objects.
    CHECK(rc::check("listings add up", [](const std::vector<std::uint8_t>& steps) {
        store objects;
        std::map<std::string, std::string> mirror;
        version since = 0;
        const auto follow = [&] {
            const auto changes = objects.list("", since);
            for (const auto& item : changes.objects) {
                mirror[item.key] = item.value;
            }
            for (const auto& removed : changes.deleted) {
                mirror.erase(removed);
            }
            since = changes.revision;
        };
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const std::string key(1, static_cast<char>('a' + steps[i] % 5));
            if (steps[i] % 3 == 0) {
                objects.remove(key, objects.read(key).value.object_version);
            } else {
                objects.write(key, std::to_string(i), std::nullopt);
            }
            if (steps[i] % 7 < 3) {
                follow();
            }
        }
        follow();
        std::map<std::string, std::string> present;
        for (const auto& item : objects.list("", 0).objects) {
            present[item.key] = item.value;
        }
        RC_ASSERT(mirror == present);
    }));
}

} // namespace
} // namespace dotterelport::object_store
