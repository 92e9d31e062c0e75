#include <algorithm>

#include "dotterelport/membership/node_view.hpp"
#include "dotterelport/membership/rendezvous.hpp"

/// Rules of node_view that decide which routers this node probes and closes.
namespace dotterelport::membership {
namespace {

/// Routers of the same domain, and of all others together, that probe a router. Several, so that
/// the loss of a rack does not take all of them with the router.
constexpr std::size_t probes_within_domain = 3;
constexpr std::size_t probes_from_outside = 2;

std::string closing_key(const std::string& node)
{
    return "close/" + node;
}

} // namespace

std::vector<std::string> node_view::live_router_names(milliseconds now) const
{
    std::vector<std::string> names;
    for (const auto& [key, value] : entries_) {
        if (key == value.record.id.node && value.record.role == node_role::router &&
            is_live(value.record, now)) {
            names.push_back(key);
        }
    }
    return names;
}

std::vector<std::string> node_view::live_router_names_in(const std::string& domain,
                                                         milliseconds now) const
{
    std::vector<std::string> names;
    for (const auto& [key, value] : entries_) {
        if (key == value.record.id.node && value.record.role == node_role::router &&
            value.record.failure_domain == domain && is_live(value.record, now)) {
            names.push_back(key);
        }
    }
    return names;
}

std::vector<std::string> node_view::live_router_names_outside(const std::string& domain,
                                                              milliseconds now) const
{
    std::vector<std::string> names;
    for (const auto& [key, value] : entries_) {
        if (key == value.record.id.node && value.record.role == node_role::router &&
            value.record.failure_domain != domain && is_live(value.record, now)) {
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

bool node_view::domain_shows_life(const std::string& domain, milliseconds now) const
{
    const bool listings_prove = last_listing_ && now - *last_listing_ <= timing_.listing_gap &&
                                now - listing_run_start_ >= timing_.domain_silent_until_closed;
    if (!listings_prove) {
        return true;
    }
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
        const node_record& record = item.second.record;
        return record.role == node_role::router && record.failure_domain == domain &&
               item.first == record.id.node && record.state <= node_state::leaving &&
               now - item.second.changed < timing_.domain_silent_until_closed;
    });
}

std::optional<milliseconds> node_view::silence_due(const node_record& record,
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
    if (domain_shows_life(domain, now)) {
        return std::nullopt;
    }
    const auto rank = rendezvous_rank(live_router_names_outside(domain, now), self_.id.node, key);
    return *since + timing_.domain_silent_until_closed +
           timing_.closer_stagger * static_cast<int>(rank);
}

std::optional<milliseconds> node_view::closing_due(const std::string& key, const entry& value,
                                                   milliseconds now) const
{
    const node_record& record = value.record;
    const bool is_earlier = key != record.id.node;
    if (record.role != node_role::router || record.state == node_state::closed ||
        record.id == self_.id) {
        return std::nullopt;
    }
    const auto takeover = [&](milliseconds since, milliseconds stagger) {
        const auto rank =
            rendezvous_rank(live_router_names(now), self_.id.node, closing_key(record.id.node));
        return since + stagger * static_cast<int>(rank);
    };
    if (is_earlier) {
        // The copy may be written before the next incarnation registers; until then the record
        // under the node's own key is the one to close.
        const entry* present = find_entry(record.id.node);
        const bool superseded = present != nullptr && present->record.id.epoch > record.id.epoch;
        return superseded ? std::optional(takeover(value.first_seen, timing_.takeover_stagger))
                          : std::nullopt;
    }
    if (record.state == node_state::closing) {
        return takeover(value.changed, timing_.takeover_stagger);
    }
    if (const auto gone = vm_gone_since(record.vm, now)) {
        return takeover(*gone, timing_.closer_stagger);
    }
    return silence_due(record, now);
}

std::vector<incarnation> node_view::routers_to_close(milliseconds now) const
{
    std::vector<incarnation> result;
    for (const auto& [key, value] : entries_) {
        const auto due = closing_due(key, value, now);
        if (due && now >= *due) {
            result.push_back(value.record.id);
        }
    }
    return result;
}

std::vector<node_record> node_view::routers_to_probe(milliseconds now) const
{
    std::vector<node_record> result;
    const auto within = live_router_names_in(self_.failure_domain, now);
    for (const auto& [key, value] : entries_) {
        const node_record& record = value.record;
        if (key != record.id.node || record.role != node_role::router ||
            record.state > node_state::leaving || record.id.node == self_.id.node) {
            continue;
        }
        // The router itself is among the names of its own domain while it is live.
        auto names = record.failure_domain == self_.failure_domain
                         ? within
                         : live_router_names_outside(record.failure_domain, now);
        std::erase(names, record.id.node);
        const auto limit = record.failure_domain == self_.failure_domain ? probes_within_domain
                                                                         : probes_from_outside;
        if (rendezvous_rank(names, self_.id.node, closing_key(record.id.node)) < limit) {
            result.push_back(record);
        }
    }
    return result;
}

} // namespace dotterelport::membership
