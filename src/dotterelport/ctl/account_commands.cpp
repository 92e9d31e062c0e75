#include <algorithm>

#include "dotterelport/ctl/bill_reader.hpp"
#include "dotterelport/ctl/commands.hpp"
#include "dotterelport/ctl/ledger_reader.hpp"
#include "dotterelport/ctl/table.hpp"

namespace dotterelport::ctl {
namespace {

constexpr int indent = 1;

json account_to_json(const account_summary& summary)
{
    return {{"name", summary.name},         {"workspace", summary.workspace},
            {"prepaid", summary.prepaid},   {"ceiling", summary.ceiling},
            {"settled", summary.settled},   {"open", summary.open},
            {"reserved", summary.reserved}, {"unproved", summary.unproved},
            {"stopped", summary.stopped}};
}

json line_to_json(const billed_line& billed)
{
    return {{"workspace", billed.line.key.workspace},
            {"key", billed.line.key.key},
            {"budget", billed.line.budget},
            {"tokens", billed.line.charged},
            {"prompt_tokens", billed.line.prompt_tokens},
            {"completion_tokens", billed.line.completion_tokens},
            {"service", billed.line.service},
            {"agent", to_string(billed.line.agent)},
            {"holder", to_string(billed.holder)},
            {"batch", billed.batch_number},
            {"void", billed.is_void}};
}

json use_to_json(const budget::unproved_use& use_entry)
{
    return {{"workspace", use_entry.key.workspace},
            {"key", use_entry.key.key},
            {"budget", use_entry.budget},
            {"tokens", use_entry.amount},
            {"agent", to_string(use_entry.agent)}};
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

exit_status budget(session& context)
{
    context.require_no_arguments();
    auto accounts = read_accounts(context);
    const auto& workspace = context.settings().workspace;
    std::erase_if(accounts, [&](const auto& account) {
        return !workspace.empty() && account.workspace != workspace;
    });
    if (context.settings().as_json) {
        context.out() << json{{"budgets", to_array(accounts, account_to_json)}}.dump(indent)
                      << '\n';
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
    lines.print(context.out());
    return exit_status::success;
}

exit_status bill(session& context)
{
    context.require_no_arguments();
    const auto content = read_bill(context);
    if (context.settings().as_json) {
        context.out() << json{{"lines", to_array(content.lines, line_to_json)},
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
    lines.print(context.out());
    if (!content.unproved.empty()) {
        tokens sum = 0;
        for (const auto& use : content.unproved) {
            sum += use.amount;
        }
        context.out() << "not billed: " << sum << " unproved tokens in " << content.unproved.size()
                      << " entries; see --json\n";
    }
    return exit_status::success;
}

} // namespace dotterelport::ctl
