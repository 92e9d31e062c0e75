/// Measures how memory, bytes and CPU time grow with the number of workspaces, budgets, nodes,
/// servers and reservations, for docs/CAPACITY.md.

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>

#include <malloc.h>
#include <tclap/CmdLine.h>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/budget/grant_holder.hpp"
#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/config/parts.hpp"
#include "dotterelport/config/snapshot.hpp"
#include "dotterelport/membership/node_view.hpp"
#include "dotterelport/routing/balancer.hpp"

namespace {

using namespace dotterelport;

constexpr std::array<int, 4> sizes{500, 1'000, 2'000, 4'000};

/// Heap growth and processor time since construction.
class measurement {
public:
    [[nodiscard]] static double heap() { return static_cast<double>(mallinfo2().uordblks); }
    [[nodiscard]] double heap_bytes() const { return heap() - heap_; }
    [[nodiscard]] double microseconds() const
    {
        return static_cast<double>(std::clock() - clock_) * 1e6 / CLOCKS_PER_SEC;
    }

private:
    double heap_ = heap();
    std::clock_t clock_ = std::clock();
};

/// Measured values of one size, by name.
using point = std::map<std::string, double>;

/// Slope of the least-squares line of a value over the sizes.
double slope(const std::vector<point>& points, const std::string& name)
{
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t i = 0; i < points.size(); ++i) {
        mean_x += sizes[i] / static_cast<double>(points.size());
        mean_y += points[i].at(name) / static_cast<double>(points.size());
    }
    double products = 0;
    double squares = 0;
    for (std::size_t i = 0; i < points.size(); ++i) {
        products += (sizes[i] - mean_x) * (points[i].at(name) - mean_y);
        squares += (sizes[i] - mean_x) * (sizes[i] - mean_x);
    }
    return products / squares;
}

membership::node_record node(int index)
{
    membership::node_record record;
    record.id = {"router-" + std::to_string(index), 1};
    record.vm = "vm-router-" + std::to_string(index);
    record.region = "north";
    record.failure_domain = "domain-" + std::to_string(index % 6);
    record.peer_address = {"10.0.0.1", 7101};
    record.registration_token = "0123456789abcdef0123456789abcdef";
    return record;
}

point measure_nodes(int size)
{
    object_store::listing list;
    list.available = true;
    list.revision = 1;
    double bytes = 0;
    for (int i = 0; i < size; ++i) {
        const auto record = node(i);
        list.objects.push_back({membership::node_key(record.id.node), 1, to_json(record).dump()});
        bytes += static_cast<double>(list.objects.back().value.size());
    }
    const measurement applying;
    membership::node_view view(node(0));
    view.apply(list, milliseconds{0});
    point result{{"heap_bytes", applying.heap_bytes()},
                 {"record_bytes", bytes},
                 {"apply_us", applying.microseconds()}};
    const measurement choosing;
    constexpr int repeats = 20;
    for (int i = 0; i < repeats; ++i) {
        (void)view.shard_owner(static_cast<std::uint32_t>(i), "domain-1", milliseconds{1});
    }
    result["shard_owner_us"] = choosing.microseconds() / repeats;
    const measurement copying;
    for (int i = 0; i < repeats; ++i) {
        (void)view.live_nodes(membership::node_role::router, milliseconds{1});
    }
    result["live_nodes_us"] = copying.microseconds() / repeats;
    const measurement probing;
    (void)view.routers_to_probe(milliseconds{1});
    result["routers_to_probe_us"] = probing.microseconds();
    return result;
}

config::document document_of(int size)
{
    config::document configuration;
    configuration.services.push_back({.name = "llm",
                                      .kind = config::service_kind::model,
                                      .models = {"model"},
                                      .max_output_tokens = 512,
                                      .routes = {},
                                      .lookup_path = {}});
    for (int i = 0; i < size; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        configuration.workspaces.push_back({.name = name,
                                            .services = {"llm"},
                                            .key_hashes = {std::string(64, 'a')},
                                            .budgets = {{name + "-main", {"*"}, 1'000'000}}});
    }
    return configuration;
}

point measure_workspaces(int size)
{
    const auto configuration = document_of(size);
    const measurement splitting;
    const auto parts = config::split(configuration, "probe");
    point result{{"split_us", splitting.microseconds()}};
    double bytes = 0;
    for (const auto& [hash, content] : parts.contents) {
        bytes += static_cast<double>(content.size());
    }
    result["part_bytes"] = bytes;
    const measurement parsing;
    for (const auto& [hash, content] : parts.contents) {
        config::parse_part(content, "probe");
    }
    result["parse_us"] = parsing.microseconds();
    auto snapshot_configuration = configuration;
    const measurement building;
    const config::snapshot snapshot(1, std::move(snapshot_configuration));
    result["snapshot_index_heap_bytes"] = building.heap_bytes();
    result["snapshot_us"] = building.microseconds();
    const measurement copying;
    const auto configuration_copy = std::make_unique<config::document>(configuration);
    result["document_heap_bytes"] = copying.heap_bytes();
    return result;
}

point measure_budgets(int size)
{
    budget::declaration declared{.generation = 1, .budgets = {}};
    declared.budgets.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        declared.budgets.push_back({name, name + "-main", 1'000'000});
    }
    const measurement filling;
    budget::ledger_shard shard(0);
    shard.declare(declared);
    for (const auto& item : declared.budgets) {
        shard.set_grant(item.budget, {"router-1", 1}, 1'000, 0);
    }
    point result{{"heap_bytes", filling.heap_bytes()}};
    const measurement writing;
    const std::string text = to_json(shard).dump();
    result["format_us"] = writing.microseconds();
    result["object_bytes"] = static_cast<double>(text.size());
    const measurement reading;
    budget::parse_ledger_shard(text);
    result["parse_us"] = reading.microseconds();
    return result;
}

point measure_reservations(int size)
{
    std::vector<request_key> keys;
    keys.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) {
        keys.push_back({"workspace-" + std::to_string(i % 100), "key-" + std::to_string(i)});
    }
    const incarnation agent{"agent-1", 1};
    budget::grant_holder holder({.expected_reservations = 1});
    holder.account("main").amount = 1'000'000'000;
    const measurement reserving;
    for (const auto& key : keys) {
        holder.reserve({.key = key,
                        .budget = "main",
                        .upper_tokens = 600,
                        .agent = agent,
                        .digest = "0123456789abcdef0123456789abcdef",
                        .router = "router-1"});
    }
    return {{"heap_bytes", reserving.heap_bytes()},
            {"reserve_us", reserving.microseconds()},
            {"reserved", static_cast<double>(holder.reservation_count())}};
}

