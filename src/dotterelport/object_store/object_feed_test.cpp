#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelport/object_store/object_feed.hpp"

namespace dotterelport::object_store {
namespace {

using namespace std::chrono_literals;

/// Answers calls with prepared results; calls without a prepared result stay pending.
struct scripted_objects final : watchable_objects {
    std::deque<list_page> pages;
    std::deque<change_batch> batches;
    std::vector<std::string> calls;
    std::function<void(const change_batch&)> open_watch;

    void list(const std::string& /*kind*/, const std::string& after,
              std::function<void(const list_page&)> done) override
    {
        calls.push_back("list " + after);
        if (!pages.empty()) {
            const auto page = pages.front();
            pages.pop_front();
            done(page);
        }
    }

    void watch(const std::string& /*kind*/, version since, milliseconds /*wait*/,
               std::function<void(const change_batch&)> done) override
    {
        calls.push_back("watch " + std::to_string(since));
        if (batches.empty()) {
            open_watch = std::move(done);
            return;
        }
        const auto batch = batches.front();
        batches.pop_front();
        done(batch);
    }
};

struct fixture {
    net::event_loop loop;
    scripted_objects objects;
    std::vector<std::vector<std::string>> lists;
    std::vector<std::string> changes;
    std::vector<bool> after_outage;

    feed_handler handler()
    {
        return {.on_list =
                    [this](const auto& items, bool outage) {
                        lists.emplace_back();
                        for (const auto& item : items) {
                            lists.back().push_back(item.name);
                        }
                        after_outage.push_back(outage);
                    },
                .on_change =
                    [this](const auto& change, bool outage) {
                        changes.push_back((change.removed ? "-" : "+") + change.object.name);
                        after_outage.push_back(outage);
                    }};
    }

    static list_page page(const std::vector<std::string>& names, bool more, version at)
    {
        list_page result{
            .status = feed_status::answered, .objects = {}, .has_more = more, .revision = at};
        for (const auto& name : names) {
            result.objects.push_back({.name = name, .object_version = at, .value = {}});
        }
        return result;
    }

    static change_batch change(const std::string& name, bool removed, version at)
    {
        return {.status = feed_status::answered,
                .changes = {{.object = {.name = name, .object_version = at, .value = {}},
                             .removed = removed}},
                .revision = at};
    }
};

TEST_CASE("A list of several pages is watched from the revision of its first page")
{
    fixture feed;
    feed.objects.pages = {fixture::page({"a", "b"}, true, 7), fixture::page({"c"}, false, 9)};
    const object_feed running(feed.loop, feed.objects, "kind", feed.handler());
    CHECK(feed.lists == std::vector<std::vector<std::string>>{{"a", "b", "c"}});
    CHECK(feed.objects.calls == std::vector<std::string>{"list ", "list b", "watch 7"});
}

TEST_CASE("Changes are passed to the handler and the watch continues after them")
{
    fixture feed;
    feed.objects.pages = {fixture::page({"a"}, false, 3)};
    feed.objects.batches = {fixture::change("b", false, 5), fixture::change("a", true, 6)};
    const object_feed running(feed.loop, feed.objects, "kind", feed.handler());
    // The second change waits in the store until the pause is over.
    CHECK(feed.changes == std::vector<std::string>{"+b"});
    feed.loop.run_for(500ms);
    CHECK(feed.changes == std::vector<std::string>{"+b", "-a"});
    CHECK(feed.objects.calls.back() == "watch 6");
    CHECK(feed.after_outage == std::vector<bool>{false, false, false});
}

TEST_CASE(
    "When the history is gone, the objects are listed again, which does not count as an outage")
{
    fixture feed;
    feed.objects.pages = {fixture::page({"a"}, false, 3), fixture::page({"b"}, false, 9)};
    feed.objects.batches = {{.status = feed_status::history_gone, .changes = {}, .revision = 0}};
    const object_feed running(feed.loop, feed.objects, "kind", feed.handler());
    CHECK(feed.lists.back() == std::vector<std::string>{"b"});
    CHECK(feed.after_outage == std::vector<bool>{false, false});
}

TEST_CASE("Changes are marked as following an outage for a limited time")
{
    fixture feed;
    feed.objects.pages = {fixture::page({"a"}, false, 3)};
    feed.objects.batches = {{}, fixture::change("a", true, 4)};
    const object_feed running(
        feed.loop, feed.objects, "kind", feed.handler(),
        {.batch_pause = 10ms, .initial_backoff = 10ms, .max_backoff = 10ms, .outage_grace = 100ms});
    feed.loop.run_for(50ms);
    CHECK(feed.changes == std::vector<std::string>{"-a"});
    CHECK(feed.after_outage.back());
    feed.loop.run_for(150ms);
    feed.objects.open_watch(fixture::change("b", true, 5));
    CHECK_FALSE(feed.after_outage.back());
}

TEST_CASE("While the store does not answer, the pause between calls is bounded")
{
    fixture feed;
    feed.objects.pages.assign(100, list_page{});
    const object_feed running(feed.loop, feed.objects, "kind", feed.handler(),
                              {.initial_backoff = 20ms, .max_backoff = 40ms});
    feed.loop.run_for(400ms);
    CHECK(feed.objects.calls.size() >= 8);
    CHECK(feed.objects.calls.size() <= 40);
    CHECK(feed.lists.empty());
}

/// A feed of a process that relies on others, listed up to revision 10.
struct follower_fixture : fixture {
    bool is_watcher = false;
    std::vector<shared_changes> published;
    std::unique_ptr<object_feed> feed;

