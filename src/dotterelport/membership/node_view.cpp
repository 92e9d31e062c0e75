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

void node_view::update_self(const node_record& self, object_store::version at, milliseconds now)
{
    self_ = self;
    take(self.id.node, self, at, now);
}

int node_view::apply(const object_store::listing& changes, milliseconds now)
{
    if (!changes.available) {
        return 0;
    }
    int unreadable = 0;
    for (const auto& object : changes.objects) {
        try {
            take(object.key.substr(node_prefix.size()), parse_node_record(object.value), object.at,
                 now);
        } catch (const error&) {
            ++unreadable;
        }
    }
    for (const auto& key : changes.deleted) {
        entries_.erase(key.substr(node_prefix.size()));
    }
    revision_ = std::max(revision_, changes.revision);
    if (!last_listing_ || now - *last_listing_ > timing_.listing_gap) {
        listing_run_start_ = now;
    }
    last_listing_ = now;
    return unreadable;
}

void node_view::take(const std::string& key, node_record record, object_store::version at,
                     milliseconds now)
{
    auto& value = entries_[key];
    if (value.at >= at && value.at != 0) {
        return;
    }
    if (value.at == 0 || value.record.id != record.id) {
        value.first_seen = now;
    }
    value.record = std::move(record);
    value.at = at;
    value.changed = now;
}

void node_view::apply(const object_store::vm_listing& list, milliseconds now)
{
    // A list without this node's own VM is incomplete, so what it lacks proves nothing.
    const bool is_complete = self_.vm.empty() ? !list.vms.empty() : list.vms.contains(self_.vm);
    if (!list.available || !is_complete) {
        return;
    }
    vms_ = list.vms;
    for (const auto& [vm, state] : vms_) {
        vms_seen_.insert(vm);
        vms_absent_.erase(vm);
    }
    std::map<std::string, absence> absent;
    for (const auto& [key, value] : entries_) {
        const std::string& vm = value.record.vm;
        if (!vm.empty() && !vms_.contains(vm) && !absent.contains(vm)) {
            const auto known = vms_absent_.find(vm);
            absence next = known == vms_absent_.end() ? absence{.since = now} : known->second;
            ++next.lists;
            absent.emplace(vm, next);
        }
    }
    // Only VMs that some record names are remembered, so the maps do not grow with VM names.
    vms_absent_ = std::move(absent);
    std::erase_if(vms_seen_, [this](const std::string& vm) {
        return !vms_.contains(vm) && !vms_absent_.contains(vm);
    });
}

node_view::contact& node_view::contact_with(const std::string& node)
{
    contact& value = contacts_[node];
    const entry* known = find_entry(node);
    const std::uint64_t epoch = known == nullptr ? 0 : known->record.id.epoch;
    if (value.epoch != epoch) {
        value = contact{.epoch = epoch};
    }
    return value;
}

void node_view::report_contact(const std::string& node, bool answered, milliseconds now)
{
    contact& value = contact_with(node);
    value.last_report = now;
    if (answered) {
        value.failures = 0;
        if (value.silent && ++value.answers >= timing_.answers_until_heard) {
            value.silent = false;
        }
        return;
    }
    value.answers = 0;
    if (value.failures == 0 && !value.silent) {
        value.first_failure = now;
    }
    ++value.failures;
    if (value.failures >= timing_.failures_until_silent &&
        now - value.first_failure >= timing_.failing_until_silent) {
        value.silent = true;
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
    const contact* value = current_contact(record);
    if (value == nullptr || !value->silent || record.id == self_.id ||
        now - value->last_report > timing_.silence_expiry) {
        return std::nullopt;
    }
    return value->first_failure;
}

std::optional<milliseconds> node_view::vm_gone_since(const std::string& vm, milliseconds now) const
{
    const auto found = vms_absent_.find(vm);
    if (found == vms_absent_.end()) {
        return std::nullopt;
    }
    const absence& value = found->second;
    const bool gone = vms_seen_.contains(vm) ? value.lists >= timing_.lists_until_gone
                                             : value.lists >= timing_.lists_until_gone &&
                                                   now - value.since >= timing_.unlisted_until_gone;
    return gone ? std::optional(value.since) : std::nullopt;
}

bool node_view::is_live(const node_record& record, milliseconds now) const
{
    if (record.state != node_state::live) {
        return false;
    }
    const auto vm = vms_.find(record.vm);
    const bool vm_leaving = vm != vms_.end() && vm->second == object_store::vm_state::leaving;
    const bool vm_dropped = vms_absent_.contains(record.vm) && vms_seen_.contains(record.vm);
    if (vm_leaving || vm_dropped || vm_gone_since(record.vm, now)) {
        return false;
    }
    const contact* value = current_contact(record);
    return (value == nullptr || !value->leaving) && !silent_since(record, now);
}

std::vector<node_record> node_view::nodes() const
{
    std::vector<node_record> result;
    for (const auto& [key, value] : entries_) {
        if (key == value.record.id.node) {
            result.push_back(value.record);
        }
    }
    return result;
}

std::vector<node_record> node_view::live_nodes(node_role role, milliseconds now) const
{
    std::vector<node_record> result;
    for (const auto& [key, value] : entries_) {
        if (key == value.record.id.node && value.record.role == role &&
            is_live(value.record, now)) {
            result.push_back(value.record);
        }
    }
    return result;
}

std::optional<node_record> node_view::find(const std::string& node) const
{
    const entry* value = find_entry(node);
    return value == nullptr ? std::nullopt : std::optional(value->record);
}

bool node_view::is_silent(const std::string& node, milliseconds now) const
{
    const entry* value = find_entry(node);
    return value != nullptr && silent_since(value->record, now).has_value();
}

bool node_view::is_gone(const incarnation& other, milliseconds now) const
{
    const entry* value = find_entry(other.node);
    if (value == nullptr) {
        return false;
    }
    return value->record.id.epoch > other.epoch || vm_gone_since(value->record.vm, now).has_value();
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
    for (const auto& [key, value] : entries_) {
        if (key == value.record.id.node && value.record.role == node_role::router &&
            is_live(value.record, now)) {
            domains.insert(value.record.failure_domain);
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
    for (const auto& [key, value] : entries_) {
        json item = to_json(value.record);
        item.erase("token");
        item["object"] = key;
        item["live"] = key == value.record.id.node && is_live(value.record, now);
        item["silent"] = silent_since(value.record, now).has_value();
        item["vm_gone"] = vm_gone_since(value.record.vm, now).has_value();
        nodes.push_back(std::move(item));
    }
    json closing = json::array();
    for (const auto& id : routers_to_close(now)) {
        closing.push_back(to_string(id));
    }
    return {{"revision", revision_}, {"nodes", nodes}, {"routers_to_close", closing}};
}

} // namespace dotterelport::membership