json agent_status(int prefixes)
{
    json hashes = json::array();
    for (int i = 0; i < prefixes; ++i) {
        hashes.push_back("0123456789abcdef");
    }
    return {
        {"node", "agent-1"},
        {"incarnation", "agent-1#1"},
        {"service", "llm"},
        {"leaving", false},
        {"generation", 1},
        {"load", {{"running", 10}, {"waiting", 2}, {"capacity", 16}, {"tokens_per_second", 900.5}}},
        {"cache", {{"sequence", 100}, {"prefixes", hashes}}}};
}

point measure_servers(int size)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) {
        names.push_back("agent-" + std::to_string(i));
    }
    const json status = agent_status(0);
    const measurement updating;
    routing::balancer balancer;
    for (const auto& name : names) {
        balancer.update_status(name, status, milliseconds{0});
    }
    point result{{"heap_bytes", updating.heap_bytes()}, {"status_us", updating.microseconds()}};
    const routing::choice_request request{
        .service = "llm", .prefix = {1, 2, 3}, .prompt_tokens = 200, .excluded = {}};
    const measurement choosing;
    constexpr int repeats = 20;
    for (int i = 0; i < repeats; ++i) {
        balancer.choose(request, names, milliseconds{1});
    }
    result["choose_us"] = choosing.microseconds() / repeats;
    return result;
}

point measure_prefixes(int size)
{
    std::vector<routing::prefix_hash> hashes;
    hashes.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) {
        hashes.push_back(hash64(std::to_string(i)));
    }
    const measurement replacing;
    routing::prefix_view view;
    view.replace("agent-1", 1, hashes);
    return {{"heap_bytes", replacing.heap_bytes()},
            {"replace_us", replacing.microseconds()},
            {"status_bytes", static_cast<double>(agent_status(size).dump().size())}};
}

json measure(const std::function<point(int)>& measure_size)
{
    std::vector<point> points;
    points.reserve(sizes.size());
    for (const int size : sizes) {
        points.push_back(measure_size(size));
    }
    json result = {{"points", json::array()}, {"slopes", json::object()}};
    for (std::size_t i = 0; i < points.size(); ++i) {
        json item = points[i];
        item["size"] = sizes[i];
        result["points"].push_back(item);
    }
    for (const auto& [name, value] : points.front()) {
        result["slopes"][name] = slope(points, name);
    }
    return result;
}

json message_sizes()
{
    const json call = {{"jsonrpc", "2.0"}, {"id", 1}};
    const auto bytes = [&](const std::string& method, const json& parameters) {
        json message = call;
        message["method"] = method;
        message["params"] = parameters;
        return message.dump().size();
    };
    json answer = call;
    answer["result"] = agent_status(0);
    return {{"status_call", bytes("status", json::object())},
            {"status_answer", answer.dump().size()},
            {"config_manifest_call", bytes("config_manifest", {{"generation", 1'000}})},
            {"reserve_call", bytes("reserve", {{"workspace", "workspace-1000"},
                                               {"key", std::string(32, 'k')},
                                               {"budget", "workspace-1000-main"},
                                               {"upper_tokens", 1'200},
                                               {"agent", "agent-100#1"},
                                               {"router", "router-100#1"},
                                               {"digest", std::string(32, 'd')},
                                               {"lend", false},
                                               {"caller_key", false}})}};
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Measures slopes for docs/CAPACITY.md", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> out("", "out", "File for the results", false,
                                     "out/capacity/slopes.json", "path", command);
    command.parse(argc, argv);
    const json result = {
        {"node", measure(measure_nodes)},     {"workspace", measure(measure_workspaces)},
        {"budget", measure(measure_budgets)}, {"reservation", measure(measure_reservations)},
        {"server", measure(measure_servers)}, {"prefix", measure(measure_prefixes)},
        {"message_bytes", message_sizes()}};
    const std::filesystem::path path(out.getValue());
    if (path.has_parent_path()) {
        std::filesystem::create_directories(path.parent_path());
    }
    std::ofstream(path) << result.dump(1) << "\n";
    for (const auto& [subject, value] : result.items()) {
        std::cout << subject << " " << value.value("slopes", value).dump() << "\n";
    }
    return 0;
}
