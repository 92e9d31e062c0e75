#include "dotterelport/gateway/peer_link.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/json_reader.hpp"
#include "dotterelport/gateway/peer_group.hpp"

namespace dotterelport::gateway {
namespace {

constexpr int highest_kind = static_cast<int>(peer_message_kind::store_returned);

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
        json document = parse_msgpack(bytes, "message of a gateway");
        const int kind = document.at(0).get<int>();
        if (kind < 0 || kind > highest_kind) {
            return std::nullopt;
        }
        return peer_message{.kind = static_cast<peer_message_kind>(kind),
                            .node = document.at(1).get<std::string>(),
                            .sequence = document.at(2).get<std::uint64_t>(),
                            .content = std::move(document.at(3))};
    } catch (const format_error&) {
        return std::nullopt;
    } catch (const json::exception&) {
        // Any sender may reach the port, so a malformed datagram is no error here; the caller
        // counts it.
        return std::nullopt;
    }
}

json to_json(const peer_description& value)
{
    return {{"peers", net::to_string(value.address)},
            {"failure_domain", value.failure_domain},
            {"weight", value.weight}};
}

peer_description parse_peer_description(const std::string& node, const json& document)
{
    peer_description result{.node = node,
                            .address =
                                net::parse_remote_endpoint(document.at("peers").get<std::string>()),
                            .failure_domain = document.value("failure_domain", "")};
    result.weight = document.value("weight", result.weight);
    if (!(result.weight > 0)) {
        throw format_error("gateway " + node, "/weight", "must be positive");
    }
    return result;
}

peer_link::peer_link(net::event_loop& loop, const peer_description& self,
                     const peer_link_settings& settings)
    : self_(self), settings_(settings),
      socket_(loop, self.address, [this](std::string_view datagram) { receive(datagram); }),
      // A new run starts above the sequence numbers of the previous run.
      sequence_(static_cast<std::uint64_t>(wall_clock_now().count()))
{
    ranking_.set(self_.node, self_.weight);
}

void peer_link::on_message(peer_message_kind kind, handler handle)
{
    handlers_[kind] = std::move(handle);
}

void peer_link::set_peer(const peer_description& description)
{
    if (description.node == self_.node) {
        return;
    }
    peers_[description.node].description = description;
    ranking_.set(description.node, description.weight);
    group_.reset();
}

const std::set<std::string>& peer_link::group() const
{
    if (!group_) {
        std::map<std::string, std::string> domains{{self_.node, self_.failure_domain}};
        for (const auto& [node, peer] : peers_) {
            domains[node] = peer.description.failure_domain;
        }
        group_ = peer_group(self_.node, domains, settings_.max_group_size);
    }
    return *group_;
}

void peer_link::send(const std::string& node, peer_message_kind kind, json content)
{
    const auto found = peers_.find(node);
    if (found != peers_.end()) {
        socket_.send(found->second.description.address, encode({.kind = kind,
                                                                .node = self_.node,
                                                                .sequence = ++sequence_,
                                                                .content = std::move(content)}));
    }
}

void peer_link::broadcast(peer_message_kind kind, const json& content)
{
    const std::string bytes =
        encode({.kind = kind, .node = self_.node, .sequence = ++sequence_, .content = content});
    for (const auto& node : group()) {
        socket_.send(peers_.at(node).description.address, bytes);
    }
}

