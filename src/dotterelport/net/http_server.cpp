#include "dotterelport/net/http_server.hpp"

#include <algorithm>
#include <cctype>
#include <limits>
#include <numeric>
#include <utility>

#include "dotterelport/net/stream_server.hpp"

namespace dotterelport::net {
namespace {

std::string to_lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return result;
}

http_request to_request(const stream_exchange& exchange)
{
    const auto& head = exchange.head();
    const auto query_at = head.target.find('?');
    http_request result;
    result.method = head.method;
    result.path = head.target.substr(0, query_at);
    if (query_at != std::string::npos) {
        result.query = head.target.substr(query_at + 1);
    }
    for (const auto& [name, value] : head.headers) {
        result.headers.emplace_back(to_lower(name), value);
    }
    result.body = exchange.body();
    return result;
}

client_limits no_limits()
{
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    return {.bytes = unlimited, .connections = unlimited, .reserve = 0};
}

} // namespace

struct http_response::impl {
    std::shared_ptr<stream_exchange> exchange;
    std::function<void()> on_close;
};

http_response::http_response() : impl_(std::make_unique<impl>()) {}
http_response::~http_response() = default;

void http_response::send(int status, const header_list& headers, std::string_view body)
{
    if (is_open() && !is_started()) {
        impl_->on_close = nullptr;
        impl_->exchange->respond(status, headers, body);
    }
}

void http_response::start(int status, const header_list& headers)
{
    if (is_open()) {
        impl_->exchange->start(status, headers);
    }
}

void http_response::write(std::string_view data)
{
    if (is_open() && is_started()) {
        impl_->exchange->write(data);
    }
}

void http_response::finish()
{
    if (is_open() && is_started()) {
        impl_->on_close = nullptr;
        impl_->exchange->finish();
    }
}

void http_response::abort()
{
    if (is_open()) {
        impl_->on_close = nullptr;
        impl_->exchange->abort();
    }
}

bool http_response::is_open() const
{
    return impl_->exchange != nullptr && impl_->exchange->is_open();
}

bool http_response::is_started() const
{
    return impl_->exchange != nullptr && impl_->exchange->is_started();
}

std::size_t http_response::buffered() const
{
    return impl_->exchange == nullptr ? 0 : impl_->exchange->unsent();
}

void http_response::on_close(std::function<void()> function)
{
    impl_->on_close = std::move(function);
}

struct http_server::impl {
    struct route_entry {
        std::string method;
        std::string path;
        bool is_prefix;
        http_handler handler;
    };

    event_loop& loop;
    stream_server::options options;
    std::vector<std::unique_ptr<stream_server>> servers;
    std::vector<route_entry> routes;
    std::function<void(limit_cause)> on_limit;

    impl(event_loop& event_loop, const http_server::options& settings)
        : loop(event_loop), options({.max_body_bytes = settings.max_body_bytes,
                                     .idle_timeout = settings.idle_timeout,
                                     .clients = settings.clients.value_or(no_limits())})
    {}

    [[nodiscard]] const route_entry* find_route(const http_request& request) const
    {
        for (const auto& entry : routes) {
            const bool path_matches =
                entry.is_prefix ? request.path.compare(0, entry.path.size(), entry.path) == 0
                                : request.path == entry.path;
            if (path_matches && (entry.method == "*" || entry.method == request.method)) {
                return &entry;
            }
        }
        return nullptr;
    }

    std::shared_ptr<http_response> make_response(const std::shared_ptr<stream_exchange>& exchange)
    {
        auto response = std::make_shared<http_response>();
        response->impl_->exchange = exchange;
        // A connection may give way while another answer is written, so that the function must not
        // run inside the sender of that answer.
        exchange->on_disconnect([this, response] {
            loop.post([response] {
                if (const auto function = std::exchange(response->impl_->on_close, nullptr)) {
                    function();
                }
            });
        });
        return response;
    }

    void dispatch(const std::shared_ptr<stream_exchange>& exchange)
    {
        const http_request received = to_request(*exchange);
        auto response = make_response(exchange);
        const route_entry* entry = find_route(received);
        if (entry == nullptr) {
            send_json(*response, 404,
                      R"({"error":{"message":"no such route","type":"invalid_request_error",)"
                      R"("code":"unknown_route"}})");
            return;
        }
        entry->handler(received, response);
    }

    template<typename Count> [[nodiscard]] std::size_t sum(Count count) const
    {
        return std::accumulate(
            servers.begin(), servers.end(), std::size_t{0},
            [&](std::size_t total, const auto& server) { return total + count(*server); });
    }
};

http_server::http_server(event_loop& loop) : http_server(loop, options{}) {}

http_server::http_server(event_loop& loop, const options& settings)
    : impl_(new impl(loop, settings))
{}

// The implementation state is never freed: a handler may destroy the server while one of its
// connections is in use, and open connections refer to it until the process ends.
http_server::~http_server()
{
    stop_listening();
    impl_->routes.clear();
    impl_->on_limit = nullptr;
}

void http_server::route(const std::string& method, const std::string& path, http_handler handler)
{
    const bool is_prefix = !path.empty() && path.back() == '*';
    impl_->routes.push_back({method, is_prefix ? path.substr(0, path.size() - 1) : path, is_prefix,
                             std::move(handler)});
}

endpoint http_server::listen(const endpoint& address)
{
    auto server = std::make_unique<stream_server>(
        impl_->loop, address, impl_->options,
        [state = impl_](const std::shared_ptr<stream_exchange>& exchange) {
            state->dispatch(exchange);
        });
    server->on_limit([state = impl_](limit_cause cause) {
        if (state->on_limit) {
            state->on_limit(cause);
        }
    });
    impl_->servers.push_back(std::move(server));
    return impl_->servers.back()->address();
}

void http_server::stop_listening()
{
    for (const auto& server : impl_->servers) {
        server->stop_listening();
    }
}

void http_server::on_limit(std::function<void(limit_cause cause)> function)
{
    impl_->on_limit = std::move(function);
}

std::size_t http_server::requests_in_progress() const
{
    return impl_->sum([](const stream_server& server) { return server.exchange_count(); });
}

std::size_t http_server::held_bytes() const
{
    return impl_->sum([](const stream_server& server) { return server.held_bytes(); });
}

std::size_t http_server::connection_count() const
{
    return impl_->sum([](const stream_server& server) { return server.connection_count(); });
}

void send_json(http_response& response, int status, std::string_view body)
{
    response.send(status, {{"content-type", "application/json"}}, body);
}

} // namespace dotterelport::net
