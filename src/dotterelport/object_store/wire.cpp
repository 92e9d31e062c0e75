#include "dotterelport/object_store/wire.hpp"

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::object_store {
namespace {

constexpr enum_names<vm_state, 2> vm_state_names{{
    {vm_state::live, "live"},
    {vm_state::leaving, "leaving"},
}};

} // namespace

std::string_view to_string(vm_state value)
{
    return name_of(vm_state_names, value);
}

std::optional<vm_state> parse_vm_state(std::string_view name)
{
    return value_of(vm_state_names, name);
}

json to_json(const object& value)
{
    return {{"key", value.key}, {"version", value.object_version}, {"value", value.value}};
}

json to_json(const listing& value)
{
    json objects = json::array();
    for (const auto& item : value.objects) {
        objects.push_back(to_json(item));
    }
    return {
        {"revision", value.revision}, {"objects", std::move(objects)}, {"deleted", value.deleted}};
}

json to_json(const vm_listing& value)
{
    json vms = json::array();
    for (const auto& [vm, state] : value.vms) {
        vms.push_back({{"vm", vm}, {"state", to_string(state)}});
    }
    return {{"vms", std::move(vms)}};
}

object parse_object(const json& value)
{
    return {value.at("key").get<std::string>(), value.at("version").get<version>(),
            value.at("value").get<std::string>()};
}

listing parse_listing(const json& value)
{
    listing result;
    result.revision = value.at("revision").get<version>();
    for (const auto& item : value.at("objects")) {
        result.objects.push_back(parse_object(item));
    }
    result.deleted = value.at("deleted").get<std::vector<std::string>>();
    result.available = true;
    return result;
}

vm_listing parse_vm_listing(const json& value)
{
    vm_listing result;
    for (const auto& item : value.at("vms")) {
        const auto state = parse_vm_state(item.at("state").get<std::string>());
        // A VM in a state that this version does not know must not disappear from the list.
        result.vms.emplace(item.at("vm").get<std::string>(), state.value_or(vm_state::live));
    }
    result.available = true;
    return result;
}

} // namespace dotterelport::object_store
