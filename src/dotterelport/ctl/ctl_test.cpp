#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <unistd.h>

#include "dotterelport/ctl/bill_reader.hpp"
#include "dotterelport/ctl/commands.hpp"
#include "dotterelport/ctl/event_catalogue.hpp"
#include "dotterelport/ctl/ledger_reader.hpp"
#include "dotterelport/membership/node_record.hpp"
#include "dotterelport/standin/platform_server.hpp"

namespace dotterelport::ctl {
namespace {

const std::string small_configuration = R"({"format": 1,
 "services": [{"name": "coal-llm", "kind": "model", "models": ["ember-7b"],
               "max_output_tokens": 512}],
 "workspaces": [{"name": "depot", "services": ["coal-llm"],
   "budgets": [{"name": "depot-main", "services": ["*"], "prepaid_tokens": 1000}]}]})";

/// A file that is removed at the end of the test.
class temporary_file {
public:
    explicit temporary_file(const std::string& content)
    {
        ::close(::mkstemp(path_.data()));
        std::ofstream(path_) << content;
    }
    ~temporary_file() { std::remove(path_.c_str()); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_ = "/tmp/dotterelctl-test-XXXXXX";
};

struct fixture {
    net::event_loop loop;
    standin::platform_server server{loop, {}};
    std::string out;
    std::string err;