    follower_fixture()
    {
        objects.pages = {page({"a"}, false, 10)};
        feed = std::make_unique<object_feed>(
            loop, objects, "kind", handler(),
            feed_settings{.batch_pause = 10ms, .max_confirmation_age = 100ms, .fetch_delay = 20ms});
        feed->share([this] { return is_watcher; },
                    [this](const shared_changes& changes) { published.push_back(changes); });
        // Ends the watch that began with the list.
        confirm(10, 10);
        objects.open_watch({.status = feed_status::answered, .changes = {}, .revision = 10});
        objects.calls.clear();
    }

    void confirm(version unchanged_since, version revision, milliseconds age = 0ms)
    {
        feed->receive_confirmation(
            {.unchanged_since = unchanged_since, .revision = revision, .age = age});
    }

    void pass_on(const std::string& name, version since, version revision)
    {
        feed->receive_changes({.since = since,
                               .revision = revision,
                               .after_outage = false,
                               .changes = change(name, false, revision).changes});
    }
};

TEST_CASE("A process that relies on others calls the store only when their confirmations stop")
{
    follower_fixture follower;
    for (version revision = 11; revision < 20; ++revision) {
        follower.confirm(10, revision);
        follower.loop.run_for(30ms);
    }
    CHECK(follower.objects.calls.empty());
    CHECK(follower.feed->age() < 60ms);
    follower.loop.run_for(150ms);
    CHECK(follower.objects.calls == std::vector<std::string>{"watch 19"});
}

TEST_CASE("A confirmation that rests on an old answer of the store does not replace a watch")
{
    follower_fixture follower;
    for (int i = 0; i < 10; ++i) {
        follower.confirm(10, 10, 99ms);
        follower.loop.run_for(20ms);
    }
    CHECK(follower.objects.calls == std::vector<std::string>{"watch 10"});
}

TEST_CASE("Changes that others pass on are applied once and in order")
{
    follower_fixture follower;
    follower.pass_on("b", 10, 12);
    // Another watcher read the same changes in one batch with earlier ones, or is behind.
    follower.pass_on("b", 9, 12);
    follower.pass_on("old", 8, 11);
    follower.pass_on("c", 11, 14);
    CHECK(follower.changes == std::vector<std::string>{"+b", "+c"});
    CHECK(follower.published.empty());
    follower.loop.run_for(50ms);
    CHECK(follower.objects.calls.empty());
}

TEST_CASE("Changes that were reported but did not arrive are read from the store")
{
    follower_fixture follower;
    follower.objects.batches = {change_batch{
        .status = feed_status::answered,
        .changes = {{.object = {.name = "b", .object_version = 12, .value = {}}, .removed = false}},
        .revision = 13}};
    SECTION("a later change arrives without them")
    {
        follower.pass_on("c", 12, 13);
    }
    SECTION("a confirmation names them")
    {
        follower.confirm(12, 13);
        follower.loop.run_for(5ms);
        // Further confirmations do not delay the read.
        follower.confirm(12, 13);
    }
    CHECK(follower.changes.empty());
    follower.loop.run_for(40ms);
    CHECK(follower.objects.calls == std::vector<std::string>{"watch 10"});
    CHECK(follower.changes == std::vector<std::string>{"+b"});
}

TEST_CASE("A watcher watches regardless of the others and passes on what it reads")
{
    follower_fixture watcher;
    watcher.is_watcher = true;
    watcher.loop.run_for(150ms);
    watcher.confirm(10, 10);
    REQUIRE(watcher.objects.calls == std::vector<std::string>{"watch 10"});
    watcher.objects.open_watch(fixture::change("b", false, 15));
    REQUIRE(watcher.published.size() == 1);
    CHECK(watcher.published.front().since == 10);
    CHECK(watcher.published.front().revision == 15);
    const auto confirmation = watcher.feed->confirmation();
    REQUIRE(confirmation);
    CHECK(confirmation->unchanged_since == 15);
    watcher.loop.run_for(30ms);
    CHECK(watcher.objects.calls.back() == "watch 15");
}

TEST_CASE("A process learns from others that the store is available again")
{
    follower_fixture follower;
    follower.objects.batches.assign(20, change_batch{});
    follower.loop.run_for(200ms);
    const auto failed = follower.objects.calls.size();
    CHECK(failed >= 1);
    follower.confirm(10, 11);
    follower.loop.run_for(50ms);
    CHECK(follower.objects.calls.size() == failed);
    follower.pass_on("b", 11, 12);
    CHECK(follower.after_outage.back());
}

TEST_CASE("While the objects are listed again, changes from others are left to the list")
{
    follower_fixture follower;
    follower.objects.batches = {
        {.status = feed_status::history_gone, .changes = {}, .revision = 0}};
    follower.loop.run_for(150ms);
    REQUIRE(follower.objects.calls.back() == "list ");
    follower.pass_on("b", 10, 12);
    CHECK(follower.changes.empty());
}

TEST_CASE("A destroyed feed ignores late answers")
{
    fixture feed;
    feed.objects.pages = {fixture::page({}, false, 1)};
    {
        const object_feed running(feed.loop, feed.objects, "kind", feed.handler());
    }
    feed.objects.open_watch(fixture::change("late", false, 2));
    CHECK(feed.changes.empty());
}

} // namespace
} // namespace dotterelport::object_store
