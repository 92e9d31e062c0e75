#ifndef DOTTERELPORT_OBJECT_STORE_OBJECT_FEED_HPP
#define DOTTERELPORT_OBJECT_STORE_OBJECT_FEED_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
    /// JSON text, which another writer may have left unreadable.
    std::string value;
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
    store_era era = 0;
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
    store_era era = 0;
};

/// Changes that a process has read from the store and passes on to others.
struct shared_changes {
    /// Era of both revisions.
    store_era era = 0;
    /// Revision after which the changes were made.
    version since = 0;
    version revision = 0;
    bool after_outage = false;
    std::vector<object_change> changes;
};

/// What a process knows about the newest state of a kind in the store.
struct feed_confirmation {
    /// Era of both revisions.
    store_era era = 0;
    /// No object of the kind changed after this revision, up to `revision`.
    version unchanged_since = 0;
    version revision = 0;
    /// Time since the store's answer on which this is based.
    milliseconds age{0};
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
    /// Maximum backoff of a process that relies on others: they pass on that the store is available
    /// again, so that it needs fewer calls of its own during an outage.
    milliseconds max_backoff_of_followers{3'000};
    /// Age of the last confirmation by another process at which this process calls the store
    /// itself. Longer than a watch and its timeout, so that one failed watch does not make a whole
    /// fleet call the store.
    milliseconds max_confirmation_age{2'300};
    /// Delay before changes that another process has reported, but that did not arrive, are read
    /// from the store; half of it is random.
    milliseconds fetch_delay{120};
    /// Longest delay, which is random, before a process that relies on others lists the objects in
    /// a new era of the store, so that not all processes of a fleet list at the same moment.
    milliseconds max_list_delay{400};
    /// Time after an outage during which registrations that expired in the outage may be renewed;
    /// lists and changes in this time are marked as after_outage.
    milliseconds outage_grace{2'000};
};

/// Tracks the objects of one kind: lists them, then watches them, and lists them again when the
/// store no longer has the changes that the watch needs, or when it has come back in a new era:
/// revisions of different eras are never compared.
///
/// In a large fleet, only a few processes need to watch: they pass changes and confirmations on to
/// the others, which call the store only if a change did not arrive or if the confirmations stop.
class object_feed {
public:
    using changes_handler = std::function<void(const shared_changes& changes)>;

    object_feed(net::event_loop& loop, watchable_objects& objects, std::string kind,
                feed_handler handler, const feed_settings& settings = {});
    ~object_feed();
    object_feed(const object_feed&) = delete;
    object_feed& operator=(const object_feed&) = delete;

    [[nodiscard]] const std::string& kind() const { return kind_; }

    /// @brief Time since the last answer of the store, to this process or to one that passed it on.
    [[nodiscard]] milliseconds age() const;

    /// @brief Lets this process rely on others.
    /// @param is_watcher returns whether this process watches the store regardless of the others
    /// @param on_changes called with changes that this process has read from the store
    void share(std::function<bool()> is_watcher, changes_handler on_changes);

    /// @brief Era of the store in which the objects were listed; 0 before the first list.
    [[nodiscard]] store_era era() const { return era_; }

    /// @brief Takes an era of the store that another call or process has seen: if it is new, the
    /// objects are listed again.
    void observe_era(store_era era);

    /// @brief What this process has learned from the store itself; nothing before the first list of
    /// the newest era.
    [[nodiscard]] std::optional<feed_confirmation> confirmation() const;

    /// @brief Takes a confirmation of another process.
    void receive_confirmation(const feed_confirmation& received);
    /// @brief Takes changes that another process has read.
    void receive_changes(const shared_changes& received);

private:
    enum class store_call {
        none,
        list,
        watch,
    };

    void list(const std::string& after);
    void listed(const list_page& page);
    void schedule_list();
    void accept_list();
    /// @brief Watches, or waits for other processes to pass on changes.
    void proceed();
    void watch(milliseconds wait);
    void watched(version since, version reported, const change_batch& batch);
    void failed(const std::string& call);
    void answered();
    void regained();
    void schedule(milliseconds delay, std::function<void()> function);
    void schedule_fetch();
    void apply(const std::vector<object_change>& changes, bool after_outage);
    /// @brief Counts a call; the answers to earlier ones are ignored from now on.
    std::uint64_t begin(store_call call);
    void set_newest_era(store_era era);
    [[nodiscard]] bool is_after_outage() const;
    /// @brief Returns whether the objects must be listed before changes can be applied.
    [[nodiscard]] bool needs_list() const { return !has_list_ || era_ != newest_era_; }
    [[nodiscard]] bool is_follower() const { return is_watcher_ && !is_watcher_(); }
    [[nodiscard]] bool relies_on_others() const;

    net::event_loop& loop_;
    watchable_objects& objects_;
    std::string kind_;
    feed_handler handler_;
    feed_settings settings_;
    std::function<bool()> is_watcher_;
    changes_handler on_changes_;
    std::vector<typed_object> listed_objects_;
    /// Revision and era of the first page of the list in progress.
    std::optional<version> list_revision_;
    store_era list_era_ = 0;
    /// Newest era that was known when the list in progress began.
    store_era expected_list_era_ = 0;
    /// Era of the revisions below.
    store_era era_ = 0;
    /// Newest era that this process has learned of.
    store_era newest_era_ = 0;
    /// Eras up to this one that others report are ignored: the store has stated an earlier one
    /// since.
    store_era refuted_era_ = 0;
    version revision_ = 0;
    /// The last change up to revision_ is not newer than this.
    version unchanged_since_ = 0;
    /// Newest revision, in the newest era, up to which other processes know of changes.
    version reported_revision_ = 0;
    bool has_list_ = false;
    store_call call_in_progress_ = store_call::none;
    std::uint64_t last_call_ = 0;
    /// A read of reported changes is scheduled.
    bool fetch_scheduled_ = false;
    int failures_ = 0;
    /// Time of the last answer to this process.
    milliseconds last_answer_;
    /// Time of the newest answer to another process that was passed on.
    std::optional<milliseconds> confirmed_at_;
    /// End of the time after an outage, see feed_settings::outage_grace.
    milliseconds after_outage_until_{-1};
    net::timer_id timer_ = 0;
    std::mt19937_64 random_{std::random_device{}()};
    /// Expires with this object; callbacks of calls in progress check it.
    std::shared_ptr<object_feed*> alive_;
};

} // namespace dotterelport::object_store

#endif
