#include "dotterelport/ctl/ledger_reader.hpp"

#include "dotterelport/ctl/nodes.hpp"

namespace dotterelport::ctl {
namespace {

tokens reserved_of(const std::string& name, const budget::ledger_entry& entry,
                   const reservations_by_holder& reservations)
{
    tokens sum = 0;
    for (const auto& [holder, grant] : entry.grants) {
        const auto found = reservations.find(holder);
        if (found == reservations.end()) {
            sum += grant.open();
            continue;
        }
        const auto reserved = found->second.find(name);
        sum += reserved == found->second.end() ? 0 : reserved->second;
    }
    return sum;
}

account_summary account_of(const std::string& name, const budget::ledger_entry& entry,
                           const reservations_by_holder& reservations)
{
    return {.name = name,
            .workspace = entry.workspace,
            .prepaid = entry.prepaid,
            .ceiling = entry.ceiling,
            .settled = entry.settled,
            .open = entry.open(),
            .reserved = reserved_of(name, entry, reservations),
            .unproved = entry.unproved,
            .stopped = entry.stopped};
}

reservations_by_holder read_reservations(session& context)
{
    std::vector<net::endpoint> routers;
    for (const auto& node : read_nodes(context)) {
        if (node.role == membership::node_role::router &&
            node.state != membership::node_state::closed) {
            routers.push_back(node.peer_address);
        }
    }
    reservations_by_holder reservations;
    for (const auto& answer : context.call_all(routers, "dump")) {
        if (answer.ok()) {
            add_reservations(answer.value, reservations);
        }
    }
    return reservations;
}

} // namespace

void add_reservations(const json& dump, reservations_by_holder& reservations)
{
    const json shards = dump.value(json::json_pointer("/budgets/shards"), json::array());
    for (const auto& shard : shards) {
        auto& budgets = reservations[parse_incarnation(shard.at("holder").get<std::string>())];
        for (const auto& [name, account] : shard.at("budgets").items()) {
            budgets[name] += account.at("reserved").get<tokens>();
        }
    }
}

std::vector<account_summary> combine_accounts(const config::document& configuration,
                                              const std::vector<budget::ledger_shard>& shards,
                                              const reservations_by_holder& reservations)
{
    std::map<std::string, account_summary> accounts;
    for (const auto& shard : shards) {
        for (const auto& [name, entry] : shard.budgets()) {
            accounts.emplace(name, account_of(name, entry, reservations));
        }
    }
    for (const auto& workspace_entry : configuration.workspaces) {
        for (const auto& declared : workspace_entry.budgets) {
            accounts.emplace(declared.name, account_summary{.name = declared.name,
                                                            .workspace = workspace_entry.name,
                                                            .prepaid = declared.prepaid,
                                                            .ceiling = declared.prepaid});
        }
    }
    std::vector<account_summary> result;
    result.reserve(accounts.size());
    for (auto& [name, account] : accounts) {
        result.push_back(std::move(account));
    }
    return result;
}

std::vector<account_summary> read_accounts(session& context)
{
    const auto configuration = context.read_configuration();
    const auto reservations = read_reservations(context);
    std::vector<budget::ledger_shard> shards;
    for (const auto& object : context.list("budget/").objects) {
        shards.push_back(budget::parse_ledger_shard(object.value));
    }
    return combine_accounts(configuration.content, shards, reservations);
}

} // namespace dotterelport::ctl
