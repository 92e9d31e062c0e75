#include "dotterelport/membership/node_view.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/membership/rendezvous.hpp"

namespace dotterelport::membership {
namespace {

std::string key_of_shard(std::uint32_t shard)
{
    return "shard/" + std::to_string(shard);
}

} // namespace

node_view::node_view(node_record self, view_timing timing) : timing_(timing), self_(std::move(self))
{}

void node_view::update_self(const node_record& self, object_store::version version,
                            milliseconds now)
{
    self_ = self;
    apply_record(self.id.node, self, version, now);
}

int node_view::apply(const object_store::listing& changes, milliseconds now)
{
    if (!changes.available) {
        return 0;
    }
    int unreadable = 0;
    for (const auto& object : changes.objects) {
        try {
            apply_record(object.key.substr(node_prefix.size()), parse_node_record(object.value),
                         object.object_version, now);
        } catch (const error&) {
            ++unreadable;
        }
    }
    for (const auto& key : changes.deleted) {
        entries_.erase(key.substr(node_prefix.size()));
    }
    revision_ = std::max(revision_, changes.revision);
    if (!last_listing_time_ || now - *last_listing_time_ > timing_.listing_gap) {
        gapless_listings_since_ = now;
    }
    last_listing_time_ = now;
    return unreadable;
}

void node_view::apply_record(const std::string& key, node_record record,
                             object_store::version version, milliseconds now)
{
    auto& node_entry = entries_[key];
    if (node_entry.version >= version && node_entry.version != 0) {
        return;
    }
    if (node_entry.version == 0 || node_entry.record.id != record.id) {
        node_entry.first_seen = now;
    }
    node_entry.record = std::move(record);
    node_entry.version = version;
    node_entry.last_changed = now;
}

void node_view::apply(const object_store::vm_listing& list, milliseconds now)
{
    // A list without this node's own VM is incomplete, so a VM that it lacks may still exist.
    const bool is_complete = self_.vm.empty() ? !list.vms.empty() : list.vms.contains(self_.vm);
    if (!list.available || !is_complete) {
        return;
    }
    vms_ = list.vms;
    for (const auto& [vm, state] : vms_) {
        vms_ever_listed_.insert(vm);
        absent_vms_.erase(vm);
    }
    std::map<std::string, absence> absent;
    for (const auto& [key, node_entry] : entries_) {
        const std::string& vm = node_entry.record.vm;
        if (!vm.empty() && !vms_.contains(vm) && !absent.contains(vm)) {
            const auto previous = absent_vms_.find(vm);
            absence next = previous == absent_vms_.end() ? absence{.since = now} : previous->second;
            ++next.lists;
            absent.emplace(vm, next);
        }
    }
    // Only VMs that are listed or that a node record refers to are kept, so that the maps do not
    // grow with every VM that ever existed.
    absent_vms_ = std::move(absent);
    std::erase_if(vms_ever_listed_, [this](const std::string& vm) {
        return !vms_.contains(vm) && !absent_vms_.contains(vm);
    });
}

node_view::contact& node_view::contact_with(const std::string& node)
{
    contact& node_contact = contacts_[node];
    const entry* node_entry = find_entry(node);
    const std::uint64_t epoch = node_entry == nullptr ? 0 : node_entry->record.id.epoch;
    if (node_contact.epoch != epoch) {
        node_contact = contact{.epoch = epoch};
    }
    return node_contact;
}

void node_view::report_contact(const std::string& node, bool answered, milliseconds now)
{
    contact& node_contact = contact_with(node);
    node_contact.last_report = now;
    if (answered) {
        node_contact.failures = 0;
        if (node_contact.silent && ++node_contact.answers >= timing_.answers_until_live) {
            node_contact.silent = false;
        }
        return;
    }
    node_contact.answers = 0;
    if (node_contact.failures == 0 && !node_contact.silent) {
        node_contact.first_failure = now;
    }
    ++node_contact.failures;
    if (node_contact.failures >= timing_.failures_until_silent &&
        now - node_contact.first_failure >= timing_.failing_until_silent) {
        node_contact.silent = true;
    }
}

void node_view::report_leaving(const std::string& node)
{
    contact_with(node).leaving = true;
}

const node_view::entry* node_view::find_entry(const std::string& node) const
{
    const auto found = entries_.find(node);
    return found == entries_.end() ? nullptr : &found->second;
}

const node_view::contact* node_view::current_contact(const node_record& record) const
{
    const auto found = contacts_.find(record.id.node);
    return found == contacts_.end() || found->second.epoch != record.id.epoch ? nullptr
                                                                              : &found->second;
}

std::optional<milliseconds> node_view::silent_since(const node_record& record,
                                                    milliseconds now) const
{
    const contact* node_contact = current_contact(record);
    if (node_contact == nullptr || !node_contact->silent || record.id == self_.id ||
        now - node_contact->last_report > timing_.silence_expiry) {
        return std::nullopt;
    }
    return node_contact->first_failure;
}

std::optional<milliseconds> node_view::vm_gone_since(const std::string& vm, milliseconds now) const
{
    const auto found = absent_vms_.find(vm);
    if (found == absent_vms_.end()) {
        return std::nullopt;
    }
    const absence& vm_absence = found->second;
    const bool gone = vms_ever_listed_.contains(vm)
                          ? vm_absence.lists >= timing_.lists_until_gone
                          : vm_absence.lists >= timing_.lists_until_gone &&
                                now - vm_absence.since >= timing_.unlisted_until_gone;
    return gone ? std::optional(vm_absence.since) : std::nullopt;
}

bool node_view::is_live(const node_record& record, milliseconds now) const
{
    if (record.state != node_state::live) {
        return false;
    }
    const auto vm = vms_.find(record.vm);
    const bool vm_leaving = vm != vms_.end() && vm->second == object_store::vm_state::leaving;
    const bool vm_dropped = absent_vms_.contains(record.vm) && vms_ever_listed_.contains(record.vm);
    if (vm_leaving || vm_dropped || vm_gone_since(record.vm, now)) {
        return false;
    }
    const contact* node_contact = current_contact(record);
    return (node_contact == nullptr || !node_contact->leaving) && !silent_since(record, now);
}

std::vector<node_record> node_view::nodes() const
{
    std::vector<node_record> result;
    for (const auto& [key, node_entry] : entries_) {
        if (key == node_entry.record.id.node) {
            result.push_back(node_entry.record);
        }
    }
    return result;
}

std::vector<node_record> node_view::live_nodes(node_role role, milliseconds now) const
{
    std::vector<node_record> result;
    for (const auto& [key, node_entry] : entries_) {
        if (key == node_entry.record.id.node && node_entry.record.role == role &&
            is_live(node_entry.record, now)) {
            result.push_back(node_entry.record);
        }
    }
    return result;
}

std::optional<node_record> node_view::find(const std::string& node) const
{
    const entry* node_entry = find_entry(node);
    return node_entry == nullptr ? std::nullopt : std::optional(node_entry->record);
}

bool node_view::is_silent(const std::string& node, milliseconds now) const
{
    const entry* node_entry = find_entry(node);
    return node_entry != nullptr && silent_since(node_entry->record, now).has_value();
}

bool node_view::is_gone(const incarnation& other, milliseconds now) const
{
    const entry* node_entry = find_entry(other.node);
    if (node_entry == nullptr) {
        return false;
    }
    return node_entry->record.id.epoch > other.epoch ||
           vm_gone_since(node_entry->record.vm, now).has_value();
}

std::optional<node_record> node_view::shard_owner(std::uint32_t shard,
                                                  const std::string& failure_domain,
                                                  milliseconds now) const
{
    const auto names = live_router_names_in(failure_domain, now);
    const auto winner = rendezvous(names, key_of_shard(shard));
    return winner ? find(names[*winner]) : std::nullopt;
}

std::vector<std::string> node_view::failure_domains(milliseconds now) const
{
    std::set<std::string> domains;
    for (const auto& [key, node_entry] : entries_) {
        if (key == node_entry.record.id.node && node_entry.record.role == node_role::router &&
            is_live(node_entry.record, now)) {
            domains.insert(node_entry.record.failure_domain);
        }
    }
    std::vector<std::string> result;
    if (domains.erase(self_.failure_domain) > 0) {
        result.push_back(self_.failure_domain);
    }
    result.insert(result.end(), domains.begin(), domains.end());
    return result;
}

json node_view::dump(milliseconds now) const
{
    json nodes = json::array();
    for (const auto& [key, node_entry] : entries_) {
        json item = to_json(node_entry.record);
        item.erase("token");
        item["object"] = key;
        item["live"] = key == node_entry.record.id.node && is_live(node_entry.record, now);
        item["silent"] = silent_since(node_entry.record, now).has_value();
        item["vm_gone"] = vm_gone_since(node_entry.record.vm, now).has_value();
        nodes.push_back(std::move(item));
    }
    json closing = json::array();
    for (const auto& id : routers_to_close(now)) {
        closing.push_back(to_string(id));
    }
    return {{"revision", revision_}, {"nodes", nodes}, {"routers_to_close", closing}};
}

} // namespace dotterelport::membership
