/// Serves a JSON-RPC method and calls it, on one event loop.

#include <cstdlib>
#include <iostream>

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/net/rpc.hpp"

int main()
{
    using namespace dotterelport;
    constexpr milliseconds timeout{2'000};

    net::event_loop loop;
    net::http_server server(loop);
    net::rpc_server methods(server);
    methods.add("multiply", [](const json& parameters) {
        return json{{"product", parameters.at("a").get<int>() * parameters.at("b").get<int>()}};
    });
    const net::endpoint address = server.listen({"127.0.0.1", 0});

    net::http_client http(loop);
    net::rpc_client rpc(http);
    bool succeeded = false;
    rpc.call(address, "multiply", {{"a", 6}, {"b", 7}}, timeout,
             [&](const net::rpc_result& result) {
                 succeeded = result.ok() && result.value["product"] == 42;
                 std::cout << result.value << '\n';
                 loop.stop();
             });
    loop.run_for(timeout);
    return succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
}
