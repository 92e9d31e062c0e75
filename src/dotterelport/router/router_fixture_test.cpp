#include "router_fixture.hpp"

#include <utility>

namespace dotterelport::router {
namespace {

constexpr milliseconds test_timeout{10'000};

config::document test_document()
{
    config::document result;
    result.services.resize(3);
    auto& model = result.services[0];
    model.name = "coal-llm";
    model.models = {"ember-7b"};
    model.max_output_tokens = 512;
    auto& other_model = result.services[1];
    other_model.name = "lot-llm";
    other_model.models = {"slate-3b"};
    other_model.max_output_tokens = 64;
    auto& dispatch = result.services[2];
    dispatch.name = "dispatch";
    dispatch.kind = config::service_kind::application;
    dispatch.tokens_per_call = 1;
    dispatch.routes = {{"POST", "/bookings", false, priority::interactive},
                       {"GET", "/stock/*", true, std::nullopt}};
    dispatch.lookup_path = "/bookings/{key}";
    result.workspaces.resize(2);
    auto& depot = result.workspaces[0];
    depot.name = "depot";
    depot.services = {"coal-llm", "dispatch"};
    depot.key_hashes = {sha256_hex("depot-key")};
    depot.budgets = {{"depot-main", {"*"}, 200'000}};
    auto& yard = result.workspaces[1];
    yard.name = "yard";
    yard.services = {"coal-llm"};
    yard.key_hashes = {sha256_hex("yard-key")};
    return result;
}

} // namespace

fake_agent::fake_agent(net::event_loop& loop, const std::string& node, const std::string& service,
                       const std::string& failure_domain)
    : server(loop), rpc_(server)
{
    record.id = {node, 1};
    record.role = membership::node_role::agent;
    record.service = service;
    record.failure_domain = failure_domain;
    server.route("POST", "/v1/requests", [this](const auto& request, const auto& response) {
        admissions.push_back(request::parse_admission(json::parse(request.body)));
        const auto index = std::min(admissions.size(), scripts.size()) - 1;
        scripts.at(index)(admissions.back(), *response);
    });
    for (const std::string method : {"lookup", "refuse", "cancel"}) {
        rpc_.add(method, [this, method](const json&) {
            calls.push_back(method);
            const std::string state =
                method == "refuse" && key_state == "unknown" ? "refused" : key_state;
            return json{{"state", state}, {"attempt", 1}, {"verdict", "not_run"}};
        });
    }
    record.peer_address = server.listen({"127.0.0.1", 0});
}

request::chunk_frame word_chunk(std::uint64_t sequence, const std::string& word,
                                std::uint32_t attempt)
{
    const json choice = {{"index", 0}, {"delta", {{"content", word}}}, {"finish_reason", nullptr}};
    return {attempt, sequence, {{"id", "engine-id"}, {"choices", json::array({choice})}}};
}

fake_agent::script complete_with(std::vector<std::string> words)
{
    return [words = std::move(words)](const request::admission& admission,
                                      net::http_response& response) {
        std::vector<request::frame> frames{request::admitted_frame{admission.attempt, false}};
        for (std::size_t i = admission.offset; i < words.size(); ++i) {
            frames.emplace_back(word_chunk(i, words[i], admission.attempt));
        }
        frames.emplace_back(request::end_frame{admission.attempt, verdict::ran, 3,
                                               static_cast<tokens>(words.size())});
        send_frames(std::move(frames))(admission, response);
    };
}

fake_agent::script send_frames(std::vector<request::frame> frames)
{
    return [frames = std::move(frames)](const request::admission&, net::http_response& response) {
        response.start(200, {{"content-type", "application/x-ndjson"}});
        for (const auto& frame : frames) {
            response.write(request::format_frame(frame) + "\n");
        }
        response.finish();
    };
}

fake_agent::script break_after(net::event_loop& loop, std::vector<request::frame> frames)
{
    return [&loop, frames = std::move(frames)](const request::admission&,
                                               net::http_response& response) {
        response.start(200, {});
        for (const auto& frame : frames) {
            response.write(request::format_frame(frame) + "\n");
        }
        // The fixture's server keeps the response until the connection is closed.
        loop.schedule(milliseconds{30}, [&response] { response.abort(); });
    };
}

router_fixture::router_fixture()
    : configuration(std::make_shared<config::snapshot>(7, test_document()))
{
    reservation.status = reserve_status::reserved;
    reservation.holder = {"router-a", 5};
    reservation.holder_address = "127.0.0.1:7101";
}

void router_fixture::listen()
{
    platform = std::make_unique<object_store::client>(http, platform_address);
    crashes = std::make_unique<crash_guard>(
        crash_guard::context{rpc, *platform, [this] { return other_routers; }});
    dispatch = std::make_unique<dispatch_context>(dispatch_context{
        .loop = loop,
        .http = http,
        .rpc = rpc,
        .platform = *platform,
        .agents = agents,
        .crashes = *crashes,
        .recent = recent,
        .random = random,
        .configuration = [this] { return configuration; },
        .self =
            [] {
                return incarnation{"router-a", 1};
            },
        .refresh_configuration = [this] { ++refreshes; },
        .reserve =
            [this](const reserve_request& request, const auto& done) {
                reservations.push_back(request);
                auto result = reservation;
                if (result.status == reserve_status::reserved) {
                    result.agent = request.agent;
                }
                loop.post([done, result] { done(result); });
            },
        .release =
            [this](const release_request& request) {
                ++released;
                last_release = request;
            },
        .is_gone = [this](const incarnation& agent) { return gone.contains(agent); },
        .find_agent = [this](const incarnation& agent) { return agents.find(agent); },
        .report_contact = [](const auto&, bool) {},
        .report_leaving = [](const auto&) {},
        .record_first_attempt = [](const auto&) {},
        .consume_retry = [this](const auto&) { return retries_left-- > 0; },
    });
    callers = std::make_unique<callers_server>(
        callers_server::context{*dispatch, counters, [this] { return not_ready; }});
    address = callers->listen({"127.0.0.1", 0});
}

fake_agent& router_fixture::add_agent(const std::string& node, const std::string& service,
                                      const std::string& failure_domain)
{
    fake_agents.push_back(std::make_unique<fake_agent>(loop, node, service, failure_domain));
    std::vector<membership::node_record> live;
    for (const auto& fake : fake_agents) {
        live.push_back(fake->record);
    }
    agents.update(live);
    return *fake_agents.back();
}

net::client_answer router_fixture::call_text(const std::string& method, const std::string& path,
                                             const std::string& body, net::header_list headers)
{
    if (!callers) {
        listen();
    }
    net::client_request request{.to = address, .method = method, .path = path};
    if (!net::find_header(headers, "authorization")) {
        headers.emplace_back("authorization", "Bearer depot-key");
    }
    request.headers = std::move(headers);
    request.body = body;
    request.answer_timeout = test_timeout;
    net::client_answer result;
    result.message = "no answer within the timeout of the test";
    http.fetch(request, [&](const net::client_answer& answer) {
        result = answer;
        loop.stop();
    });
    loop.run_for(test_timeout);
    return result;
}

net::client_answer router_fixture::call(const std::string& method, const std::string& path,
                                        const json& body, const net::header_list& headers)
{
    return call_text(method, path, body.is_null() ? "" : body.dump(), headers);
}

net::client_answer router_fixture::chat(const json& changes, const net::header_list& headers)
{
    json body = {{"model", "ember-7b"},
                 {"messages", {{{"role", "user"}, {"content", "review the lot"}}}}};
    body.update(changes);
    return call("POST", "/v1/chat/completions", body, headers);
}

std::string error_code_of(const net::client_answer& answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value(json::json_pointer("/error/code"), std::string()) : "";
}

} // namespace dotterelport::router