void peer_link::announce(peer_message_kind kind, const json& content)
{
    const std::string bytes =
        encode({.kind = kind, .node = self_.node, .sequence = ++sequence_, .content = content});
    for (const auto& [node, peer] : peers_) {
        socket_.send(peer.description.address, bytes);
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
    sender->second.silences = 0;
    sender->second.suspected_until = milliseconds{0};
    if (message->kind == peer_message_kind::leaving) {
        sender->second.leaving_until = steady_now() + settings_.leaving_time;
    } else if (message->kind == peer_message_kind::load) {
        sender->second.leaving_until = milliseconds{0};
    }
    const auto handle = handlers_.find(message->kind);
    if (handle == handlers_.end()) {
        return;
    }
    try {
        handle->second(*message);
    } catch (const json::exception&) {
        ++rejected_;
    } catch (const format_error&) {
        ++rejected_;
    }
}

void peer_link::leave()
{
    // Sent more than once because a datagram may be lost; a gateway that learns of the stop late
    // sends a reserve message to the wrong owner.
    constexpr int copies = 2;
    for (int i = 0; i < copies; ++i) {
        announce(peer_message_kind::leaving, json::array());
    }
    leaving_ = true;
}

std::vector<std::string> peer_link::live_peers() const
{
    std::vector<std::string> result;
    std::copy_if(group().begin(), group().end(), std::back_inserter(result),
                 [this](const std::string& node) { return is_live(node); });
    return result;
}

std::vector<std::string> peer_link::nodes() const
{
    std::vector<std::string> result{self_.node};
    for (const auto& [node, peer] : peers_) {
        result.push_back(node);
    }
    return result;
}

bool peer_link::has_larger_peer() const
{
    return std::any_of(peers_.begin(), peers_.end(), [this](const auto& item) {
        return item.second.description.weight > self_.weight;
    });
}

bool peer_link::is_live(const std::string& node) const
{
    const auto found = peers_.find(node);
    return found != peers_.end() && steady_now() >= found->second.leaving_until &&
           received_within(found->second.last_received, settings_.silent_after);
}

bool peer_link::is_available(const std::string& node) const
{
    if (node == self_.node) {
        return !leaving_;
    }
    if (group().contains(node)) {
        return is_live(node);
    }
    const auto& peer = peers_.at(node);
    return steady_now() >= std::max(peer.leaving_until, peer.suspected_until);
}

std::string peer_link::owner(std::uint32_t shard) const
{
    const std::string found = ranking_.owner(
        shard, owner_candidates(), [this](const std::string& node) { return is_available(node); });
    return found.empty() ? self_.node : found;
}

std::vector<std::string> peer_link::standbys(std::uint32_t shard, std::size_t count) const
{
    std::vector<std::string> result;
    while (result.size() < count) {
        std::string next = ranking_.owner(shard, owner_candidates(), [&](const std::string& node) {
            return node != self_.node && is_available(node) &&
                   std::find(result.begin(), result.end(), node) == result.end();
        });
        if (next.empty()) {
            break;
        }
        result.push_back(std::move(next));
    }
    return result;
}

bool peer_link::is_owner_or_standby(std::uint32_t shard, std::size_t standby_count) const
{
    std::set<std::string> ahead;
    while (ahead.size() <= standby_count) {
        const std::string next =
            ranking_.owner(shard, owner_candidates(), [&](const std::string& node) {
                return !ahead.contains(node) &&
                       (node == self_.node || is_available(node) || is_briefly_absent(node));
            });
        if (next == self_.node || next.empty()) {
            return next == self_.node;
        }
        ahead.insert(next);
    }
    return false;
}

bool peer_link::is_briefly_absent(const std::string& node) const
{
    const auto& peer = peers_.at(node);
    // A stopping gateway gets no copies any more, and its successors do.
    return steady_now() >= peer.leaving_until &&
           received_within(peer.last_received, settings_.absent_after);
}

bool peer_link::hears_most() const
{
    const milliseconds now = steady_now();
    const auto count_heard_within = [&](milliseconds limit) {
        return std::count_if(group().begin(), group().end(), [&](const std::string& node) {
            const auto& peer = peers_.at(node);
            // Stopping gateways send no load messages.
            return now >= peer.leaving_until && received_within(peer.last_received, limit);
        });
    };
    return 2 * count_heard_within(settings_.silent_after) >=
           count_heard_within(settings_.contact_memory);
}

std::size_t peer_link::owner_candidates() const
{
    const bool is_one_group = group().size() == peers_.size();
    return is_one_group ? peers_.size() + 1 : settings_.max_owner_candidates;
}

void peer_link::mark_silent(const std::string& node)
{
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        return;
    }
    constexpr int max_doublings = 6;
    auto& peer = found->second;
    const milliseconds suspicion =
        settings_.first_suspicion * (1 << std::min(peer.silences, max_doublings));
    ++peer.silences;
    peer.suspected_until = steady_now() + std::min(suspicion, settings_.max_suspicion);
}

json peer_link::dump() const
{
    json peers = json::object();
    for (const auto& [node, peer] : peers_) {
        peers[node] = {{"address", net::to_string(peer.description.address)},
                       {"in_group", group().contains(node)},
                       {"heard_ms_ago", peer.last_received
                                            ? json((steady_now() - *peer.last_received).count())
                                            : json()}};
    }
    return {{"peers", std::move(peers)}, {"rejected_datagrams", rejected_}};
}

} // namespace dotterelport::gateway
