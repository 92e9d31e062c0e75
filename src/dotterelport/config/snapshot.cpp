#include "dotterelport/config/snapshot.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::config {
namespace {

template<typename Value>
const Value* find_value(const std::unordered_map<std::string, const Value*>& index,
                        std::string_view name)
{
    const auto found = index.find(std::string(name));
    return found == index.end() ? nullptr : found->second;
}

bool has_name(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

snapshot::snapshot(std::uint64_t generation, document value)
    : generation_(generation), document_(std::move(value))
{
    for (const auto& item : document_.services) {
        services_by_name_.emplace(item.name, &item);
        for (const auto& model : item.models) {
            services_by_model_.emplace(model, &item);
        }
    }
    workspaces_by_name_.reserve(document_.workspaces.size());
    for (const auto& item : document_.workspaces) {
        workspaces_by_name_.emplace(item.name, &item);
        for (const auto& hash : item.key_hashes) {
            workspaces_by_key_hash_.emplace(hash, &item);
        }
        for (const auto& entry : item.budgets) {
            budgets_by_name_.emplace(entry.name, budget_entry{&item, &entry});
        }
    }
}

const workspace* snapshot::workspace_of_key(std::string_view bearer_key) const
{
    // The index is searched by the SHA-256 of the key that the caller sent. The timing of the
    // search could reveal at most parts of a stored hash, from which a key cannot be derived.
    const std::string hash = sha256_hex(bearer_key);
    const auto found = workspaces_by_key_hash_.find(hash);
    if (found == workspaces_by_key_hash_.end() || !equal_constant_time(found->first, hash)) {
        return nullptr;
    }
    return found->second;
}

const workspace* snapshot::find_workspace(std::string_view name) const
{
    return find_value(workspaces_by_name_, name);
}

const service* snapshot::find_service(std::string_view name) const
{
    return find_value(services_by_name_, name);
}

const service* snapshot::service_of_model(std::string_view model) const
{
    return find_value(services_by_model_, model);
}

const workspace* snapshot::workspace_of_budget(std::string_view budget) const
{
    const auto found = budgets_by_name_.find(std::string(budget));
    return found == budgets_by_name_.end() ? nullptr : found->second.owner;
}

const budget* snapshot::find_budget(std::string_view name) const
{
    const auto found = budgets_by_name_.find(std::string(name));
    return found == budgets_by_name_.end() ? nullptr : found->second.value;
}

const budget* snapshot::budget_for(const workspace& owner, const service& target)
{
    const auto found =
        std::find_if(owner.budgets.begin(), owner.budgets.end(), [&](const budget& item) {
            return has_name(item.services, "*") || has_name(item.services, target.name);
        });
    return found == owner.budgets.end() ? nullptr : &*found;
}

bool snapshot::allows(const workspace& owner, const service& target)
{
    return has_name(owner.services, target.name);
}

std::uint32_t shard_of(std::string_view workspace_name, const fleet_settings& settings)
{
    return static_cast<std::uint32_t>(hash64(workspace_name) % settings.budget_shards);
}

} // namespace dotterelport::config
