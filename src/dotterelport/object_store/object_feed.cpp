#include "dotterelport/object_store/object_feed.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/object_store/events.hpp"

namespace dotterelport::object_store {

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
    return steady_now() - last_answer_;
}

bool object_feed::is_after_outage() const
{
    return steady_now() < after_outage_until_;
}

void object_feed::answered()
{
    last_answer_ = steady_now();
    if (std::exchange(failures_, 0) > 0) {
        after_outage_until_ = last_answer_ + settings_.outage_grace;
        log(events::feed_regained, {{"kind", kind_}, {"revision", revision_}});
    }
}

void object_feed::failed(const std::string& call)
{
    if (failures_++ == 0) {
        log(events::feed_lost, {{"kind", kind_}, {"call", call}, {"age_ms", age().count()}});
    }
    constexpr int max_doublings = 8;
    const auto pause =
        std::min(settings_.max_backoff,
                 settings_.initial_backoff * (1 << std::min(failures_ - 1, max_doublings)));
    // The jitter keeps many processes from retrying at the same moment.
    std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
    loop_.cancel(timer_);
    timer_ = loop_.schedule(milliseconds{jitter(random_)}, [this] {
        timer_ = 0;
        if (has_list_) {
            watch();
        } else {
            list({});
        }
    });
}

void object_feed::list(const std::string& after)
{
    if (after.empty()) {
        listed_objects_.clear();
        list_revision_ = 0;
    }
    objects_.list(kind_, after,
                  [this, alive = std::weak_ptr<object_feed*>(alive_)](const list_page& page) {
                      if (!alive.expired()) {
                          listed(page);
                      }
                  });
}

void object_feed::listed(const list_page& page)
{
    if (page.status != feed_status::answered) {
        failed("list");
        return;
    }
    answered();
    // The watch starts at the revision of the first page, so that it also reports changes that were
    // made while the pages were read.
    if (list_revision_ == 0) {
        list_revision_ = page.revision;
    }
    listed_objects_.insert(listed_objects_.end(), page.objects.begin(), page.objects.end());
    if (page.has_more && !page.objects.empty()) {
        list(page.objects.back().name);
        return;
    }
    has_list_ = true;
    revision_ = list_revision_;
    handler_.on_list(std::exchange(listed_objects_, {}), is_after_outage());
    watch();
}

void object_feed::watch()
{
    objects_.watch(kind_, revision_, settings_.max_watch_wait,
                   [this, alive = std::weak_ptr<object_feed*>(alive_)](const change_batch& batch) {
                       if (!alive.expired()) {
                           watched(batch);
                       }
                   });
}

void object_feed::watched(const change_batch& batch)
{
    if (batch.status == feed_status::unavailable) {
        failed("watch");
        return;
    }
    const bool was_lost = failures_ > 0;
    answered();
    if (batch.status == feed_status::history_gone) {
        log(events::feed_history_gone, {{"kind", kind_}, {"revision", revision_}});
        list({});
        return;
    }
    for (const auto& change : batch.changes) {
        handler_.on_change(change, was_lost || is_after_outage());
    }
    revision_ = std::max(revision_, batch.revision);
    if (batch.changes.empty()) {
        watch();
        return;
    }
    loop_.cancel(timer_);
    timer_ = loop_.schedule(settings_.batch_pause, [this] {
        timer_ = 0;
        watch();
    });
}

} // namespace dotterelport::object_store
