/// Streams server-sent events from an HTTP server and reads them with the client.

#include <cstdlib>
#include <iostream>
#include <string>

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/net/line_splitter.hpp"

int main()
{
    using namespace dotterelport;
    constexpr milliseconds timeout{2'000};
    static constexpr int event_count = 3;

    net::event_loop loop;
    net::http_server server(loop);
    server.route("GET", "/events", [&](const net::http_request&, const auto& response) {
        response->start(200, {{"content-type", "text/event-stream"}});
        for (int i = 0; i < event_count; ++i) {
            loop.schedule(milliseconds{20 * i}, [response, i] {
                response->write(net::format_sse("event " + std::to_string(i)));
                if (i + 1 == event_count) {
                    response->finish();
                }
            });
        }
    });
    const net::endpoint address = server.listen({"127.0.0.1", 0});

    net::http_client client(loop);
    int received = 0;
    net::sse_parser parser([&](std::string_view data) {
        std::cout << data << '\n';
        ++received;
    });
    client.start({.to = address, .path = "/events"},
                 {.on_head = nullptr,
                  .on_data = [&](std::string_view data) { parser.feed(data); },
                  .on_complete = [&] { loop.stop(); },
                  .on_failure = [&](auto, const auto&) { loop.stop(); }});
    loop.run_for(timeout);
    return received == event_count ? EXIT_SUCCESS : EXIT_FAILURE;
}
