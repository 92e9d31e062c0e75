#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/config/events.hpp"
#include "dotterelport/config/follower_impl.hpp"

namespace dotterelport::config {
namespace {

/// Longest time for which a starting process, which needs every part, waits to discover a router
/// that has the parts. Without this wait, a restart of many processes would exhaust the platform's
/// read limit.
constexpr milliseconds router_discovery_time{1'500};

/// Time after its start during which a process that is not a watcher does not fall back to the
/// platform for parts that a router did not deliver.
constexpr milliseconds router_only_time{3'000};

} // namespace

void follower::impl::consider(manifest value, const std::optional<net::endpoint>& router,
                              milliseconds confirmed_at)
{
    if (!current && confirmed_at < start_time) {
        // The manifest may be older than the one that an earlier run of this process had in force.
        return;
    }
    if (current && value.generation == generation()) {
        last_confirmed = std::max(last_confirmed.value_or(confirmed_at), confirmed_at);
    }
    const std::uint64_t known_generation =
        pending ? pending->new_manifest.generation : generation();
    if (value.generation <= known_generation || value.generation == unreadable_generation) {
        return;
    }
    pending = candidate{std::move(value), router, confirmed_at};
    if (!fetching) {
        adopt();
    }
}

void follower::impl::adopt()
{
    const bool watcher = is_watcher();
    auto router = pending->router;
    if (!router && (!watcher || !current)) {
        const auto routers = routers_in_order();
        router = routers.empty() ? std::nullopt : std::optional(routers.front());
    }
    const milliseconds uptime = steady_now() - start_time;
    if (!router && !current && uptime < router_discovery_time) {
        return;
    }
    fetching = true;
    if (!router) {
        fetch_from_platform();
        return;
    }
    const bool skip_platform = !watcher && !current && uptime < router_only_time;
    fetch_parts(cache.missing(pending->new_manifest), router_source(*router),
                [weak = weak_from_this(), skip_platform,
                 fetched = pending->new_manifest.generation](const part_contents& contents) {
                    const auto self = weak.lock();
                    if (!self || !self->cache_contents(contents, fetched)) {
                        return;
                    }
                    if (skip_platform) {
                        self->finish_fetch(fetched);
                    } else {
                        self->fetch_from_platform();
                    }
                });
}

bool follower::impl::cache_contents(const part_contents& contents, std::uint64_t fetched_generation)
{
    try {
        cache.add(contents);
        return true;
    } catch (const format_error& failure) {
        log(event_parts_unreadable,
            {{"generation", fetched_generation}, {"reason", failure.what()}});
    }
    fetching = false;
    if (pending->new_manifest.generation != fetched_generation) {
        adopt();
    } else {
        unreadable_generation = fetched_generation;
        pending.reset();
    }
    return false;
}

void follower::impl::fetch_from_platform()
{
    fetch_parts(cache.missing(pending->new_manifest), platform_source(platform),
                [weak = weak_from_this(),
                 fetched = pending->new_manifest.generation](const part_contents& contents) {
                    const auto self = weak.lock();
                    if (self && self->cache_contents(contents, fetched)) {
                        self->finish_fetch(fetched);
                    }
                });
}

void follower::impl::finish_fetch(std::uint64_t fetched_generation)
{
    fetching = false;
    const auto missing = cache.missing(pending->new_manifest);
    if (missing.empty()) {
        put_in_force();
    } else if (pending->new_manifest.generation != fetched_generation) {
        // A newer manifest arrived during the fetch.
        adopt();
    } else {
        log(event_parts_delayed, {{"generation", fetched_generation}, {"missing", missing.size()}});
    }
}

void follower::impl::put_in_force()
{
    const candidate accepted = *std::exchange(pending, std::nullopt);
    cache.retain(accepted.new_manifest);
    current = std::make_shared<snapshot>(accepted.new_manifest.generation,
                                         cache.build(accepted.new_manifest));
    current_manifest = accepted.new_manifest;
    in_force_since = steady_now();
    last_confirmed = accepted.confirmed_at;
    log(event_in_force, {{"generation", generation()}});
    if (on_change) {
        on_change(current);
    }
}

} // namespace dotterelport::config
