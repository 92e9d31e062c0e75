#ifndef DOTTERELPORT_GATEWAY_PEER_LINK_HPP
#define DOTTERELPORT_GATEWAY_PEER_LINK_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/net/datagram_socket.hpp"
#include "dotterelport/net/event_loop.hpp"

namespace dotterelport::gateway {

/// What a message between gateways is about.
enum class peer_message_kind {
    /// Where the sender's requests are.
    load,
    /// Asks for tokens of a workspace.
    reserve,
    /// Answers a reserve message.
    reserved,
    /// Says what a reservation was used for.
    settle,
    /// Confirms a settle message.
    settled,
    /// The sender stops: it owns nothing from now on, but still confirms settlements.
    leaving,
};

/// A message between gateways.
struct peer_message {
    peer_message_kind kind = peer_message_kind::load;
    /// Name of the gateway that sent it.
    std::string node;
    /// Grows with each message of one run of the node.
    std::uint64_t sequence = 0;
    json content;
};

/// @brief Writes a message as MessagePack.
std::string encode(const peer_message& message);

/// @return nothing if the bytes are not a message
std::optional<peer_message> decode_peer_message(std::string_view bytes);

struct peer_link_settings {
    /// Gateways that are known; further ones are left out.
    std::size_t max_peers = 64;
    /// A gateway that was not heard for this long is taken to be out of reach.
    milliseconds silent_after{700};
};

/// Datagrams between gateways, and which of them are in reach. What is sent may be lost.
class peer_link {
public:
    using handler = std::function<void(const peer_message& message)>;

    /// @throws error if the address cannot be bound
    peer_link(net::event_loop& loop, const net::endpoint& address, std::string node,
              const peer_link_settings& settings = {});

    /// @brief Sets the function that takes messages of a kind.
    void on_message(peer_message_kind kind, handler handle);

    /// @brief Sets the address of another gateway.
    void set_peer(const std::string& node, const net::endpoint& address);

    void send(const std::string& node, peer_message_kind kind, json content);
    void broadcast(peer_message_kind kind, json content);

    /// @brief Tells the others that this gateway stops, and stays silent but for answers.
    void leave();
    [[nodiscard]] bool is_leaving() const { return leaving_; }

    /// @brief Gateways that were heard lately and do not stop, without this one.
    [[nodiscard]] std::vector<std::string> live_peers() const;
    [[nodiscard]] bool is_live(const std::string& node) const;
    [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }
    [[nodiscard]] const std::string& node() const { return node_; }
    [[nodiscard]] const net::endpoint& own_address() const { return socket_.address(); }
    [[nodiscard]] json dump() const;

private:
    struct peer {
        net::endpoint address;
        std::optional<milliseconds> heard;
        /// Until its next run says where its requests are.
        bool leaving = false;
    };

    void receive(std::string_view datagram);

    std::string node_;
    peer_link_settings settings_;
    net::datagram_socket socket_;
    std::map<std::string, peer> peers_;
    std::map<peer_message_kind, handler> handlers_;
    std::uint64_t sequence_;
    std::uint64_t rejected_ = 0;
    bool leaving_ = false;
};

} // namespace dotterelport::gateway

#endif
