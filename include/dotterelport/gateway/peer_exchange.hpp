#ifndef DOTTERELPORT_GATEWAY_PEER_EXCHANGE_HPP
#define DOTTERELPORT_GATEWAY_PEER_EXCHANGE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/net/datagram_socket.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/routing/placement.hpp"

namespace dotterelport::gateway {

/// A prompt that a gateway sent to a server.
struct sent_prompt {
    std::string server;
    std::vector<routing::prompt_part> parts;
};

/// What one gateway tells the others.
struct peer_message {
    std::string node;
    /// Grows with each message of one run of the node.
    std::uint64_t sequence = 0;
    std::vector<routing::server_share> shares;
    std::vector<sent_prompt> prompts;
};

/// @brief Writes a message as MessagePack.
std::string encode(const peer_message& message);

/// @return nothing if the bytes are not a message
std::optional<peer_message> decode_peer_message(std::string_view bytes);

struct peer_exchange_settings {
    /// Interval between messages.
    milliseconds interval{50};
    /// An unchanged message is sent this often, so that others go on believing it.
    milliseconds refresh{200};
    /// Gateways that are told.
    std::size_t max_peers = 32;
    /// Prompts in one message; keeps it below the size that links carry in one piece.
    std::size_t max_prompts = 24;
};

/// Tells other gateways where this one's requests are, and takes in what they tell. Placement is
/// better with it and does without it: messages may be lost, late or never come.
class peer_exchange {
public:
    /// @throws error if the address cannot be bound
    peer_exchange(net::event_loop& loop, const net::endpoint& address, std::string node,
                  routing::placement& placement, const peer_exchange_settings& settings = {});

    /// @brief Sets the address of another gateway.
    void set_peer(const std::string& node, const net::endpoint& address);

    /// @brief Sets the cache capacity of servers whose prompts others tell.
    void set_cache_capacity(tokens capacity) { cache_capacity_ = capacity; }

    /// @brief Adds a prompt to the next message.
    void note_prompt(const std::string& server, const std::vector<routing::prompt_part>& parts);

    [[nodiscard]] json dump() const;

private:
    void tell();
    void receive(std::string_view datagram);

    std::string node_;
    routing::placement& placement_;
    peer_exchange_settings settings_;
    net::datagram_socket socket_;
    std::map<std::string, net::endpoint> peers_;
    /// Sequence of the last message of each peer.
    std::map<std::string, std::uint64_t> heard_;
    std::vector<sent_prompt> prompts_;
    tokens cache_capacity_ = 0;
    std::uint64_t sequence_;
    std::uint64_t rejected_ = 0;
    milliseconds last_told_{0};
    bool told_empty_ = true;
    net::periodic_timer timer_;
};

} // namespace dotterelport::gateway

#endif
