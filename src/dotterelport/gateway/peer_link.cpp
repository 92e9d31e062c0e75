#include "dotterelport/gateway/peer_link.hpp"

#include <utility>

namespace dotterelport::gateway {
namespace {

constexpr int highest_kind = static_cast<int>(peer_message_kind::leaving);

bool received_within(const std::optional<milliseconds>& last_received, milliseconds limit)
{
    return last_received && steady_now() - *last_received <= limit;
}

} // namespace

std::string encode(const peer_message& message)
{
    const auto bytes = json::to_msgpack(json::array(
        {static_cast<int>(message.kind), message.node, message.sequence, message.content}));
    return {bytes.begin(), bytes.end()};
}

std::optional<peer_message> decode_peer_message(std::string_view bytes)
{
    try {
        json document = json::from_msgpack(bytes.begin(), bytes.end());
        const int kind = document.at(0).get<int>();
        if (kind < 0 || kind > highest_kind) {
            return std::nullopt;
        }
        return peer_message{.kind = static_cast<peer_message_kind>(kind),
                            .node = document.at(1).get<std::string>(),
                            .sequence = document.at(2).get<std::uint64_t>(),
                            .content = std::move(document.at(3))};
    } catch (const json::exception&) {
        // Any sender may reach the port, so a malformed datagram is no error here; the caller
        // counts it.
        return std::nullopt;
    }
}

peer_link::peer_link(net::event_loop& loop, const net::endpoint& address, std::string node,
                     const peer_link_settings& settings)
    : node_(std::move(node)), settings_(settings),
      socket_(loop, address, [this](std::string_view datagram) { receive(datagram); }),
      // A new run starts above the sequence numbers of the previous run.
      sequence_(static_cast<std::uint64_t>(wall_clock_now().count()))
{}

void peer_link::on_message(peer_message_kind kind, handler handle)
{
    handlers_[kind] = std::move(handle);
}

void peer_link::set_peer(const std::string& node, const net::endpoint& address)
{
    if (node != node_ && (peers_.size() < settings_.max_peers || peers_.contains(node))) {
        peers_[node].address = address;
    }
}

void peer_link::send(const std::string& node, peer_message_kind kind, json content)
{
    const auto found = peers_.find(node);
    if (found != peers_.end()) {
        socket_.send(found->second.address, encode({.kind = kind,
                                                    .node = node_,
                                                    .sequence = ++sequence_,
                                                    .content = std::move(content)}));
    }
}

void peer_link::broadcast(peer_message_kind kind, json content)
{
    const std::string bytes = encode(
        {.kind = kind, .node = node_, .sequence = ++sequence_, .content = std::move(content)});
    for (const auto& [node, peer] : peers_) {
        socket_.send(peer.address, bytes);
    }
}

void peer_link::receive(std::string_view datagram)
{
    const auto message = decode_peer_message(datagram);
    const auto sender = message ? peers_.find(message->node) : peers_.end();
    if (sender == peers_.end()) {
        ++rejected_;
        return;
    }
    sender->second.last_received = steady_now();
    if (message->kind == peer_message_kind::leaving) {
        sender->second.leaving = true;
    } else if (message->kind == peer_message_kind::load) {
        sender->second.leaving = false;
    }
    const auto handle = handlers_.find(message->kind);
    if (handle == handlers_.end()) {
        return;
    }
    try {
        handle->second(*message);
    } catch (const json::exception&) {
        ++rejected_;
    }
}

void peer_link::leave()
{
    // Sent more than once because a datagram may be lost; a gateway that learns of the stop late
    // sends a reserve message to the wrong owner.
    constexpr int copies = 2;
    for (int i = 0; i < copies; ++i) {
        broadcast(peer_message_kind::leaving, json::array());
    }
    leaving_ = true;
}

std::vector<std::string> peer_link::live_peers() const
{
    std::vector<std::string> result;
    for (const auto& [node, peer] : peers_) {
        if (!peer.leaving && received_within(peer.last_received, settings_.silent_after)) {
            result.push_back(node);
        }
    }
    return result;
}

bool peer_link::is_live(const std::string& node) const
{
    const auto found = peers_.find(node);
    return found != peers_.end() && !found->second.leaving &&
           received_within(found->second.last_received, settings_.silent_after);
}

json peer_link::dump() const
{
    json peers = json::object();
    for (const auto& [node, peer] : peers_) {
        peers[node] = {{"address", net::to_string(peer.address)},
                       {"heard_ms_ago", peer.last_received
                                            ? json((steady_now() - *peer.last_received).count())
                                            : json()}};
    }
    return {{"peers", std::move(peers)}, {"rejected_datagrams", rejected_}};
}

} // namespace dotterelport::gateway
