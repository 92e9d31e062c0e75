#include "dotterelport/object_store/store_paths.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dotterelport/object_store/events.hpp"

namespace dotterelport::object_store {

store_paths::store_paths(const net::endpoint& store, std::string failure_domain,
                         const path_settings& settings)
    : store_(store), failure_domain_(std::move(failure_domain)), settings_(settings)
{}

void store_paths::set_relays(const std::vector<relay_address>& relays)
{
    relays_ = relays;
    std::stable_partition(relays_.begin(), relays_.end(), [this](const relay_address& relay) {
        return relay.failure_domain == failure_domain_;
    });
    std::erase_if(states_, [this](const auto& item) {
        return item.first != store_ &&
               std::none_of(relays_.begin(), relays_.end(), [&item](const relay_address& relay) {
                   return relay.address == item.first;
               });
    });
}

const store_paths::path_state& store_paths::state_of(const net::endpoint& path) const
{
    static const path_state unknown;
    const auto found = states_.find(path);
    return found == states_.end() ? unknown : found->second;
}

bool store_paths::is_proven(const net::endpoint& path) const
{
    const auto found = states_.find(path);
    return found != states_.end() && found->second.failures == 0;
}

net::endpoint store_paths::choose(path_use use, milliseconds now) const
{
    const auto& direct = state_of(store_);
    const bool is_direct_due = now >= direct.avoided_until;
    if (direct.failures == 0 || (use == path_use::short_call && is_direct_due)) {
        return store_;
    }
    // A relay through which the store has answered is used until it fails. Without one, untried
    // relays and the direct path take turns: in a large fleet, trying every relay first would take
    // longer than a partition lasts.
    const auto* proven = find_relay(now, true);
    const auto* untried = find_relay(now, false);
    if (proven != nullptr) {
        return proven->address;
    }
    return is_direct_due || untried == nullptr ? store_ : untried->address;
}

const relay_address* store_paths::find_relay(milliseconds now, bool proven) const
{
    const auto found =
        std::find_if(relays_.begin(), relays_.end(), [&](const relay_address& relay) {
            return now >= state_of(relay.address).avoided_until &&
                   (!proven || is_proven(relay.address));
        });
    return found == relays_.end() ? nullptr : &*found;
}

milliseconds store_paths::timeout(const net::endpoint& path) const
{
    const auto& usual_ms = state_of(path).answer_ms;
    if (!usual_ms) {
        return settings_.longest_timeout;
    }
    const milliseconds wanted{std::llround(*usual_ms * settings_.timeout_factor)};
    return std::clamp(wanted, settings_.shortest_timeout, settings_.longest_timeout);
}

void store_paths::record_result(const net::endpoint& path, bool answered, milliseconds now,
                                std::optional<milliseconds> duration)
{
    constexpr double weight = 0.2;
    path_state& state = states_[path];
    const bool was_direct = is_direct();
    if (answered) {
        state.failures = 0;
        state.avoided_until = milliseconds{0};
        if (duration) {
            const auto ms = static_cast<double>(duration->count());
            const double usual_ms = state.answer_ms.value_or(ms);
            // A slower answer counts at once, so that a store that turns slow is waited for.
            state.answer_ms = std::max(ms, usual_ms + weight * (ms - usual_ms));
        }
    } else {
        state.answer_ms.reset();
        constexpr int max_doublings = 6;
        const auto penalty =
            settings_.first_penalty * (1 << std::min(state.failures, max_doublings));
        ++state.failures;
        state.avoided_until = now + std::min(penalty, settings_.longest_penalty);
    }
    if (was_direct != is_direct()) {
        log(events::path_changed, {{"direct", is_direct()}, {"relays", relays_.size()}});
    }
}

bool store_paths::is_direct() const
{
    return state_of(store_).failures == 0;
}

json store_paths::dump(milliseconds now) const
{
    json result = json::object();
    for (const auto& [path, state] : states_) {
        result[net::to_string(path)] = {
            {"failures", state.failures},
            {"avoided_for_ms", std::max(milliseconds{0}, state.avoided_until - now).count()}};
    }
    return result;
}

} // namespace dotterelport::object_store
