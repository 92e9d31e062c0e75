#include <algorithm>

#include "dotterelport/ctl/bill_reader.hpp"
#include "dotterelport/ctl/commands.hpp"
#include "dotterelport/ctl/ledger_reader.hpp"
#include "dotterelport/ctl/table.hpp"

namespace dotterelport::ctl {
namespace {

constexpr int indent = 1;

json account_to_json(const budget_account& value)
{
    return {
        {"name", value.name},         {"workspace", value.workspace}, {"prepaid", value.prepaid},
        {"ceiling", value.ceiling},   {"settled", value.settled},     {"open", value.open},
        {"reserved", value.reserved}, {"unproved", value.unproved},   {"stopped", value.stopped}};
}

json line_to_json(const billed_line& value)
{
    return {{"workspace", value.line.key.workspace},
            {"key", value.line.key.key},
            {"budget", value.line.budget},
            {"tokens", value.line.charged},
            {"prompt_tokens", value.line.prompt_tokens},
            {"completion_tokens", value.line.completion_tokens},
            {"service", value.line.service},
            {"agent", to_string(value.line.agent)},
            {"holder", to_string(value.holder)},
            {"batch", value.batch},
            {"void", value.is_void}};
}

json use_to_json(const budget::unproved_use& value)
{
    return {{"workspace", value.key.workspace},
            {"key", value.key.key},
            {"budget", value.budget},
            {"tokens", value.amount},
            {"agent", to_string(value.agent)}};
}

template<typename Range, typename Function> json to_array(const Range& values, Function function)
{
    json result = json::array();
    for (const auto& value : values) {
        result.push_back(function(value));
    }
    return result;
}

} // namespace

exit_status budget(session& run)
{
    run.require_no_arguments();
    auto accounts = read_accounts(run);
    const auto& workspace = run.settings().workspace;
    std::erase_if(accounts, [&](const auto& account) {
        return !workspace.empty() && account.workspace != workspace;
    });
    if (run.settings().as_json) {
        run.out() << json{{"budgets", to_array(accounts, account_to_json)}}.dump(indent) << '\n';
        return exit_status::success;
    }
    table lines(
        {"BUDGET", "WORKSPACE", "PREPAID", "SETTLED", "OPEN", "RESERVED", "UNPROVED", "STATE"});
    for (const auto& account : accounts) {
        lines.add({account.name, account.workspace, std::to_string(account.prepaid),
                   std::to_string(account.settled), std::to_string(account.open),
                   std::to_string(account.reserved), std::to_string(account.unproved),
                   account.stopped ? "stopped" : "ok"});
    }
    lines.print(run.out());
    return exit_status::success;
}

exit_status bill(session& run)
{
    run.require_no_arguments();
    const auto content = read_bill(run);
    if (run.settings().as_json) {
        run.out() << json{{"lines", to_array(content.lines, line_to_json)},
                          {"unproved", to_array(content.unproved, use_to_json)}}
                         .dump(indent)
                  << '\n';
        return exit_status::success;
    }
    table lines({"WORKSPACE", "KEY", "BUDGET", "TOKENS", "SERVICE", "STATE"});
    for (const auto& item : content.lines) {
        lines.add({item.line.key.workspace, item.line.key.key, item.line.budget,
                   std::to_string(item.line.charged), item.line.service,
                   item.is_void ? "void" : "billed"});
    }
    lines.print(run.out());
    if (!content.unproved.empty()) {
        tokens sum = 0;
        for (const auto& use : content.unproved) {
            sum += use.amount;
        }
        run.out() << "not billed: " << sum << " unproved tokens in " << content.unproved.size()
                  << " entries; see --json\n";
    }
    return exit_status::success;
}

} // namespace dotterelport::ctl
