#include <algorithm>

#include "dotterelport/config/parts.hpp"
#include "dotterelport/ctl/commands.hpp"
#include "dotterelport/ctl/nodes.hpp"
#include "dotterelport/ctl/table.hpp"

namespace dotterelport::ctl {
namespace {

constexpr int indent = 2;

std::uint64_t accepted_generation(session& context)
{
    const auto result = context.read<object_store::read_result>(
        [&](auto done) { context.platform().read(config::manifest_key, std::move(done)); },
        [](const auto& manifest_read) {
            return manifest_read.status != object_store::read_status::unavailable;
        });
    return result.status == object_store::read_status::found
               ? config::parse_manifest(result.value.value, config::manifest_key).generation
               : 0;
}

json describe_node(const membership::node_record& node, const net::rpc_result& answer)
{
    json entry = {{"node", node.id.node},           {"incarnation", to_string(node.id)},
                  {"role", to_string(node.role)},   {"failure_domain", node.failure_domain},
                  {"state", to_string(node.state)}, {"answers", answer.ok()}};
    if (answer.ok()) {
        entry["generation"] = answer.value.value("generation", std::uint64_t{0});
        entry["leaving"] = answer.value.value("leaving", false);
    }
    return entry;
}

std::string generation_text(const json& entry)
{
    return entry["answers"] ? entry["generation"].dump() : "no answer";
}

json dump_from_operators_port(session& context, const net::endpoint& address)
{
    const auto answer = context.wait<net::client_answer>([&](auto done) {
        context.http().fetch({.to = address, .path = "/dump"}, std::move(done));
    });
    json body = json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || body.is_discarded()) {
        throw error(to_string(address) + " did not answer with a dump");
    }
    return body;
}

json dump_from_node(session& context, const std::string& name)
{
    const auto nodes = read_nodes(context);
    const auto found = std::find_if(nodes.begin(), nodes.end(),
                                    [&](const auto& node) { return node.id.node == name; });
    if (found == nodes.end()) {
        throw error("there is no node " + name);
    }
    const auto answers = context.call_all({found->peer_address}, "dump");
    if (!answers.front().ok()) {
        throw error("node " + name + " at " + to_string(found->peer_address) +
                    " did not answer: " + answers.front().message);
    }
    return answers.front().value;
}

} // namespace

exit_status status(session& context)
{
    context.require_no_arguments();
    const auto generation = accepted_generation(context);
    const auto nodes = read_nodes(context);
    std::vector<net::endpoint> addresses;
    addresses.reserve(nodes.size());
    for (const auto& node : nodes) {
        addresses.push_back(node.peer_address);
    }
    const auto answers = context.call_all(addresses, "status");
    json entries = json::array();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        entries.push_back(describe_node(nodes[i], answers[i]));
    }
    if (context.settings().as_json) {
        context.out() << json{{"generation", generation}, {"nodes", entries}}.dump(indent) << '\n';
        return exit_status::success;
    }
    context.out() << "accepted generation " << generation << '\n';
    table lines({"NODE", "ROLE", "FAILURE DOMAIN", "STATE", "GENERATION"});
    for (const auto& entry : entries) {
        lines.add({entry["incarnation"], entry["role"], entry["failure_domain"], entry["state"],
                   generation_text(entry)});
    }
    lines.print(context.out());
    return exit_status::success;
}

exit_status dump(session& context)
{
    const auto& target = context.only_argument("a node's name, or ip:port of its operators' port");
    const bool is_address = target.find(':') != std::string::npos;
    const json state = is_address ? dump_from_operators_port(context, net::parse_endpoint(target))
                                  : dump_from_node(context, target);
    context.out() << state.dump(indent) << '\n';
    return exit_status::success;
}

} // namespace dotterelport::ctl
