#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "dotterelport/config/parts.hpp"
#include "dotterelport/config/publisher.hpp"
#include "dotterelport/config/reader.hpp"
#include "dotterelport/config/test_documents.hpp"
#include "dotterelport/standin/platform_server.hpp"

namespace dotterelport::config {
namespace {

constexpr milliseconds test_limit{10'000};

/// The stand-in for the platform and a publisher on one event loop.
struct fixture {
    net::event_loop loop;
    standin::platform_server server{loop, {}};
    net::http_client http{loop};
    object_store::client client{http, server.address()};
    publisher publishing{loop, client, {.timeout = milliseconds{1'500}}};

    publish_result publish(const document& value, const std::string& id,
                           std::optional<std::uint64_t> if_generation = std::nullopt)
    {
        std::optional<publish_result> result;
        publishing.publish(value, if_generation, id, [&](const publish_result& answer) {
            result = answer;
            loop.stop();
        });
        loop.run_for(test_limit);
        return result.value();
    }

    manifest accepted()
    {
        return parse_manifest(server.objects().read(manifest_key).value.value, "test");
    }

    [[nodiscard]] std::uint64_t writes() const
    {
        return server.counters().calls(standin::call_kind::write);
    }

    /// @brief Stores the parts of a document, so that its publication writes the manifest only.
    void store_parts(const document& value)
    {
        for (const auto& [hash, content] : split(value, "test").contents) {
            server.objects().write(part_key(hash), content, std::nullopt);
        }
    }
};

document with_prepaid(tokens prepaid)
{
    return with_changed_prepaid(small_document(), prepaid);
}

TEST_CASE("A top-up that is applied twice changes nothing the second time")
{
    fixture fleet;
    CHECK(std::get<publish_applied>(fleet.publish(small_document(), "a")).generation == 1);
    CHECK(std::get<publish_applied>(fleet.publish(with_prepaid(300'000), "b")).generation == 2);
    const auto writes = fleet.writes();
    const auto revision = fleet.server.objects().revision();
    const auto repeated = std::get<publish_applied>(fleet.publish(with_prepaid(300'000), "c"));
    CHECK(repeated.generation == 2);
    CHECK_FALSE(repeated.changed);
    CHECK(fleet.writes() == writes);
    CHECK(fleet.server.objects().revision() == revision);
    std::optional<accepted_configuration> read;
    read_accepted(fleet.client, [&](const auto& answer) {
        read = answer;
        fleet.loop.stop();
    });
    fleet.loop.run_for(test_limit);
    REQUIRE(read);
    CHECK(read->generation == 2);
    CHECK(to_json(read->content) == to_json(with_prepaid(300'000)));
}

TEST_CASE("Of two concurrent applies one is accepted and the other reports both generations")
{
    // The loser's document must not be in force, nor be reported as applied.
    fixture fleet;
    fleet.publish(small_document(), "first");
    const auto if_generation = GENERATE(as<std::optional<std::uint64_t>>{}, std::nullopt, 1);
    const int start_delay_ms = GENERATE(0, 1, 2, 5);
    std::vector<publish_result> results;
    const auto done = [&](const publish_result& result) {
        results.push_back(result);
        if (results.size() == 2) {
            fleet.loop.stop();
        }
    };
    fleet.publishing.publish(with_prepaid(1), if_generation, "a", done);
    fleet.loop.schedule(milliseconds{start_delay_ms}, [&] {
        fleet.publishing.publish(with_prepaid(2), if_generation, "b", done);
    });
    fleet.loop.run_for(test_limit);
    REQUIRE(results.size() == 2);
    CAPTURE(results[0].index(), results[1].index(), start_delay_ms, if_generation.has_value());
    // The answer of the winner's write may be the last to arrive.
    std::stable_partition(results.begin(), results.end(), [](const publish_result& result) {
        return std::holds_alternative<publish_applied>(result);
    });
    const auto* winner = std::get_if<publish_applied>(&results[0]);
    REQUIRE(winner != nullptr);
    if (const auto* loser = std::get_if<publish_conflict>(&results[1])) {
        CHECK(winner->generation == 2);
        CHECK(loser->expected == 1);
        CHECK(loser->present == 2);
        CHECK(fleet.accepted().generation == 2);
        return;
    }
    // Without if_generation, the second publication may have started after the first was done.
    CHECK_FALSE(if_generation);
    CHECK(winner->generation + std::get<publish_applied>(results[1]).generation == 2 + 3);
}

TEST_CASE("An outdated generation is a conflict")
{
    fixture fleet;
    fleet.publish(small_document(), "a");
    fleet.publish(with_prepaid(1), "b");
    const auto result = std::get<publish_conflict>(fleet.publish(with_prepaid(2), "c", 1));
    CHECK(result.expected == 1);
    CHECK(result.present == 2);
}

TEST_CASE("Lost answers to any of the writes lead to one accepted generation")
{
    fixture fleet;
    const std::uint64_t lost = GENERATE(1, 2, 3, 4);
    const bool parts_stored = GENERATE(false, true);
    if (parts_stored) {
        fleet.store_parts(small_document());
    }
    fleet.server.set_faults({.answers_to_lose = lost});
    CHECK(std::get<publish_applied>(fleet.publish(small_document(), "a")).generation == 1);
    CHECK(fleet.accepted().generation == 1);
    CHECK(fleet.accepted().history == std::vector<publication>{{1, "a"}});
}

TEST_CASE("A publisher whose answer was lost recognises its write after another was accepted")
{
    fixture fleet;
    fleet.store_parts(small_document());
    fleet.server.set_faults({.answers_to_lose = 1});
    const bool other_replaces_manifest = GENERATE(false, true);
    fleet.server.objects().watch(manifest_key, 0, [&](const object_store::listing& changes) {
        if (!other_replaces_manifest) {
            return;
        }
        manifest next = parse_manifest(changes.objects.front().value, "test");
        ++next.generation;
        next.history.push_back({next.generation, "other"});
        fleet.server.objects().write(manifest_key, to_json(next).dump(), std::nullopt);
    });
    CHECK(std::get<publish_applied>(fleet.publish(small_document(), "a")).generation == 1);
    CHECK(fleet.accepted().generation == (other_replaces_manifest ? 2 : 1));
}

TEST_CASE("In an outage the result says whether the write may have taken effect")
{
    fixture fleet;
    fleet.store_parts(small_document());
    const bool answer_lost = GENERATE(false, true);
    if (answer_lost) {
        fleet.server.set_faults({.answers_to_lose = 1});
        fleet.server.objects().watch(manifest_key, 0, [&](const object_store::listing&) {
            fleet.loop.post([&] { fleet.server.set_faults({.outage = true}); });
        });
    } else {
        fleet.server.set_faults({.outage = true});
    }
    const auto result = std::get<publish_unavailable>(fleet.publish(small_document(), "a"));
    CHECK(result.may_be_applied == answer_lost);
}

TEST_CASE("A changed number of budget shards is refused")
{
    fixture fleet;
    fleet.publish(small_document(), "a");
    document changed = small_document();
    changed.settings.budget_shards = 8;
    const auto result = std::get<publish_refused>(fleet.publish(changed, "b"));
    CHECK(result.reason.find("/settings/budget_shards: expected 4") != std::string::npos);
    CHECK(fleet.accepted().generation == 1);
}

} // namespace
} // namespace dotterelport::config
