#include "dotterelport/ctl/ledger_reader.hpp"

#include "dotterelport/ctl/nodes.hpp"

namespace dotterelport::ctl {
namespace {

tokens reserved_of(const std::string& name, const budget::ledger_entry& entry,
                   const holder_reservations& reservations)
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

budget_account account_of(const std::string& name, const budget::ledger_entry& entry,
                          const holder_reservations& reservations)
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

holder_reservations read_reservations(session& run)
{
    std::vector<net::endpoint> routers;
    for (const auto& node : read_nodes(run)) {
        if (node.role == membership::node_role::router &&
            node.state != membership::node_state::closed) {
            routers.push_back(node.peer_address);
        }
    }
    holder_reservations reservations;
    for (const auto& answer : run.call_all(routers, "dump")) {
        if (answer.ok()) {
            add_reservations(answer.value, reservations);
        }
    }
    return reservations;
}

} // namespace

void add_reservations(const json& dump, holder_reservations& reservations)
{
    const json shards = dump.value(json::json_pointer("/budgets/shards"), json::array());
    for (const auto& shard : shards) {
        auto& budgets = reservations[parse_incarnation(shard.at("holder").get<std::string>())];
        for (const auto& [name, account] : shard.at("budgets").items()) {
            budgets[name] += account.at("reserved").get<tokens>();
        }
    }
}

std::vector<budget_account> combine_accounts(const config::document& configuration,
                                             const std::vector<budget::ledger_shard>& shards,
                                             const holder_reservations& reservations)
{
    std::map<std::string, budget_account> accounts;
    for (const auto& shard : shards) {
        for (const auto& [name, entry] : shard.budgets()) {
            accounts.emplace(name, account_of(name, entry, reservations));
        }
    }
    for (const auto& owner : configuration.workspaces) {
        for (const auto& item : owner.budgets) {
            accounts.emplace(item.name, budget_account{.name = item.name,
                                                       .workspace = owner.name,
                                                       .prepaid = item.prepaid,
                                                       .ceiling = item.prepaid});
        }
    }
    std::vector<budget_account> result;
    result.reserve(accounts.size());
    for (auto& [name, account] : accounts) {
        result.push_back(std::move(account));
    }
    return result;
}

std::vector<budget_account> read_accounts(session& run)
{
    const auto configuration = run.read_configuration();
    const auto reservations = read_reservations(run);
    std::vector<budget::ledger_shard> shards;
    for (const auto& item : run.list("budget/").objects) {
        shards.push_back(budget::parse_ledger_shard(item.value));
    }
    return combine_accounts(configuration.content, shards, reservations);
}

} // namespace dotterelport::ctl
