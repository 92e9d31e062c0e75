#include "dotterelport/object_store/object_feed.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/object_store/events.hpp"

namespace dotterelport::object_store {
namespace {

/// Wait of a watch that only asks for the changes up to now.
constexpr milliseconds shortest_wait{1};

} // namespace

object_feed::object_feed(net::event_loop& loop, watchable_objects& objects, std::string kind,
                         feed_handler handler, const feed_settings& settings)
    : loop_(loop), objects_(objects), kind_(std::move(kind)), handler_(std::move(handler)),
      settings_(settings), last_answer_(steady_now()), alive_(std::make_shared<object_feed*>(this))
{
    list({});
}

object_feed::~object_feed()
{
    loop_.cancel(timer_);
}

milliseconds object_feed::age() const
{
    return steady_now() - std::max(last_answer_, confirmed_at_.value_or(last_answer_));
}

bool object_feed::is_after_outage() const
{
    return steady_now() < after_outage_until_;
}

void object_feed::answered()
{
    last_answer_ = steady_now();
    if (std::exchange(failures_, 0) > 0) {
        regained();
    }
}

void object_feed::regained()
{
    after_outage_until_ = steady_now() + settings_.outage_grace;
    log(events::feed_regained, {{"kind", kind_}, {"revision", revision_}});
}

void object_feed::failed(const std::string& call)
{
    if (failures_++ == 0) {
        log(events::feed_lost, {{"kind", kind_}, {"call", call}, {"age_ms", age().count()}});
    }
    constexpr int max_doublings = 8;
    // A list, and changes that others have and this process lacks, are urgent.
    const bool may_wait = is_follower() && !needs_list() && reported_revision_ <= revision_;
    const auto pause =
        std::min(may_wait ? settings_.max_backoff_of_followers : settings_.max_backoff,
                 settings_.initial_backoff * (1 << std::min(failures_ - 1, max_doublings)));
    // The jitter keeps many processes from retrying at the same moment.
    std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
    schedule(milliseconds{jitter(random_)}, [this] {
        if (needs_list()) {
            list({});
        } else {
            // The answer shows at once that the store is available again.
            watch(shortest_wait);
        }
    });
}

void object_feed::schedule(milliseconds delay, std::function<void()> function)
{
    loop_.cancel(timer_);
    fetch_scheduled_ = false;
    timer_ = loop_.schedule(delay, [this, function = std::move(function)] {
        timer_ = 0;
        function();
    });
}

std::uint64_t object_feed::begin(store_call call)
{
    call_in_progress_ = call;
    return ++last_call_;
}

void object_feed::set_newest_era(store_era era)
{
    newest_era_ = era;
    reported_revision_ = 0;
    confirmed_at_.reset();
}

void object_feed::observe_era(store_era era)
{
    if (era <= std::max(newest_era_, refuted_era_)) {
        return;
    }
    set_newest_era(era);
    // A list in progress is checked against the era when it is answered.
    if (has_list_ && call_in_progress_ != store_call::list) {
        schedule_list();
    }
}

void object_feed::schedule_list()
{
    log(events::feed_era_gone,
        {{"kind", kind_}, {"revision", revision_}, {"era", era_}, {"newest_era", newest_era_}});
    begin(store_call::none);
    std::uniform_int_distribution<std::int64_t> delay(
        0, is_follower() ? settings_.max_list_delay.count() : 0);
    schedule(milliseconds{delay(random_)}, [this] { list({}); });
}

void object_feed::list(const std::string& after)
{
    if (after.empty()) {
        listed_objects_.clear();
        list_revision_.reset();
        expected_list_era_ = newest_era_;
    }
    objects_.list(kind_, after,
                  [this, call = begin(store_call::list),
                   alive = std::weak_ptr<object_feed*>(alive_)](const list_page& page) {
                      if (!alive.expired() && call == last_call_) {
                          listed(page);
                      }
                  });
}

void object_feed::listed(const list_page& page)
{
    call_in_progress_ = store_call::none;
    const bool is_earlier = page.era < era_;
    const bool is_of_other_list = list_revision_ && page.era != list_era_;
    if (page.status != feed_status::answered || is_earlier || is_of_other_list) {
        failed("list");
        return;
    }
    answered();
    // The watch starts at the revision of the first page, so that it also reports changes that were
    // made while the pages were read.
    if (!list_revision_) {
        list_revision_ = page.revision;
        list_era_ = page.era;
    }
    listed_objects_.insert(listed_objects_.end(), page.objects.begin(), page.objects.end());
    if (page.has_more && !page.objects.empty()) {
        list(page.objects.back().name);
        return;
    }
    accept_list();
}

void object_feed::accept_list()
{
    if (list_era_ < newest_era_) {
        if (newest_era_ > expected_list_era_) {
            list({});
            return;
        }
        // The store answered after the report of the newer era, so that the report was wrong.
        refuted_era_ = newest_era_;
        set_newest_era(list_era_);
    } else if (list_era_ > newest_era_) {
        set_newest_era(list_era_);
    }
    const bool is_new_era = has_list_ && list_era_ != era_;
    has_list_ = true;
    era_ = list_era_;
    revision_ = *list_revision_;
    unchanged_since_ = revision_;
    if (is_new_era) {
        regained();
    }
    handler_.on_list(std::exchange(listed_objects_, {}), is_after_outage());
    proceed();
}

bool object_feed::relies_on_others() const
{
    return is_follower() && confirmed_at_ &&
           steady_now() - *confirmed_at_ < settings_.max_confirmation_age;
}

void object_feed::proceed()
{
    if (!relies_on_others()) {
        watch(settings_.max_watch_wait);
        return;
    }
    if (reported_revision_ > revision_) {
        schedule_fetch();
        return;
    }
    schedule(*confirmed_at_ + settings_.max_confirmation_age - steady_now(), [this] { proceed(); });
}

void object_feed::schedule_fetch()
{
    std::uniform_int_distribution<std::int64_t> jitter(settings_.fetch_delay.count() / 2,
                                                       settings_.fetch_delay.count());
    schedule(milliseconds{jitter(random_)}, [this] {
        fetch_scheduled_ = false;
        if (reported_revision_ > revision_) {
            watch(shortest_wait);
        } else {
            proceed();
        }
    });
    fetch_scheduled_ = true;
}

void object_feed::watch(milliseconds wait)
{
    objects_.watch(kind_, revision_, wait,
                   [this, call = begin(store_call::watch), since = revision_,
                    reported = reported_revision_,
                    alive = std::weak_ptr<object_feed*>(alive_)](const change_batch& batch) {
                       if (!alive.expired() && call == last_call_) {
                           watched(since, reported, batch);
                       }
                   });
}

void object_feed::watched(version since, version reported, const change_batch& batch)
{
    call_in_progress_ = store_call::none;
    if (batch.status == feed_status::unavailable || batch.era < era_) {
        failed("watch");
        return;
    }
    const bool was_lost = failures_ > 0;
    answered();
    if (batch.era > era_) {
        // The revision may have been given out again and stand for other changes.
        set_newest_era(batch.era);
        schedule_list();
        return;
    }
    if (batch.status == feed_status::history_gone) {
        log(events::feed_history_gone,
            {{"kind", kind_}, {"revision", revision_}, {"era", batch.era}});
        list({});
        return;
    }
    // Changes that another process has passed on in the meantime are not applied again.
    if (batch.revision > revision_) {
        const bool after_outage = was_lost || is_after_outage();
        apply(batch.changes, after_outage);
        revision_ = batch.revision;
        if (!batch.changes.empty()) {
            unchanged_since_ = batch.revision;
            if (on_changes_) {
                on_changes_({.era = era_,
                             .since = since,
                             .revision = batch.revision,
                             .after_outage = after_outage,
                             .changes = batch.changes});
            }
        }
    }
    // What others knew of before the call is in its answer.
    if (reported_revision_ == reported) {
        reported_revision_ = std::min(reported_revision_, revision_);
    }
    if (batch.changes.empty()) {
        proceed();
        return;
    }
    schedule(settings_.batch_pause, [this] { proceed(); });
}

void object_feed::apply(const std::vector<object_change>& changes, bool after_outage)
{
    for (const auto& change : changes) {
        handler_.on_change(change, after_outage);
    }
}

void object_feed::share(std::function<bool()> is_watcher, changes_handler on_changes)
{
    is_watcher_ = std::move(is_watcher);
    on_changes_ = std::move(on_changes);
}

std::optional<feed_confirmation> object_feed::confirmation() const
{
    if (needs_list()) {
        return std::nullopt;
    }
    return feed_confirmation{.era = era_,
                             .unchanged_since = unchanged_since_,
                             .revision = revision_,
                             .age = steady_now() - last_answer_};
}

void object_feed::receive_confirmation(const feed_confirmation& received)
{
    observe_era(received.era);
    if (received.era != newest_era_ || received.age >= settings_.max_confirmation_age) {
        return;
    }
    const milliseconds confirmed = steady_now() - received.age;
    confirmed_at_ = std::max(confirmed_at_.value_or(confirmed), confirmed);
    reported_revision_ = std::max(reported_revision_, received.revision);
    if (needs_list() || call_in_progress_ == store_call::list) {
        return;
    }
    const bool is_current = revision_ >= received.unchanged_since;
    if (is_current) {
        revision_ = std::max(revision_, received.revision);
    }
    if (call_in_progress_ != store_call::none || !relies_on_others()) {
        return;
    }
    if (failures_ > 0 && is_current) {
        failures_ = 0;
        regained();
        proceed();
    } else if (failures_ == 0 && !is_current && !fetch_scheduled_) {
        schedule_fetch();
    }
}

void object_feed::receive_changes(const shared_changes& received)
{
    observe_era(received.era);
    const bool is_comparable = !needs_list() && received.era == era_;
    if (is_comparable && call_in_progress_ != store_call::list && received.since <= revision_ &&
        received.revision > revision_) {
        revision_ = received.revision;
        unchanged_since_ = received.revision;
        apply(received.changes, received.after_outage || is_after_outage());
    }
    receive_confirmation({.era = received.era,
                          .unchanged_since = received.revision,
                          .revision = received.revision,
                          .age = milliseconds{0}});
}

} // namespace dotterelport::object_store
