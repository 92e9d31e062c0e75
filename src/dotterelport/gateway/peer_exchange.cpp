#include "dotterelport/gateway/peer_exchange.hpp"

#include <cmath>
#include <utility>

namespace dotterelport::gateway {
namespace {

/// A message whose sequence lags this far behind comes from a new run of the node.
constexpr std::uint64_t reorder_window = 64;

} // namespace

std::string encode(const peer_message& message)
{
    json shares = json::array();
    for (const auto& share : message.shares) {
        shares.push_back({share.server, std::llround(share.unread), std::llround(share.running)});
    }
    json prompts = json::array();
    for (const auto& prompt : message.prompts) {
        json parts = json::array();
        for (const auto& part : prompt.parts) {
            parts.push_back(part.id);
            parts.push_back(part.size);
        }
        prompts.push_back({prompt.server, std::move(parts)});
    }
    const auto bytes = json::to_msgpack(
        json::array({message.node, message.sequence, std::move(shares), std::move(prompts)}));
    return {bytes.begin(), bytes.end()};
}

std::optional<peer_message> decode_peer_message(std::string_view bytes)
{
    try {
        const json document = json::from_msgpack(bytes.begin(), bytes.end());
        peer_message result;
        result.node = document.at(0).get<std::string>();
        result.sequence = document.at(1).get<std::uint64_t>();
        for (const auto& item : document.at(2)) {
            result.shares.push_back({.server = item.at(0).get<std::string>(),
                                     .unread = item.at(1).get<double>(),
                                     .running = item.at(2).get<double>()});
        }
        for (const auto& item : document.at(3)) {
            sent_prompt prompt{.server = item.at(0).get<std::string>(), .parts = {}};
            const json& parts = item.at(1);
            for (std::size_t i = 0; i + 1 < parts.size(); i += 2) {
                prompt.parts.push_back({.id = parts.at(i).get<std::uint64_t>(),
                                        .size = parts.at(i + 1).get<tokens>()});
            }
            result.prompts.push_back(std::move(prompt));
        }
        return result;
    } catch (const json::exception&) {
        // Counted by the caller; a datagram may come from anyone.
        return std::nullopt;
    }
}

peer_exchange::peer_exchange(net::event_loop& loop, const net::endpoint& address, std::string node,
                             routing::placement& placement, const peer_exchange_settings& settings)
    : node_(std::move(node)), placement_(placement), settings_(settings),
      socket_(loop, address, [this](std::string_view datagram) { receive(datagram); }),
      // A new run begins above the numbers of the one before.
      sequence_(static_cast<std::uint64_t>(wall_clock_now().count())),
      timer_(loop, settings.interval, [this] { tell(); })
{}

void peer_exchange::set_peer(const std::string& node, const net::endpoint& address)
{
    if (node != node_ && (peers_.size() < settings_.max_peers || peers_.contains(node))) {
        peers_[node] = address;
    }
}

void peer_exchange::note_prompt(const std::string& server,
                                const std::vector<routing::prompt_part>& parts)
{
    if (!peers_.empty() && !parts.empty() && prompts_.size() < settings_.max_prompts) {
        prompts_.push_back({.server = server, .parts = parts});
    }
}

void peer_exchange::tell()
{
    if (peers_.empty()) {
        return;
    }
    const milliseconds now = steady_now();
    peer_message message{.node = node_,
                         .sequence = 0,
                         .shares = placement_.own_shares(now),
                         .prompts = std::exchange(prompts_, {})};
    const bool is_empty = message.shares.empty() && message.prompts.empty();
    if (is_empty && told_empty_ && now - last_told_ < settings_.refresh) {
        return;
    }
    told_empty_ = is_empty;
    last_told_ = now;
    message.sequence = ++sequence_;
    const std::string bytes = encode(message);
    for (const auto& [node, address] : peers_) {
        socket_.send(address, bytes);
    }
}

void peer_exchange::receive(std::string_view datagram)
{
    const auto message = decode_peer_message(datagram);
    if (!message || message->node == node_) {
        ++rejected_;
        return;
    }
    for (const auto& prompt : message->prompts) {
        placement_.take_peer_prompt(prompt.server, prompt.parts, cache_capacity_);
    }
    std::uint64_t& last = heard_[message->node];
    if (message->sequence < last && last - message->sequence < reorder_window) {
        return;
    }
    last = message->sequence;
    placement_.take_peer_shares(message->node, message->shares, steady_now());
}

json peer_exchange::dump() const
{
    json peers = json::object();
    for (const auto& [node, address] : peers_) {
        const auto heard = heard_.find(node);
        peers[node] = {{"address", net::to_string(address)},
                       {"last_sequence", heard == heard_.end() ? 0 : heard->second}};
    }
    return {{"peers", std::move(peers)}, {"rejected_datagrams", rejected_}};
}

} // namespace dotterelport::gateway
