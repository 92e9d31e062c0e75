#include <algorithm>

#include "dotterelport/membership/node_view.hpp"
#include "dotterelport/membership/rendezvous.hpp"

/// Rules of node_view that decide which routers this node probes and closes.
namespace dotterelport::membership {
namespace {

/// Numbers of routers that probe a router, from its own domain and from all other domains together.
/// There are several, so that the loss of a rack does not remove a router together with all routers
/// that probe it.
constexpr std::size_t probers_within_domain = 3;
constexpr std::size_t probers_from_other_domains = 2;

std::string closing_key(const std::string& node)
{
    return "close/" + node;
}

} // namespace

std::vector<std::string> node_view::live_router_names(milliseconds now) const
{
    std::vector<std::string> names;
    for (const auto& [key, node_entry] : entries_) {
        if (key == node_entry.record.id.node && node_entry.record.role == node_role::router &&
            is_live(node_entry.record, now)) {
            names.push_back(key);
        }
    }
    return names;
}

std::vector<std::string> node_view::live_router_names_in(const std::string& domain,
                                                         milliseconds now) const
{
    std::vector<std::string> names;
    for (const auto& [key, node_entry] : entries_) {
        if (key == node_entry.record.id.node && node_entry.record.role == node_role::router &&
            node_entry.record.failure_domain == domain && is_live(node_entry.record, now)) {
            names.push_back(key);
        }
    }
    return names;
}

std::vector<std::string> node_view::live_router_names_outside(const std::string& domain,
                                                              milliseconds now) const
{
    std::vector<std::string> names;
    for (const auto& [key, node_entry] : entries_) {
        if (key == node_entry.record.id.node && node_entry.record.role == node_role::router &&
            node_entry.record.failure_domain != domain && is_live(node_entry.record, now)) {
            names.push_back(key);
        }
    }
    return names;
}

bool node_view::is_domain_representative(milliseconds now) const
{
    const auto names = live_router_names_in(self_.failure_domain, now);
    const auto winner = rendezvous(names, "representative/" + self_.failure_domain);
    return winner && names[*winner] == self_.id.node;
}

bool node_view::domain_may_be_alive(const std::string& domain, milliseconds now) const
{
    const bool listings_are_conclusive =
        last_listing_time_ && now - *last_listing_time_ <= timing_.listing_gap &&
        now - gapless_listings_since_ >= timing_.domain_silent_until_closed;
    if (!listings_are_conclusive) {
        return true;
    }
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
        const node_record& record = item.second.record;
        return record.role == node_role::router && record.failure_domain == domain &&
               item.first == record.id.node && record.state <= node_state::leaving &&
               now - item.second.last_changed < timing_.domain_silent_until_closed;
    });
}

std::optional<milliseconds> node_view::silent_closing_due(const node_record& record,
                                                          milliseconds now) const
{
    const auto since = silent_since(record, now);
    if (!since) {
        return std::nullopt;
    }
    const std::string key = closing_key(record.id.node);
    const std::string& domain = record.failure_domain;
    if (domain == self_.failure_domain) {
        const auto rank = rendezvous_rank(live_router_names_in(domain, now), self_.id.node, key);
        return *since + timing_.silent_until_closed +
               timing_.closer_stagger * static_cast<int>(rank);
    }
    if (domain_may_be_alive(domain, now)) {
        return std::nullopt;
    }
    const auto rank = rendezvous_rank(live_router_names_outside(domain, now), self_.id.node, key);
    return *since + timing_.domain_silent_until_closed +
           timing_.closer_stagger * static_cast<int>(rank);
}

std::optional<milliseconds> node_view::closing_due(const std::string& key, const entry& node_entry,
                                                   milliseconds now) const
{
    const node_record& record = node_entry.record;
    const bool is_earlier_incarnation = key != record.id.node;
    if (record.role != node_role::router || record.state == node_state::closed ||
        record.id == self_.id) {
        return std::nullopt;
    }
    const auto staggered_by_rank = [&](milliseconds since, milliseconds stagger) {
        const auto rank =
            rendezvous_rank(live_router_names(now), self_.id.node, closing_key(record.id.node));
        return since + stagger * static_cast<int>(rank);
    };
    if (is_earlier_incarnation) {
        // The copy may be written before the next incarnation registers. Until that incarnation
        // registers, the record under the node's own key is the one to close.
        const entry* present = find_entry(record.id.node);
        const bool superseded = present != nullptr && present->record.id.epoch > record.id.epoch;
        return superseded ? std::optional(
                                staggered_by_rank(node_entry.first_seen, timing_.takeover_stagger))
                          : std::nullopt;
    }
    if (record.state == node_state::closing) {
        return staggered_by_rank(node_entry.last_changed, timing_.takeover_stagger);
    }
    if (const auto gone = vm_gone_since(record.vm, now)) {
        return staggered_by_rank(*gone, timing_.closer_stagger);
    }
    return silent_closing_due(record, now);
}

std::vector<incarnation> node_view::routers_to_close(milliseconds now) const
{
    std::vector<incarnation> result;
    for (const auto& [key, node_entry] : entries_) {
        const auto due = closing_due(key, node_entry, now);
        if (due && now >= *due) {
            result.push_back(node_entry.record.id);
        }
    }
    return result;
}

std::vector<node_record> node_view::routers_to_probe(milliseconds now) const
{
    std::vector<node_record> result;
    const auto own_domain_routers = live_router_names_in(self_.failure_domain, now);
    for (const auto& [key, node_entry] : entries_) {
        const node_record& record = node_entry.record;
        if (key != record.id.node || record.role != node_role::router ||
            record.state > node_state::leaving || record.id.node == self_.id.node) {
            continue;
        }
        // The router itself is among the names of its own domain while it is live.
        auto names = record.failure_domain == self_.failure_domain
                         ? own_domain_routers
                         : live_router_names_outside(record.failure_domain, now);
        std::erase(names, record.id.node);
        const auto prober_count = record.failure_domain == self_.failure_domain
                                      ? probers_within_domain
                                      : probers_from_other_domains;
        if (rendezvous_rank(names, self_.id.node, closing_key(record.id.node)) < prober_count) {
            result.push_back(record);
        }
    }
    return result;
}

} // namespace dotterelport::membership
