#ifndef DOTTERELPORT_ROUTER_ROUTER_FIXTURE_HPP
#define DOTTERELPORT_ROUTER_ROUTER_FIXTURE_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "callers_server.hpp"
#include "dotterelport/base/hash.hpp"
#include "dotterelport/net/rpc.hpp"

namespace dotterelport::router {

/// An agent for tests: answers admissions by scripts and stores the admissions.
class fake_agent {
public:
    using script = std::function<void(const request::admission&, net::http_response&)>;

    fake_agent(net::event_loop& loop, const std::string& node, const std::string& service,
               const std::string& failure_domain = "coronel");

    membership::node_record record;
    std::vector<request::admission> admissions;
    /// One script for each admission; the last one is used for all further admissions.
    std::vector<script> scripts;
    /// State of the key in the answers to the RPCs lookup, refuse and cancel; refuse answers
    /// "refused" in place of "unknown".
    std::string key_state = "unknown";
    /// Names of the RPC methods that were called, in order.
    std::vector<std::string> calls;
    net::http_server server;

private:
    net::rpc_server rpc_;
};

/// @brief Script that admits the request and completes it with the words, one chunk each.
fake_agent::script complete_with(std::vector<std::string> words);

/// @brief Script that sends frames and ends the answer.
fake_agent::script send_frames(std::vector<request::frame> frames);

/// @brief Script that sends frames and then breaks the connection.
fake_agent::script break_after(net::event_loop& loop, std::vector<request::frame> frames);

request::chunk_frame word_chunk(std::uint64_t sequence, const std::string& word,
                                std::uint32_t attempt = 1);

/// The callers' port of a router with fake agents and reservations, on one event loop.
class router_fixture {
public:
    router_fixture();

    fake_agent& add_agent(const std::string& node, const std::string& service,
                          const std::string& failure_domain = "coronel");

    /// @brief Sends a request to the callers' port and waits for the answer.
    net::client_answer call(const std::string& method, const std::string& path,
                            const json& body = nullptr, const net::header_list& headers = {});
    net::client_answer call_text(const std::string& method, const std::string& path,
                                 const std::string& body, net::header_list headers);
    net::client_answer chat(const json& changes = json::object(),
                            const net::header_list& headers = {});

    net::event_loop loop;
    net::http_client http{loop};
    net::rpc_client rpc{http};
    net::endpoint platform_address{"127.0.0.1", 1};
    std::unique_ptr<object_store::client> platform;
    agent_pool agents{"coronel"};
    std::unique_ptr<crash_guard> crashes;
    recent_agents recent{100};
    std::mt19937_64 random{1};
    std::vector<net::endpoint> other_routers;
    reserve_result reservation;
    std::vector<reserve_request> reservations;
    std::set<incarnation> gone;
    int released = 0;
    release_request last_release;
    int retries_left = 100;
    int refreshes = 0;
    std::string not_ready;
    config::snapshot_ptr configuration;
    prometheus::Registry registry;
    metrics counters{registry};
    std::unique_ptr<dispatch_context> dispatch;
    std::unique_ptr<callers_server> callers;
    net::endpoint address;
    std::vector<std::unique_ptr<fake_agent>> fake_agents;

    /// @brief Starts the callers' port, with the platform at platform_address.
    void listen();
};

/// @brief Error code in an answer's body, or "" if there is none.
std::string error_code_of(const net::client_answer& answer);

} // namespace dotterelport::router

#endif
