#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/config/events.hpp"
#include "dotterelport/config/follower_native.hpp"

namespace dotterelport::config {
namespace {

/// A starting process needs every part. Until this time it waits to learn of routers that have
/// them, because a restart of many processes would use up the platform's limit for reads.
constexpr milliseconds router_discovery_time{1'500};

/// Until this time a starting process that is no watcher takes parts from routers only.
constexpr milliseconds start_patience{3'000};

} // namespace

void follower::native::consider(manifest value, const std::optional<net::endpoint>& router,
                                milliseconds confirmed_at)
{
    if (!current && confirmed_at < started) {
        // It may be older than what an earlier run of this process had in force.
        return;
    }
    if (current && value.generation == generation()) {
        confirmed = std::max(confirmed.value_or(confirmed_at), confirmed_at);
    }
    const std::uint64_t known = pending ? pending->value.generation : generation();
    if (value.generation <= known || value.generation == unreadable_generation) {
        return;
    }
    pending = candidate{std::move(value), router, confirmed_at};
    if (!fetching) {
        adopt();
    }
}

void follower::native::adopt()
{
    const bool watcher = is_watcher();
    auto router = pending->router;
    if (!router && (!watcher || !current)) {
        const auto routers = routers_in_order();
        router = routers.empty() ? std::nullopt : std::optional(routers.front());
    }
    const milliseconds running = steady_now() - started;
    if (!router && !current && running < router_discovery_time) {
        return;
    }
    fetching = true;
    if (!router) {
        fetch_from_platform();
        return;
    }
    const bool spare_platform = !watcher && !current && running < start_patience;
    fetch_parts(cache.missing(pending->value), router_source(*router),
                [weak = weak_from_this(), spare_platform,
                 fetched = pending->value.generation](const part_contents& contents) {
                    const auto self = weak.lock();
                    if (!self || !self->keep(contents, fetched)) {
                        return;
                    }
                    if (spare_platform) {
                        self->finish_fetch(fetched);
                    } else {
                        self->fetch_from_platform();
                    }
                });
}

bool follower::native::keep(const part_contents& contents, std::uint64_t fetched_generation)
{
    try {
        cache.add(contents);
        return true;
    } catch (const format_error& failure) {
        log(event_parts_unreadable,
            {{"generation", fetched_generation}, {"reason", failure.what()}});
    }
    fetching = false;
    if (pending->value.generation != fetched_generation) {
        adopt();
    } else {
        unreadable_generation = fetched_generation;
        pending.reset();
    }
    return false;
}

void follower::native::fetch_from_platform()
{
    fetch_parts(cache.missing(pending->value), platform_source(platform),
                [weak = weak_from_this(),
                 fetched = pending->value.generation](const part_contents& contents) {
                    const auto self = weak.lock();
                    if (self && self->keep(contents, fetched)) {
                        self->finish_fetch(fetched);
                    }
                });
}

void follower::native::finish_fetch(std::uint64_t fetched_generation)
{
    fetching = false;
    const auto missing = cache.missing(pending->value);
    if (missing.empty()) {
        put_in_force();
    } else if (pending->value.generation != fetched_generation) {
        // A newer manifest arrived during the fetch.
        adopt();
    } else {
        log(event_parts_delayed, {{"generation", fetched_generation}, {"missing", missing.size()}});
    }
}

void follower::native::put_in_force()
{
    const candidate accepted = *std::exchange(pending, std::nullopt);
    cache.retain(accepted.value);
    current = std::make_shared<snapshot>(accepted.value.generation, cache.build(accepted.value));
    current_manifest = accepted.value;
    in_force_since = steady_now();
    confirmed = accepted.confirmed_at;
    log(event_in_force, {{"generation", generation()}});
    if (on_change) {
        on_change(current);
    }
}

} // namespace dotterelport::config
