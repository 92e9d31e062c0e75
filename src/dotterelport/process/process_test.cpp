#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/text_serializer.h>
#include <unistd.h>

#include "dotterelport/base/error.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/tcp_connection.hpp"
#include "dotterelport/process/limited_clients.hpp"
#include "dotterelport/process/operators_server.hpp"
#include "dotterelport/process/settings.hpp"

namespace dotterelport::process {
namespace {

json valid_router_settings()
{
    return {{"name", "router-a"},
            {"region", "south"},
            {"failure_domain", "coronel"},
            {"platform", "127.0.0.1:9000"},
            {"listen",
             {{"callers", "127.0.0.1:1"}, {"peers", "127.0.0.1:2"}, {"operators", "127.0.0.1:3"}}}};
}

/// A settings file that is removed at the end of the test.
class settings_file {
public:
    explicit settings_file(const json& content)
        : path_("/tmp/dotterelport-process-test-" + std::to_string(getpid()) + ".json")
    {
        std::ofstream(path_) << content.dump();
    }
    ~settings_file() { std::remove(path_.c_str()); }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

TEST_CASE("Valid settings are read, with defaults for omitted keys")
{
    json document = valid_router_settings();
    document["address_overrides"] = {{"127.0.0.1:9", "127.0.0.1:10"}};
    document["log"] = {{"level", "warning"}};
    const settings_file file(document);
    const settings result = read_settings(file.path(), daemon_kind::router);
    CHECK(result.vm == "router-a");
    CHECK(result.callers_address == net::endpoint{"127.0.0.1", 1});
    CHECK(result.address_overrides.at({"127.0.0.1", 9}) == net::endpoint{"127.0.0.1", 10});
    CHECK(result.log_level == severity::warning);
    CHECK(result.memory_mb == 256);
    CHECK(result.max_fds == 1'024);
}

TEST_CASE("Settings with an unknown key, a wrong type or a value out of range are rejected")
{
    struct row {
        std::string pointer;
        json value;
        std::string error_path;
    };
    const auto [pointer, value, error_path] =
        GENERATE(row{"/colour", "red", ""}, row{"/name", 5, "/name"},
                 row{"/drain_timeout_ms", -1, "/drain_timeout_ms"},
                 row{"/memory_mb", 0, "/memory_mb"}, row{"/max_fds", "many", "/max_fds"},
                 row{"/listen/peers", "127.0.0.1:99999", "/listen/peers"},
                 row{"/listen/peers", "localhost:80", "/listen/peers"},
                 row{"/log", {{"level", "loud"}}, "/log/level"}, row{"/service", "coal-llm", ""});
    json document = valid_router_settings();
    document[json::json_pointer(pointer)] = value;
    const settings_file file(document);
    try {
        read_settings(file.path(), daemon_kind::router);
        FAIL("accepted a bad value at " + pointer);
    } catch (const format_error& failure) {
        CHECK(failure.source() == file.path());
        CHECK(failure.path() == error_path);
    }
}

TEST_CASE("The operators' port serves health, readiness, metrics and the state dump")
{
    constexpr milliseconds timeout{2'000};
    net::event_loop loop;
    net::http_client client(loop);
    std::string reason = "no configuration";
    const net::endpoint address{"127.0.0.1", 18'931};
    operators_server server(loop, {address, [&] { return reason; },
                                   [] {
                                       return json{{"state", "ok"}};
                                   }});
    prometheus::BuildCounter()
        .Name("requests_total")
        .Register(server.metrics())
        .Add({})
        .Increment();
    const auto fetch = [&](const std::string& path) {
        net::client_answer result;
        client.fetch({.to = address, .path = path}, [&](const net::client_answer& answer) {
            result = answer;
            loop.stop();
        });
        loop.run_for(timeout);
        return result;
    };
    CHECK(fetch("/healthz").status == 200);
    CHECK(fetch("/readyz").status == 503);
    reason.clear();
    CHECK(fetch("/readyz").status == 200);
    CHECK_THAT(fetch("/metrics").body, Catch::Contains("requests_total 1"));
    CHECK(json::parse(fetch("/dump").body)["state"] == "ok");
}

// Guards against clients that are closed without a trace for operators.
TEST_CASE("Clients that give way are counted by server and cause")
{
    net::event_loop loop;
    prometheus::Registry registry;
    limited_clients subject(loop, registry,
                            {.metric = "limited_clients_total",
                             .event = {1, severity::warning, "clients_limited", "test"}});
    net::http_server server(
        loop, {.clients = net::client_limits{
                   .bytes = 10'000, .connections = 2, .reserve = 5'000, .small = 1'000}});
    subject.observe("callers", server);
    const net::endpoint address = server.listen({"127.0.0.1", 0});
    constexpr std::size_t client_count = 3;
    std::vector<std::unique_ptr<net::tcp_connector>> connectors;
    connectors.reserve(client_count);
    std::vector<std::unique_ptr<net::tcp_connection>> connections;
    for (std::size_t i = 0; i < client_count; ++i) {
        connectors.push_back(std::make_unique<net::tcp_connector>(
            loop, address, milliseconds{1'000}, [&](std::unique_ptr<net::tcp_connection> opened) {
                connections.push_back(std::move(opened));
            }));
    }
    loop.run_for(milliseconds{100});
    CHECK(subject.dump() == json{{"callers", {{"bytes", 0}, {"connections", 2}}}});
    CHECK_THAT(prometheus::TextSerializer().Serialize(registry.Collect()),
               Catch::Contains("cause=\"idle_connection\"") &&
                   Catch::Contains("server=\"callers\"") && Catch::Contains("} 1"));
}

} // namespace
} // namespace dotterelport::process
