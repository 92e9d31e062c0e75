#include "dotterelport/gateway/feed_exchange.hpp"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/hash.hpp"
#include "dotterelport/base/json_reader.hpp"
#include "dotterelport/gateway/events.hpp"

namespace dotterelport::gateway {
namespace {

json to_json(const std::string& kind, const object_store::feed_confirmation& confirmation)
{
    return json::array({kind, confirmation.unchanged_since, confirmation.revision,
                        confirmation.age.count(), confirmation.era});
}

/// @brief Value of an object in a message; null if another writer has left it unreadable.
json to_value(const object_store::typed_object& object)
{
    try {
        return parse_json(object.value, object.name);
    } catch (const format_error&) {
        // Each gateway that receives the change logs that the object is unreadable.
        return {};
    }
}

json to_json(const std::string& kind, const object_store::shared_changes& changes)
{
    json items = json::array();
    for (const auto& change : changes.changes) {
        items.push_back({change.object.name, change.object.object_version, change.removed,
                         to_value(change.object)});
    }
    return json::array({kind, changes.since, changes.revision, changes.after_outage,
                        std::move(items), changes.era});
}

/// @brief Reads the era of a message; 0, which is earlier than any that the store states, if the
/// sender's version does not know eras.
object_store::store_era parse_era(const json& message, std::size_t position)
{
    return message.size() > position ? message.at(position).get<object_store::store_era>() : 0;
}

object_store::feed_confirmation parse_confirmation(const json& item)
{
    return {.era = parse_era(item, 4),
            .unchanged_since = item.at(1).get<object_store::version>(),
            .revision = item.at(2).get<object_store::version>(),
            .age = std::max(milliseconds{0}, milliseconds{item.at(3).get<std::int64_t>()})};
}

/// @brief Size of a message about changes, without the other fields of the objects.
std::size_t value_bytes(const object_store::shared_changes& changes)
{
    return std::accumulate(
        changes.changes.begin(), changes.changes.end(), std::size_t{0},
        [](std::size_t sum, const auto& change) { return sum + change.object.value.size(); });
}

object_store::shared_changes parse_changes(const json& document)
{
    object_store::shared_changes result{.era = parse_era(document, 5),
                                        .since = document.at(1).get<object_store::version>(),
                                        .revision = document.at(2).get<object_store::version>(),
                                        .after_outage = document.at(3).get<bool>(),
                                        .changes = {}};
    for (const auto& item : document.at(4)) {
        result.changes.push_back(
            {.object = {.name = item.at(0).get<std::string>(),
                        .object_version = item.at(1).get<object_store::version>(),
                        .value = item.at(3).dump()},
             .removed = item.at(2).get<bool>()});
    }
    return result;
}

} // namespace

feed_exchange::feed_exchange(net::event_loop& loop, peer_link& link,
                             const feed_exchange_settings& settings)
    : link_(link), settings_(settings),
      timer_(loop, settings.confirm_interval, [this] { confirm(); })
{
    link_.on_message(peer_message_kind::feed_state,
                     [this](const peer_message& message) { receive_state(message); });
    link_.on_message(peer_message_kind::feed_changes,
                     [this](const peer_message& message) { receive_changes(message); });
}

void feed_exchange::add(object_store::object_feed& feed)
{
    feeds_[feed.kind()] = &feed;
    feed.share([this, kind = feed.kind()] { return is_watcher(kind); },
               [this, kind = feed.kind()](const object_store::shared_changes& changes) {
                   publish(kind, changes);
               });
}

bool feed_exchange::is_watcher(const std::string& kind) const
{
    const auto live = link_.live_peers();
    if (live.size() + 1 < settings_.min_group_size || link_.is_leaving()) {
        return true;
    }
    const std::uint64_t seed = hash64(kind);
    const std::uint64_t own_rank = hash64(link_.node(), seed);
    const auto higher = std::count_if(live.begin(), live.end(), [&](const std::string& node) {
        return hash64(node, seed) > own_rank;
    });
    return static_cast<std::size_t>(higher) < settings_.watchers;
}

void feed_exchange::log_roles()
{
    for (const auto& [kind, feed] : feeds_) {
        const bool watches = is_watcher(kind);
        if (watches != watched_kinds_.contains(kind)) {
            log(events::feed_role_changed, {{"kind", kind},
                                            {"watches", watches},
                                            {"live_gateways", link_.live_peers().size() + 1}});
            if (watches) {
                watched_kinds_.insert(kind);
            } else {
                watched_kinds_.erase(kind);
            }
        }
    }
}

json feed_exchange::dump() const
{
    json result = json::object();
    for (const auto& [kind, feed] : feeds_) {
        const auto confirmation = feed->confirmation();
        result[kind] = {{"watches", is_watcher(kind)},
                        {"era", feed->era()},
                        {"revision", confirmation ? json(confirmation->revision) : json()},
                        {"confirmed_ms_ago", feed->age().count()}};
    }
    return result;
}

void feed_exchange::confirm()
{
    log_roles();
    if (link_.is_leaving() || link_.group_size() + 1 < settings_.min_group_size) {
        return;
    }
    json states = json::array();
    for (const auto& [kind, feed] : feeds_) {
        const auto confirmation = feed->confirmation();
        if (confirmation && is_watcher(kind)) {
            states.push_back(to_json(kind, *confirmation));
        }
    }
    if (!states.empty()) {
        link_.broadcast(peer_message_kind::feed_state, states);
    }
}

void feed_exchange::publish(const std::string& kind, const object_store::shared_changes& changes)
{
    if (link_.is_leaving() || link_.group_size() + 1 < settings_.min_group_size ||
        !is_watcher(kind)) {
        return;
    }
    if (value_bytes(changes) <= settings_.max_message_bytes) {
        const json content = to_json(kind, changes);
        if (json::to_msgpack(content).size() <= settings_.max_message_bytes) {
            link_.broadcast(peer_message_kind::feed_changes, content);
            return;
        }
    }
    link_.broadcast(peer_message_kind::feed_state,
                    json::array({to_json(kind, {.era = changes.era,
                                                .unchanged_since = changes.revision,
                                                .revision = changes.revision,
                                                .age = milliseconds{0}})}));
}

void feed_exchange::receive_state(const peer_message& message)
{
    for (const auto& item : message.content) {
        const auto feed = feeds_.find(item.at(0).get<std::string>());
        if (feed != feeds_.end()) {
            feed->second->receive_confirmation(parse_confirmation(item));
        }
    }
}

void feed_exchange::receive_changes(const peer_message& message)
{
    const auto feed = feeds_.find(message.content.at(0).get<std::string>());
    if (feed != feeds_.end()) {
        feed->second->receive_changes(parse_changes(message.content));
    }
}

} // namespace dotterelport::gateway
