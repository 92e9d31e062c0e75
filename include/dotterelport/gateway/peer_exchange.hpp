#ifndef DOTTERELPORT_GATEWAY_PEER_EXCHANGE_HPP
#define DOTTERELPORT_GATEWAY_PEER_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/gateway/overload_guard.hpp"
#include "dotterelport/gateway/peer_link.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/routing/placement.hpp"

namespace dotterelport::gateway {

/// A prompt that a gateway sent to a server.
struct sent_prompt {
    std::string server;
    std::vector<routing::prompt_part> parts;
};

/// Servers at which the requests of one gateway are, and the prompts that it sent lately.
struct load_message {
    std::vector<routing::load_share> shares;
    std::vector<sent_prompt> prompts;
    /// Load of the gateway itself; earlier versions do not state it.
    std::optional<gateway_load> own_load;
};

json to_json(const load_message& message);

/// @throws json::exception if the document does not have the form of a load message
load_message parse_load_message(const json& document);

struct peer_exchange_settings {
    /// Interval between messages in a small fleet.
    milliseconds interval{50};
    /// Interval per known gateway: messages are sent less often in a large fleet, so that the work
    /// of one gateway stays bounded.
    milliseconds interval_per_peer{7};
    /// Interval at which an empty message is repeated, so that other gateways do not treat it as
    /// stale.
    milliseconds refresh_interval{200};
    /// Maximum number of prompts in one message; keeps the datagram below the size at which links
    /// fragment it.
    std::size_t max_prompts = 24;
};

/// Broadcasts to other gateways at which servers this gateway's requests are, and passes what they
/// broadcast to the placement. Placement is better with these messages but works without them:
/// messages may be lost or late.
class peer_exchange {
public:
    peer_exchange(net::event_loop& loop, peer_link& link, routing::placement& placement,
                  const peer_exchange_settings& settings = {});
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    /// @brief Sets the cache capacity that is assumed for servers in the prompts that other
    /// gateways report.
    void set_cache_capacity(tokens capacity) { cache_capacity_ = capacity; }

    /// @brief Adds a prompt to the next message.
    void add_prompt(const std::string& server, const std::vector<routing::prompt_part>& parts);

    /// @brief Sets the load of this gateway that the next messages state.
    void set_own_load(const gateway_load& load) { own_load_ = load; }

    /// @brief Sets a function that is called with the load that another gateway states; nothing if
    /// its message states none.
    void on_gateway_load(
        std::function<void(const std::string& node, const std::optional<gateway_load>& load)>
            function)
    {
        on_gateway_load_ = std::move(function);
    }

private:
    void schedule();
    void broadcast_load();
    void receive(const peer_message& message);

    net::event_loop& loop_;
    peer_link& link_;
    routing::placement& placement_;
    peer_exchange_settings settings_;
    /// Sequence of the last message of each peer.
    std::map<std::string, std::uint64_t> last_sequence_;
    std::vector<sent_prompt> prompts_;
    std::optional<gateway_load> own_load_;
    std::function<void(const std::string&, const std::optional<gateway_load>&)> on_gateway_load_;
    tokens cache_capacity_ = 0;
    milliseconds last_broadcast_{0};
    bool last_was_empty_ = true;
    net::timer_id timer_ = 0;
};

} // namespace dotterelport::gateway

#endif
