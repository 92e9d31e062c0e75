#ifndef DOTTERELPORT_GATEWAY_PEER_EXCHANGE_HPP
#define DOTTERELPORT_GATEWAY_PEER_EXCHANGE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/gateway/peer_link.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/routing/placement.hpp"

namespace dotterelport::gateway {

/// A prompt that a gateway sent to a server.
struct sent_prompt {
    std::string server;
    std::vector<routing::prompt_part> parts;
};

/// Where the requests of one gateway are.
struct load_message {
    std::vector<routing::server_share> shares;
    std::vector<sent_prompt> prompts;
};

json to_json(const load_message& message);

/// @throws json::exception if the document has another form
load_message parse_load_message(const json& document);

struct peer_exchange_settings {
    /// Interval between messages in a small fleet.
    milliseconds interval{50};
    /// The interval grows with the number of gateways, so that the work of one stays bounded.
    milliseconds interval_per_peer{7};
    /// An unchanged message is sent this often, so that others go on believing it.
    milliseconds refresh{200};
    /// Prompts in one message; keeps it below the size that links carry in one piece.
    std::size_t max_prompts = 24;
};

/// Tells other gateways where this one's requests are, and takes in what they tell. Placement is
/// better with it and does without it: messages may be lost, late or never come.
class peer_exchange {
public:
    peer_exchange(net::event_loop& loop, peer_link& link, routing::placement& placement,
                  const peer_exchange_settings& settings = {});
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;

    /// @brief Sets the cache capacity of servers whose prompts others tell.
    void set_cache_capacity(tokens capacity) { cache_capacity_ = capacity; }

    /// @brief Adds a prompt to the next message.
    void note_prompt(const std::string& server, const std::vector<routing::prompt_part>& parts);

private:
    void schedule();
    void tell();
    void receive(const peer_message& message);

    net::event_loop& loop_;
    peer_link& link_;
    routing::placement& placement_;
    peer_exchange_settings settings_;
    /// Sequence of the last message of each peer.
    std::map<std::string, std::uint64_t> last_sequence_;
    std::vector<sent_prompt> prompts_;
    tokens cache_capacity_ = 0;
    milliseconds last_told_{0};
    bool told_empty_ = true;
    net::timer_id timer_ = 0;
};

} // namespace dotterelport::gateway

#endif
