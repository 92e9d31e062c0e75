#include <catch2/catch.hpp>

#include <deque>
#include <functional>
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
