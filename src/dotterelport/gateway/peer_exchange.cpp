#include "dotterelport/gateway/peer_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterelport::gateway {
namespace {

/// A message whose sequence number is lower than the last one by at least this much comes from a
/// new run of the node.
constexpr std::uint64_t reorder_window = 64;

} // namespace

json to_json(const load_message& message)
{
    json shares = json::array();
    for (const auto& share : message.shares) {
        shares.push_back({share.server, std::llround(share.pending_prefill_tokens),
                          std::llround(share.running), std::llround(share.held_tokens)});
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
    json result = json::array({std::move(shares), std::move(prompts)});
    if (message.own_load) {
        result.push_back(to_json(*message.own_load));
    }
    return result;
}

load_message parse_load_message(const json& document)
{
    load_message result;
    for (const auto& item : document.at(0)) {
        result.shares.push_back({.server = item.at(0).get<std::string>(),
                                 .pending_prefill_tokens = item.at(1).get<double>(),
                                 .running = item.at(2).get<double>(),
                                 // Absent in messages of gateways of earlier releases.
                                 .held_tokens = item.size() > 3 ? item.at(3).get<double>() : 0});
    }
    for (const auto& item : document.at(1)) {
        sent_prompt prompt{.server = item.at(0).get<std::string>(), .parts = {}};
        const json& parts = item.at(1);
        for (std::size_t i = 0; i + 1 < parts.size(); i += 2) {
            prompt.parts.push_back(
                {.id = parts.at(i).get<std::uint64_t>(), .size = parts.at(i + 1).get<tokens>()});
        }
        result.prompts.push_back(std::move(prompt));
    }
    constexpr std::size_t own_load_index = 2;
    if (document.size() > own_load_index) {
        result.own_load = parse_gateway_load(document.at(own_load_index));
    }
    return result;
}

peer_exchange::peer_exchange(net::event_loop& loop, peer_link& link, routing::placement& placement,
                             const peer_exchange_settings& settings)
    : loop_(loop), link_(link), placement_(placement), settings_(settings)
{
    link_.on_message(peer_message_kind::load,
                     [this](const peer_message& message) { receive(message); });
    schedule();
}

peer_exchange::~peer_exchange()
{
    loop_.cancel(timer_);
}

void peer_exchange::schedule()
{
    const auto peers = static_cast<int>(link_.group_size());
    timer_ =
        loop_.schedule(std::max(settings_.interval, settings_.interval_per_peer * peers), [this] {
            schedule();
            broadcast_load();
        });
}

void peer_exchange::add_prompt(const std::string& server,
                               const std::vector<routing::prompt_part>& parts)
{
    if (link_.group_size() > 0 && !parts.empty() && prompts_.size() < settings_.max_prompts) {
        prompts_.push_back({.server = server, .parts = parts});
    }
}

void peer_exchange::broadcast_load()
{
    if (link_.is_leaving()) {
        return;
    }
    const milliseconds now = steady_now();
    load_message message{.shares = placement_.own_load_shares(now),
                         .prompts = std::exchange(prompts_, {}),
                         .own_load = own_load_};
    const bool is_empty = message.shares.empty() && message.prompts.empty();
    if (is_empty && last_was_empty_ && now - last_broadcast_ < settings_.refresh_interval) {
        return;
    }
    last_was_empty_ = is_empty;
    last_broadcast_ = now;
    link_.broadcast(peer_message_kind::load, to_json(message));
}

void peer_exchange::receive(const peer_message& message)
{
    const load_message load = parse_load_message(message.content);
    for (const auto& prompt : load.prompts) {
        placement_.record_peer_prompt(prompt.server, prompt.parts, cache_capacity_, steady_now());
    }
    std::uint64_t& last_sequence = last_sequence_[message.node];
    if (message.sequence < last_sequence && last_sequence - message.sequence < reorder_window) {
        return;
    }
    last_sequence = message.sequence;
    placement_.record_peer_load_shares(message.node, load.shares, steady_now());
    if (on_gateway_load_) {
        on_gateway_load_(message.node, load.own_load);
    }
}

} // namespace dotterelport::gateway
