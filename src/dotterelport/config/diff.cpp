#include "dotterelport/config/diff.hpp"

#include <map>
#include <set>

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/config/document_json.hpp"

namespace dotterelport::config {
namespace {

constexpr enum_names<change_kind, 3> kind_names{{
    {change_kind::added, "added"},
    {change_kind::removed, "removed"},
    {change_kind::changed, "changed"},
}};

using element_index = std::map<std::string, json>;

void compare(const std::string& element, const element_index& before, const element_index& after,
             std::vector<change>& changes)
{
    for (const auto& [name, value] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            changes.push_back({change_kind::removed, element, name, value, nullptr});
        } else if (found->second != value) {
            changes.push_back({change_kind::changed, element, name, value, found->second});
        }
    }
    for (const auto& [name, value] : after) {
        if (!before.contains(name)) {
            changes.push_back({change_kind::added, element, name, nullptr, value});
        }
    }
}

element_index services_of(const document& value)
{
    element_index result;
    for (const auto& item : value.services) {
        result.emplace(item.name, to_json(item));
    }
    return result;
}

element_index workspaces_of(const document& value)
{
    element_index result;
    for (const auto& item : value.workspaces) {
        json entry = to_json(item);
        entry.erase("budgets");
        result.emplace(item.name, std::move(entry));
    }
    return result;
}

element_index budgets_of(const document& value)
{
    element_index result;
    for (const auto& owner : value.workspaces) {
        for (const auto& item : owner.budgets) {
            json entry = to_json(item);
            entry["workspace"] = owner.name;
            result.emplace(item.name, std::move(entry));
        }
    }
    return result;
}

std::string describe_members(const json& before, const json& after)
{
    std::set<std::string> names;
    for (const auto& side : {before, after}) {
        for (const auto& [name, value] : side.items()) {
            names.insert(name);
        }
    }
    std::string text;
    for (const auto& name : names) {
        const json old_value = before.value(name, json());
        const json new_value = after.value(name, json());
        if (old_value != new_value) {
            text += "\n  " + name + ": " + old_value.dump() + " -> " + new_value.dump();
        }
    }
    return text;
}

} // namespace

std::string_view to_string(change_kind value)
{
    return name_of(kind_names, value);
}

std::vector<change> diff(const document& before, const document& after)
{
    std::vector<change> changes;
    compare("settings", {{"settings", to_json(before.settings)}},
            {{"settings", to_json(after.settings)}}, changes);
    compare("service", services_of(before), services_of(after), changes);
    compare("workspace", workspaces_of(before), workspaces_of(after), changes);
    compare("budget", budgets_of(before), budgets_of(after), changes);
    return changes;
}

std::string describe(const change& value)
{
    std::string text(to_string(value.kind));
    text += " " + value.element + " " + value.name;
    if (value.kind == change_kind::changed) {
        return text + describe_members(value.before, value.after);
    }
    return text + "\n  " + (value.kind == change_kind::added ? value.after : value.before).dump();
}

} // namespace dotterelport::config
