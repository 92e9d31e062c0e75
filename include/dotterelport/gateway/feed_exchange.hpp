#ifndef DOTTERELPORT_GATEWAY_FEED_EXCHANGE_HPP
#define DOTTERELPORT_GATEWAY_FEED_EXCHANGE_HPP

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "dotterelport/base/json.hpp"
#include "dotterelport/gateway/peer_link.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/object_store/object_feed.hpp"

namespace dotterelport::gateway {

struct feed_exchange_settings {
    /// Interval at which a watcher confirms up to which revision it knows the objects.
    milliseconds confirm_interval{250};
    /// Number of gateways of a group that watch a kind of objects: one that is cut off from the
    /// store delays no change as long as another one is not.
    std::size_t watchers = 3;
    /// In smaller groups, every gateway watches.
    std::size_t min_group_size = 8;
    /// Larger changes are only announced, and each gateway reads them from the store: datagrams of
    /// many fragments are likely to be lost.
    std::size_t max_message_bytes = 8'000;
};

/// Decides which gateways of a group watch a kind of objects in the store, and passes what they
/// read on to the others, so that the number of calls to the store does not grow with the fleet.
class feed_exchange {
public:
    feed_exchange(net::event_loop& loop, peer_link& link,
                  const feed_exchange_settings& settings = {});

    /// @brief Shares a feed, which must outlive this object's use of the event loop.
    void add(object_store::object_feed& feed);

    /// @brief Returns whether this gateway watches a kind of objects.
    [[nodiscard]] bool is_watcher(const std::string& kind) const;

    /// @brief Role, era, revision and age of each feed, for /dump.
    [[nodiscard]] json dump() const;

private:
    void log_roles();
    void confirm();
    void publish(const std::string& kind, const object_store::shared_changes& changes);
    void receive_state(const peer_message& message);
    void receive_changes(const peer_message& message);

    peer_link& link_;
    feed_exchange_settings settings_;
    std::map<std::string, object_store::object_feed*> feeds_;
    /// Kinds that this gateway watches, as last logged.
    std::set<std::string> watched_kinds_;
    net::periodic_timer timer_;
};

} // namespace dotterelport::gateway

#endif
