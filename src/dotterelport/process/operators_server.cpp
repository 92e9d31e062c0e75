#include "dotterelport/process/operators_server.hpp"

#include <utility>

#include <prometheus/text_serializer.h>

namespace dotterelport::process {

namespace {

/// The server is for few clients, which send no bodies. The reserve is enough for small requests on
/// all connections; the rest is for dumps, which may have several MiB.
constexpr net::http_server::options server_options{
    .max_body_bytes = 16U << 10U,
    .clients = net::client_limits{.bytes = 16U << 20U, .connections = 64, .reserve = 4U << 20U}};

} // namespace

operators_server::operators_server(net::event_loop& loop, options settings)
    : registry_(std::make_shared<prometheus::Registry>()), server_(loop, server_options)
{
    server_.route("GET", "/healthz", [](const net::http_request&, const auto& response) {
        response->send(200, {{"content-type", "text/plain"}}, "ok\n");
    });
    server_.route("GET", "/readyz",
                  [reason = std::move(settings.not_ready_reason)](const net::http_request&,
                                                                  const auto& response) {
                      const std::string text = reason();
                      response->send(text.empty() ? 200 : 503, {{"content-type", "text/plain"}},
                                     (text.empty() ? "ready" : text) + "\n");
                  });
    server_.route(
        "GET", "/metrics", [registry = registry_](const net::http_request&, const auto& response) {
            response->send(200, {{"content-type", "text/plain; version=0.0.4; charset=utf-8"}},
                           prometheus::TextSerializer().Serialize(registry->Collect()));
        });
    server_.route(
        "GET", "/dump",
        [dump = std::move(settings.dump)](const net::http_request&, const auto& response) {
            constexpr int indent = 2;
            send_json(*response, 200, dump().dump(indent) + "\n");
        });
    address_ = server_.listen(settings.address);
}

} // namespace dotterelport::process
