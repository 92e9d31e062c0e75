#include "dotterelport/membership/node_record.hpp"

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::membership {
namespace {

constexpr enum_names<node_role, 2> role_names{{
    {node_role::router, "router"},
    {node_role::agent, "agent"},
}};

constexpr enum_names<node_state, 4> state_names{{
    {node_state::live, "live"},
    {node_state::leaving, "leaving"},
    {node_state::closing, "closing"},
    {node_state::closed, "closed"},
}};

template<typename Table> auto parse_name(const Table& table, const json& value, const char* path)
{
    const auto result = value_of(table, value.at(path).template get<std::string>());
    if (!result) {
        throw format_error("node record", std::string("/") + path, "unknown name");
    }
    return *result;
}

node_record from_json(const json& value)
{
    node_record record;
    record.id = {value.at("node").get<std::string>(), value.at("epoch").get<std::uint64_t>()};
    record.role = parse_name(role_names, value, "role");
    record.state = parse_name(state_names, value, "state");
    record.vm = value.at("vm").get<std::string>();
    record.region = value.at("region").get<std::string>();
    record.failure_domain = value.at("failure_domain").get<std::string>();
    record.service = value.value("service", "");
    record.peer_address = net::parse_endpoint(value.at("peers").get<std::string>());
    for (const auto& agent : value.value("agents", json::array())) {
        record.agents.insert(parse_incarnation(agent.get<std::string>()));
    }
    record.registration_token = value.value("token", "");
    return record;
}

} // namespace

std::string_view to_string(node_state value)
{
    return name_of(state_names, value);
}

std::string_view to_string(node_role value)
{
    return name_of(role_names, value);
}

std::string node_key(const std::string& node)
{
    return std::string(node_prefix) + node;
}

std::string earlier_incarnation_key(const incarnation& earlier)
{
    return std::string(node_prefix) + to_string(earlier);
}

json to_json(const node_record& value)
{
    json result = {
        {"node", value.id.node},
        {"epoch", value.id.epoch},
        {"role", to_string(value.role)},
        {"state", to_string(value.state)},
        {"vm", value.vm},
        {"region", value.region},
        {"failure_domain", value.failure_domain},
        {"peers", net::to_string(value.peer_address)},
        {"token", value.registration_token},
    };
    if (!value.service.empty()) {
        result["service"] = value.service;
    }
    if (!value.agents.empty()) {
        json& agents = result["agents"] = json::array();
        for (const auto& agent : value.agents) {
            agents.push_back(to_string(agent));
        }
    }
    return result;
}

node_record parse_node_record(const std::string& text)
{
    try {
        return from_json(json::parse(text));
    } catch (const json::exception& failure) {
        throw format_error("node record", "", failure.what());
    }
}

} // namespace dotterelport::membership
