#include "dotterelport/config/follower.hpp"

#include "dotterelport/base/error.hpp"
#include "dotterelport/config/events.hpp"
#include "dotterelport/config/follower_impl.hpp"

namespace dotterelport::config {
namespace {

constexpr milliseconds poll_interval{1'000};

/// A longer timeout would delay the detection of a dead connection to the platform.
constexpr milliseconds watch_timeout{1'000};

/// Age of the last confirmation after which a watcher also polls routers, and polls also read the
/// platform.
constexpr milliseconds max_fresh_age{3'000};

constexpr milliseconds warning_interval{10'000};

} // namespace

std::optional<milliseconds> follower::impl::confirmation_age() const
{
    return current && last_confirmed ? std::optional(steady_now() - *last_confirmed) : std::nullopt;
}

bool follower::impl::is_fresh() const
{
    const auto current_age = confirmation_age();
    return current_age && *current_age <= max_fresh_age;
}

bool follower::impl::is_watcher() const
{
    return settings.is_watcher && settings.is_watcher();
}

void follower::impl::tick()
{
    const bool watcher = is_watcher();
    if (watcher && !watching) {
        watch();
    }
    if (pending && !fetching) {
        adopt();
    }
    if (!current) {
        read_platform();
        if (steady_now() - last_warning >= warning_interval) {
            last_warning = steady_now();
            log(event_not_confirmed);
        }
    }
    if (!watcher || !is_fresh()) {
        poll();
    }
}

void follower::impl::watch()
{
    watching = true;
    platform.watch(manifest_key, watched_revision, watch_timeout,
                   [weak = weak_from_this(), asked_at = steady_now()](const auto& changes) {
                       if (const auto self = weak.lock()) {
                           self->handle_changes(changes, asked_at);
                       }
                   });
}

void follower::impl::handle_changes(const object_store::listing& changes, milliseconds asked_at)
{
    watching = false;
    if (!changes.available) {
        return;
    }
    watched_revision = changes.revision;
    for (const auto& item : changes.objects) {
        if (item.key == manifest_key) {
            watched_generation = handle_manifest_text(item.value, asked_at);
        }
    }
    if (current && watched_generation == generation()) {
        last_confirmed = asked_at;
    }
    if (is_watcher()) {
        watch();
    }
}

void follower::impl::read_platform()
{
    if (reading) {
        return;
    }
    reading = true;
    platform.read(manifest_key,
                  [weak = weak_from_this(), asked_at = steady_now()](const auto& result) {
                      const auto self = weak.lock();
                      if (!self) {
                          return;
                      }
                      self->reading = false;
                      if (result.status == object_store::read_status::found) {
                          self->reported_generation = 0;
                          self->handle_manifest_text(result.value.value, asked_at);
                      }
                  });
}

std::uint64_t follower::impl::handle_manifest_text(const std::string& text,
                                                   milliseconds confirmed_at)
{
    try {
        manifest value = parse_manifest(text, manifest_key);
        const std::uint64_t found = value.generation;
        consider(std::move(value), std::nullopt, confirmed_at);
        return found;
    } catch (const format_error& failure) {
        log(event_manifest_unreadable, {{"reason", failure.what()}});
        return 0;
    }
}

follower::follower(net::event_loop& loop, object_store::client& platform, net::rpc_client& rpc,
                   options settings)
    : impl_(std::make_shared<impl>(loop, platform, rpc, std::move(settings)))
{}

follower::~follower() = default;

void follower::start(std::function<void(const snapshot_ptr&)> on_change)
{
    impl_->on_change = std::move(on_change);
    impl_->start_time = steady_now();
    impl_->timer = std::make_unique<net::periodic_timer>(impl_->loop, poll_interval,
                                                         [state = impl_.get()] { state->tick(); });
    impl_->loop.post([weak = impl_->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
}

snapshot_ptr follower::current() const
{
    return impl_->current;
}

milliseconds follower::in_force_for() const
{
    return steady_now() - impl_->in_force_since;
}

std::string follower::not_ready_reason() const
{
    if (impl_->current) {
        return "";
    }
    return "no configuration is confirmed: since the start of this process, neither the platform "
           "nor a router has confirmed the current generation";
}

void follower::report_generation(std::uint64_t generation)
{
    if (generation <= impl_->generation() || generation <= impl_->reported_generation) {
        return;
    }
    impl_->reported_generation = generation;
    impl_->loop.post([weak = impl_->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->poll();
        }
    });
}

void follower::serve(net::rpc_server& server)
{
    const auto add = [&](const std::string& name, json (impl::*function)(const json&) const) {
        server.add(name, [weak = impl_->weak_from_this(), function](const json& parameters) {
            const auto self = weak.lock();
            if (!self) {
                throw net::rpc_error("stopped");
            }
            return ((*self).*function)(parameters);
        });
    };
    add("config_manifest", &impl::answer_manifest);
    add("config_part", &impl::answer_part);
}

json follower::dump() const
{
    const auto last_age = impl_->confirmation_age();
    return {{"generation", impl_->generation()},
            {"in_force_ms", impl_->current ? in_force_for().count() : 0},
            {"confirmed_ms_ago", last_age ? json(last_age->count()) : json()},
            {"watching", impl_->watching},
            {"fetching", impl_->fetching}};
}

} // namespace dotterelport::config
