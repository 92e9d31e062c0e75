#ifndef DOTTERELPORT_OBJECT_STORE_OBJECT_FEED_HPP
#define DOTTERELPORT_OBJECT_STORE_OBJECT_FEED_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/object_store/conditional_objects.hpp"

namespace dotterelport::object_store {

/// An object of a kind that a feed tracks.
struct typed_object {
    std::string name;
    version object_version = 0;
    json value;
};

/// Outcome of a call that lists or watches objects.
enum class feed_status {
    answered,
    /// The store no longer has the changes after the requested revision.
    history_gone,
    /// No answer, or a refusal.
    unavailable,
};

/// A page of a list of objects.
struct list_page {
    feed_status status = feed_status::unavailable;
    std::vector<typed_object> objects;
    /// Further pages follow.
    bool has_more = false;
    version revision = 0;
};

/// One change of an object.
struct object_change {
    typed_object object;
    bool removed = false;
};

/// Changes after a revision.
struct change_batch {
    feed_status status = feed_status::unavailable;
    std::vector<object_change> changes;
    version revision = 0;
};

/// Objects that can be listed and watched by kind.
class watchable_objects {
public:
    virtual ~watchable_objects() = default;

    /// @param after name after which the page begins; empty for the first one
    virtual void list(const std::string& kind, const std::string& after,
                      std::function<void(const list_page&)> done) = 0;

    /// @brief Waits for a change after a revision; passes an empty batch to the callback
    /// after the wait time.
    virtual void watch(const std::string& kind, version since, milliseconds wait,
                       std::function<void(const change_batch&)> done) = 0;
};

/// Callbacks for the objects and changes that a feed receives.
struct feed_handler {
    /// @param after_outage whether the store was unavailable shortly before
    std::function<void(const std::vector<typed_object>& objects, bool after_outage)> on_list;
    std::function<void(const object_change& change, bool after_outage)> on_change;
};

struct feed_settings {
    /// Longest time for which a watch waits. A connection that has failed silently is detected
    /// after this time plus the client's own margin, so it bounds the age of the known objects.
    milliseconds max_watch_wait{1'500};
    /// Pause after a batch of changes, so that changes in quick succession need only one call.
    milliseconds batch_pause{200};
    /// Delay before the first retry of a failed call; doubled after each consecutive failure up to
    /// max_backoff.
    milliseconds initial_backoff{80};
    milliseconds max_backoff{500};
    /// Time after an outage during which registrations that expired in the outage may be renewed;
    /// lists and changes in this time are marked as after_outage.
    milliseconds outage_grace{2'000};
};

/// Tracks the objects of one kind: lists them, then watches them, and lists them again when the
/// store no longer has the changes that the watch needs.
class object_feed {
public:
    object_feed(net::event_loop& loop, watchable_objects& objects, std::string kind,
                feed_handler handler, const feed_settings& settings = {});
    ~object_feed();
    object_feed(const object_feed&) = delete;
    object_feed& operator=(const object_feed&) = delete;

    /// @brief Time since the last answer of the store.
    [[nodiscard]] milliseconds age() const;

private:
    void list(const std::string& after);
    void listed(const list_page& page);
    void watch();
    void watched(const change_batch& batch);
    void failed(const std::string& call);
    void answered();
    [[nodiscard]] bool is_after_outage() const;

    net::event_loop& loop_;
    watchable_objects& objects_;
    std::string kind_;
    feed_handler handler_;
    feed_settings settings_;
    std::vector<typed_object> listed_objects_;
    version list_revision_ = 0;
    version revision_ = 0;
    bool has_list_ = false;
    int failures_ = 0;
    milliseconds last_answer_;
    /// End of the time after an outage, see feed_settings::outage_grace.
    milliseconds after_outage_until_{-1};
    net::timer_id timer_ = 0;
    std::mt19937_64 random_{std::random_device{}()};
    /// Expires with this object; callbacks of calls in progress check it.
    std::shared_ptr<object_feed*> alive_;
};

} // namespace dotterelport::object_store

#endif
