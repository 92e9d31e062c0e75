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

/// Kind of a message between gateways.
enum class peer_message_kind {
    /// Reports at which servers the sender's requests are.
    load,
    /// Requests tokens of a workspace.
    reserve,
    /// Answers a reserve message.
    reserved,
    /// Reports the usage of a reservation.
    settle,
    /// Confirms a settle message.
    settled,
    /// The sender is stopping: it owns no shard from now on, but still confirms settlements.
    leaving,
};

/// A message between gateways.
struct peer_message {
    peer_message_kind kind = peer_message_kind::load;
    /// Name of the gateway that sent it.
    std::string node;
    /// Increases with each message of one run of the node.
    std::uint64_t sequence = 0;
    json content;
};

/// @brief Encodes a message as MessagePack.
std::string encode(const peer_message& message);

/// @return nothing if the bytes are not a message
std::optional<peer_message> decode_peer_message(std::string_view bytes);

struct peer_link_settings {
    /// Maximum number of known gateways; further ones are ignored.
    std::size_t max_peers = 64;
    /// A gateway from which nothing was received for this long is considered unreachable.
    milliseconds silent_after{700};
};

/// Exchanges datagrams between gateways and tracks which gateways are reachable. Datagrams may be
/// lost.
class peer_link {
public:
    using handler = std::function<void(const peer_message& message)>;

    /// @throws error if the address cannot be bound
    peer_link(net::event_loop& loop, const net::endpoint& address, std::string node,
              const peer_link_settings& settings = {});

    /// @brief Sets the handler for messages of a kind.
    void on_message(peer_message_kind kind, handler handle);

    /// @brief Sets the address of another gateway.
    void set_peer(const std::string& node, const net::endpoint& address);

    void send(const std::string& node, peer_message_kind kind, json content);
    void broadcast(peer_message_kind kind, json content);

    /// @brief Announces to the other gateways that this one is stopping; load messages are not sent
    /// any more.
    void leave();
    [[nodiscard]] bool is_leaving() const { return leaving_; }

    /// @brief Other gateways from which a message was received recently and that are not stopping.
    [[nodiscard]] std::vector<std::string> live_peers() const;
    [[nodiscard]] bool is_live(const std::string& node) const;
    [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }
    [[nodiscard]] const std::string& node() const { return node_; }
    [[nodiscard]] const net::endpoint& own_address() const { return socket_.address(); }
    [[nodiscard]] json dump() const;

private:
    struct peer {
        net::endpoint address;
        std::optional<milliseconds> last_received;
        /// Set by a leaving message and cleared by the first load message of the node's next run.
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