    exit_status run(const std::string& command, const std::vector<std::string>& arguments,
                    options settings = {})
    {
        settings.platform = server.address();
        settings.command = command;
        settings.arguments = arguments;
        settings.platform_timeout = milliseconds{700};
        std::ostringstream output;
        std::ostringstream errors;
        const auto status = run_command(loop, settings, output, errors);
        out = output.str();
        err = errors.str();
        return status;
    }
};

std::string with_prepaid(int prepaid)
{
    json value = json::parse(small_configuration);
    value["workspaces"][0]["budgets"][0]["prepaid_tokens"] = prepaid;
    return value.dump();
}

TEST_CASE("Exit statuses distinguish refusal, usage error, conflict and unavailable platform")
{
    fixture fleet;
    const temporary_file good(small_configuration);
    const temporary_file raised(with_prepaid(2'000));
    const temporary_file bad(with_prepaid(-1));
    CHECK(fleet.run("check", {good.path()}) == exit_status::success);
    CHECK(fleet.run("check", {bad.path()}) == exit_status::refused);
    CHECK(fleet.err.find(bad.path() + ": /workspaces/0/budgets/0/prepaid_tokens") !=
          std::string::npos);
    CHECK(fleet.run("check", {"/does/not/exist"}) == exit_status::refused);
    CHECK(fleet.run("check", {}) == exit_status::usage);
    CHECK(fleet.run("other", {}) == exit_status::usage);
    CHECK(fleet.run("show", {}) == exit_status::refused);
    CHECK(fleet.run("apply", {good.path()}) == exit_status::success);
    CHECK(fleet.run("diff", {raised.path()}) == exit_status::success);
    CHECK(fleet.out == "accepted generation 1, 1 differences\n"
                       "changed budget depot-main\n  prepaid_tokens: 1000 -> 2000\n");
    CHECK(fleet.run("apply", {raised.path()}, {.if_generation = 1}) == exit_status::success);
    CHECK(fleet.run("apply", {good.path()}, {.if_generation = 1}) == exit_status::conflict);
    CHECK(fleet.out.find("generation 1 was read, but generation 2 is accepted") !=
          std::string::npos);
    CHECK(fleet.run("show", {}, {.generation_only = true}) == exit_status::success);
    CHECK(fleet.out == "2\n");
    fleet.server.set_faults({.outage = true});
    CHECK(fleet.run("apply", {good.path()}) == exit_status::platform_unavailable);
    CHECK(fleet.err.find("nothing was changed") != std::string::npos);
    CHECK(fleet.run("show", {}) == exit_status::platform_unavailable);
}

TEST_CASE("The output of show can be applied again without a change")
{
    fixture fleet;
    const temporary_file first(small_configuration);
    fleet.run("apply", {first.path()});
    fleet.run("show", {});
    const temporary_file shown(fleet.out);
    CHECK(fleet.run("apply", {shown.path()}) == exit_status::success);
    CHECK(fleet.out.find("nothing was changed") != std::string::npos);
}

TEST_CASE("status and dump query the nodes that have a record in the platform")
{
    fixture fleet;
    net::http_server peers(fleet.loop);
    net::rpc_server methods(peers);
    methods.add("status", [](const json&) { return json{{"generation", 7}}; });
    methods.add("dump", [](const json&) { return json{{"state", "of router-a"}}; });
    membership::node_record answering;
    answering.id = {"router-a", 3};
    answering.peer_address = peers.listen({"127.0.0.1", 0});
    membership::node_record silent = answering;
    silent.id = {"router-b", 1};
    silent.peer_address = {"127.0.0.1", 1};
    for (const auto& record : {answering, silent}) {
        fleet.server.objects().write(membership::node_key(record.id.node), to_json(record).dump(),
                                     0);
    }
    fleet.server.objects().write("node/other", "not a record", 0);
    CHECK(fleet.run("status", {}, {.as_json = true}) == exit_status::success);
    const json result = json::parse(fleet.out);
    CHECK(result["generation"] == 0);
    REQUIRE(result["nodes"].size() == 2);
    CHECK(result["nodes"][0]["generation"] == 7);
    CHECK(result["nodes"][1]["answers"] == false);
    CHECK(fleet.run("status", {}) == exit_status::success);
    CHECK(fleet.out.find("no answer") != std::string::npos);
    CHECK(fleet.run("dump", {"router-a"}) == exit_status::success);
    CHECK(fleet.out.find("of router-a") != std::string::npos);
    CHECK(fleet.run("dump", {"router-b"}) == exit_status::refused);
    CHECK(fleet.run("dump", {"router-c"}) == exit_status::refused);
}

TEST_CASE("Accounts show the ledger, and the whole grant of an unreachable holder as reserved")
{
    config::document configuration;
    configuration.workspaces = {
        {.name = "depot",
         .services = {},
         .key_hashes = {},
         .budgets = {{"depot-main", {"*"}, 1'000}, {"depot-unused", {"*"}, 50}}}};
    budget::ledger_shard shard(0);
    shard.declare({.generation = 1, .budgets = {{"depot", "depot-main", 1'000}}});
    const incarnation reachable{"router-a", 2};
    const incarnation unreachable{"router-b", 1};
    shard.set_grant("depot-main", reachable, 300, 0);
    shard.set_grant("depot-main", unreachable, 200, 0);
    reservations_by_holder reservations;
    add_reservations(json::parse(R"({"budgets": {"shards": [{"holder": "router-a#2",
        "budgets": {"depot-main": {"reserved": 40}}}]}})"),
                     reservations);
    const auto accounts = combine_accounts(configuration, {shard}, reservations);
    REQUIRE(accounts.size() == 2);
    CHECK(accounts[0].open == 500);
    CHECK(accounts[0].reserved == 40 + 200);
    CHECK(accounts[0].ceiling == 1'000);
    CHECK(accounts[1].name == "depot-unused");
    CHECK(accounts[1].prepaid == 50);
    CHECK(accounts[1].open == 0);
}

TEST_CASE("A bill marks the lines that the audit voided")
{
    fixture fleet;
    const auto batch_of = [](const incarnation& holder, tokens charged) {
        budget::bill_batch batch{
            .shard = 1, .holder = holder, .number = 1, .lines = {}, .unproved = {}};
        batch.lines.push_back({.key = {"depot", "k1"},
                               .budget = "depot-main",
                               .charged = charged,
                               .service = "coal-llm",
                               .agent = {"agent-1", 1}});
        return batch;
    };
    const incarnation first{"router-a", 1};
    const incarnation second{"router-b", 1};
    for (const auto& batch : {batch_of(first, 10), batch_of(second, 12)}) {
        fleet.server.objects().write(budget::bill_object_key(1, batch.holder, 1),
                                     to_json(batch).dump(), 0);
    }
    const budget::void_batch voids{.shard = 1,
                                   .number = 1,
                                   .cursor = 2,
                                   .lines = {{{"depot", "k1"}, "depot-main", 12, second, 1}}};
    fleet.server.objects().write(budget::void_object_key(1, 1), to_json(voids).dump(), 0);
    CHECK(fleet.run("bill", {}, {.as_json = true}) == exit_status::success);
    const json lines = json::parse(fleet.out)["lines"];
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["tokens"] == 10);
    CHECK(lines[0]["void"] == false);
    CHECK(lines[1]["tokens"] == 12);
    CHECK(lines[1]["void"] == true);
    CHECK(combine_bill({batch_of(first, 10)}, {}, "other").lines.empty());
}

TEST_CASE("The numbers of log events are unique")
{
    std::set<int> numbers;
    for (const auto& event : event_catalogue()) {
        CAPTURE(event.name);
        CHECK(numbers.insert(event.number).second);
        CHECK_FALSE(event.meaning.empty());
    }
}

} // namespace
} // namespace dotterelport::ctl
