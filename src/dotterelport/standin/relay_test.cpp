#include <catch2/catch.hpp>

#include <string>

#include "dotterelport/base/error.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/standin/relay.hpp"

namespace dotterelport::standin {
namespace {

constexpr milliseconds test_timeout{3'000};

/// An HTTP server behind a link.
struct fixture {
    net::event_loop loop;
    net::http_server server{loop, {.max_body_bytes = 16U << 20U}};
    net::http_client client{loop};
    relay links{loop};
    net::endpoint address;

    explicit fixture(milliseconds delay = milliseconds{0})
    {
        server.route("POST", "/echo", [](const auto& request, const auto& response) {
            response->send(200, {}, request.body);
        });
        server.route("POST", "/late", [this](const auto& request, const auto& response) {
            loop.schedule(milliseconds{100},
                          [response, body = request.body] { response->send(200, {}, body); });
        });
        const net::endpoint any_port{"127.0.0.1", 0};
        const auto target = server.listen(any_port);
        address = links.add({.name = "a-b", .listen = any_port, .target = target, .delay = delay});
    }

    net::client_answer post(const std::string& path, const std::string& body)
    {
        net::client_answer result;
        client.fetch({.to = address,
                      .method = "POST",
                      .path = path,
                      .body = body,
                      .answer_timeout = milliseconds{300}},
                     [&](const net::client_answer& answer) {
                         result = answer;
                         loop.stop();
                     });
        loop.run_for(test_timeout);
        return result;
    }
};

TEST_CASE("An open link relays bodies of any size unchanged, in both directions")
{
    fixture net(milliseconds{GENERATE(0, 2)});
    const std::size_t size = GENERATE(1U, 100'000U, 5'000'000U);
    std::string body;
    for (std::size_t i = 0; body.size() < size; ++i) {
        body += std::to_string(i) + ",";
    }
    const auto answer = net.post("/echo", body);
    CHECK(answer.status == 200);
    CHECK(answer.body == body);
    CHECK(net.links.to_json()["links"][0]["bytes"] > 2 * size);
}

TEST_CASE("A cut link relays nothing until it is restored")
{
    struct row {
        link_state cut;
        /// Minimum time until a request that is in progress at the cut fails.
        milliseconds min_time_to_failure;
    };
    const auto [cut, min_time_to_failure] = GENERATE(row{link_state::refuse, milliseconds{0}},
                                                     row{link_state::swallow, milliseconds{0}},
                                                     row{link_state::freeze, milliseconds{290}});
    fixture net;
    REQUIRE(net.post("/echo", "before").status == 200);
    net.loop.schedule(milliseconds{20}, [&net, state = cut] { net.links.set_state("a-b", state); });
    const milliseconds start = steady_now();
    CHECK(net.post("/late", "in progress").failed());
    CHECK(steady_now() - start >= min_time_to_failure);
    CHECK(net.post("/echo", "during").failed());
    net.links.set_state("a-b", link_state::open);
    CHECK(net.post("/echo", "after").body == "after");
    CHECK_THROWS_AS(net.links.set_state("other", link_state::open), error);
}

} // namespace
} // namespace dotterelport::standin
