#include "dotterelport/net/http_server.hpp"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <list>
#include <set>
#include <utility>

#include <h2o.h>
#include <h2o/http1.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dotterelport/base/error.hpp"
#include "socket_address.hpp"

namespace dotterelport::net {
namespace {

constexpr int listen_backlog = 1024;

std::string to_lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return result;
}

std::string to_text(h2o_iovec_t vector)
{
    return vector.base == nullptr ? std::string() : std::string(vector.base, vector.len);
}

void add_headers(h2o_req_t* request, const header_list& headers)
{
    constexpr int maybe_token = 1;
    for (const auto& [name, value] : headers) {
        const std::string lower = to_lower(name);
        const h2o_iovec_t pooled_name = h2o_strdup(&request->pool, lower.data(), lower.size());
        const h2o_iovec_t pooled_value = h2o_strdup(&request->pool, value.data(), value.size());
        h2o_add_header_by_str(&request->pool, &request->res.headers, pooled_name.base,
                              pooled_name.len, maybe_token, nullptr, pooled_value.base,
                              pooled_value.len);
    }
}

/// Allocated in the memory pool of the h2o request, which calls on_dispose() when it is freed.
struct request_guard {
    h2o_generator_t generator;
    http_response::impl* response;
    std::shared_ptr<http_response>* owner;
};

} // namespace

struct http_response::impl {
    h2o_req_t* request = nullptr;
    request_guard* guard = nullptr;
    std::size_t* in_progress = nullptr;
    std::set<const h2o_socket_t*>* busy = nullptr;
    const h2o_socket_t* socket = nullptr;
    std::function<void()> on_close;
    /// Data that was handed to h2o and is not written yet.
    std::string in_flight;
    std::string pending;
    bool started = false;
    bool finished = false;
    bool final_sent = false;
    /// h2o accepts more data only after it has called on_proceed().
    bool may_send = false;

    void send_pending()
    {
        if (!may_send || request == nullptr || final_sent || (pending.empty() && !finished)) {
            return;
        }
        may_send = false;
        in_flight = std::exchange(pending, {});
        h2o_iovec_t buffer = h2o_iovec_init(in_flight.data(), in_flight.size());
        final_sent = finished;
        h2o_send(request, &buffer, in_flight.empty() ? 0 : 1,
                 finished ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
    }

    void begin(int status, const header_list& headers)
    {
        started = true;
        request->res.status = status;
        request->res.reason = reason_phrase(status).data();
        add_headers(request, headers);
        h2o_start_response(request, &guard->generator);
    }
};

namespace {

void on_proceed(h2o_generator_t* generator, h2o_req_t* /*request*/)
{
    auto* response = reinterpret_cast<request_guard*>(generator)->response;
    response->may_send = true;
    response->send_pending();
}

void on_stop(h2o_generator_t* /*generator*/, h2o_req_t* /*request*/)
{
    // h2o disposes of the request next, which calls on_dispose().
}

void on_dispose(void* memory)
{
    auto* guard = static_cast<request_guard*>(memory);
    const std::unique_ptr<std::shared_ptr<http_response>> owner(guard->owner);
    auto* response = guard->response;
    response->request = nullptr;
    --*response->in_progress;
    response->busy->erase(response->socket);
    auto on_close = std::exchange(response->on_close, nullptr);
    if (!response->final_sent && on_close) {
        on_close();
    }
}

} // namespace

http_response::http_response() : impl_(std::make_unique<impl>()) {}
http_response::~http_response() = default;

void http_response::send(int status, const header_list& headers, std::string_view body)
{
    if (!is_open() || impl_->started) {
        return;
    }
    auto* request = impl_->request;
    request->res.content_length = body.size();
    impl_->begin(status, headers);
    impl_->finished = true;
    impl_->final_sent = true;
    h2o_iovec_t buffer = h2o_strdup(&request->pool, body.data(), body.size());
    h2o_send(request, &buffer, body.empty() ? 0 : 1, H2O_SEND_STATE_FINAL);
}

void http_response::start(int status, const header_list& headers)
{
    if (!is_open() || impl_->started) {
        return;
    }
    impl_->begin(status, headers);
    h2o_send(impl_->request, nullptr, 0, H2O_SEND_STATE_IN_PROGRESS);
}

void http_response::write(std::string_view data)
{
    if (!is_open() || impl_->finished) {
        return;
    }
    impl_->pending.append(data);
    impl_->send_pending();
}

void http_response::finish()
{
    if (!is_open() || impl_->finished) {
        return;
    }
    impl_->finished = true;
    impl_->send_pending();
}

void http_response::abort()
{
    if (!is_open() || impl_->final_sent) {
        return;
    }
    if (impl_->may_send) {
        impl_->finished = true;
        impl_->final_sent = true;
        h2o_send(impl_->request, nullptr, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    auto* socket = impl_->request->conn->callbacks->get_socket(impl_->request->conn);
    ::shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    if (!impl_->started) {
        // h2o frees the request when sending this answer fails on the closed socket.
        send(500, {}, "");
    }
}

bool http_response::is_open() const
{
    return impl_->request != nullptr;
}

bool http_response::is_started() const
{
    return impl_->started;
}

std::size_t http_response::buffered() const
{
    return impl_->pending.size();
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

    struct handler_entry {
        h2o_handler_t super;
        impl* server;
    };

    /// A connection of a client.
    struct connection_entry {
        impl* server;
        h2o_socket_t* socket;
        std::list<connection_entry>::iterator self;
        bool closing = false;
    };

    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept{};
    h2o_loop_t* loop = nullptr;
    h2o_socket_t* listener = nullptr;
    std::size_t max_connections = 0;
    /// Connections of clients in the order in which they were accepted, with the number of requests
    /// in progress. Kept only if they are limited.
    std::list<connection_entry> connections;
    std::vector<route_entry> routes;
    std::size_t in_progress = 0;
    /// Connections with a request in progress.
    std::set<const h2o_socket_t*> busy;

    impl(h2o_loop_t* event_loop, const options& settings)
        : loop(event_loop), max_connections(settings.max_connections)
    {
        h2o_config_init(&config);
        config.max_request_entity_size = settings.max_body_bytes;
        config.http1.req_timeout = static_cast<std::uint64_t>(settings.idle_timeout.count());
        config.http1.upgrade_to_http2 = 0;
        constexpr std::uint16_t any_port = 65535;
        auto* host =
            h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), any_port);
        auto* path = h2o_config_register_path(host, "/", 0);
        auto* handler =
            reinterpret_cast<handler_entry*>(h2o_create_handler(path, sizeof(handler_entry)));
        handler->super.on_req = on_request;
        handler->server = this;
        h2o_context_init(&context, loop, &config);
        accept.ctx = &context;
        accept.hosts = config.hosts;
    }

    static int on_request(h2o_handler_t* handler, h2o_req_t* request)
    {
        reinterpret_cast<handler_entry*>(handler)->server->dispatch(request);
        return 0;
    }

    static void on_accept(h2o_socket_t* listener, const char* failure)
    {
        constexpr int accepts_per_wakeup = 64;
        auto* self = static_cast<impl*>(listener->data);
        if (failure != nullptr) {
            return;
        }
        for (int i = 0; i < accepts_per_wakeup; ++i) {
            h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
            if (socket == nullptr) {
                return;
            }
            if (self->max_connections > 0) {
                self->limit_connections();
                self->follow(socket);
            }
            h2o_accept(&self->accept, socket);
        }
    }

    void follow(h2o_socket_t* socket)
    {
        connections.push_back({.server = this, .socket = socket, .self = {}});
        auto& entry = connections.back();
        entry.self = std::prev(connections.end());
        socket->on_close.cb = [](void* data) {
            const auto* closed = static_cast<connection_entry*>(data);
            closed->server->connections.erase(closed->self);
        };
        socket->on_close.data = &entry;
    }

    /// Closes the oldest connection without a request in progress if there are too many. h2o closes
    /// it when it reads the end.
    void limit_connections()
    {
        const auto open = std::count_if(connections.begin(), connections.end(),
                                        [](const auto& entry) { return !entry.closing; });
        if (static_cast<std::size_t>(open) < max_connections) {
            return;
        }
        const auto oldest =
            std::find_if(connections.begin(), connections.end(), [this](const auto& entry) {
                return !entry.closing && !busy.contains(entry.socket);
            });
        if (oldest != connections.end()) {
            oldest->closing = true;
            ::shutdown(h2o_socket_get_fd(oldest->socket), SHUT_RDWR);
        }
    }

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

    std::shared_ptr<http_response> make_response(h2o_req_t* request)
    {
        auto response = std::make_shared<http_response>();
        auto* guard = static_cast<request_guard*>(
            h2o_mem_alloc_shared(&request->pool, sizeof(request_guard), on_dispose));
        guard->generator = {on_proceed, on_stop};
        guard->response = response->impl_.get();
        guard->owner = new std::shared_ptr<http_response>(response);
        response->impl_->request = request;
        response->impl_->guard = guard;
        response->impl_->in_progress = &in_progress;
        ++in_progress;
        response->impl_->busy = &busy;
        response->impl_->socket = request->conn->callbacks->get_socket(request->conn);
        busy.insert(response->impl_->socket);
        return response;
    }

    void dispatch(h2o_req_t* request)
    {
        const http_request received = read_request(request);
        auto response = make_response(request);
        const route_entry* entry = find_route(received);
        if (entry == nullptr) {
            send_json(*response, 404,
                      R"({"error":{"message":"no such route","type":"invalid_request_error",)"
                      R"("code":"unknown_route"}})");
            return;
        }
        entry->handler(received, response);
    }

    static http_request read_request(const h2o_req_t* request)
    {
        http_request received;
        received.method = to_text(request->method);
        const std::string target = to_text(request->path);
        received.path = target.substr(0, request->query_at);
        if (request->query_at != SIZE_MAX) {
            received.query = target.substr(request->query_at + 1);
        }
        for (std::size_t i = 0; i < request->headers.size; ++i) {
            const h2o_header_t& header = request->headers.entries[i];
            received.headers.emplace_back(to_text(*header.name), to_text(header.value));
        }
        received.body = to_text(request->entity);
        return received;
    }
};

http_server::http_server(event_loop& loop) : http_server(loop, options{}) {}

http_server::http_server(event_loop& loop, const options& settings)
    : impl_(new impl(loop.native(), settings))
{}

// The implementation state is never freed: open connections of h2o refer to it until the process
// ends.
http_server::~http_server()
{
    stop_listening();
    impl_->routes.clear();
}

void http_server::route(const std::string& method, const std::string& path, http_handler handler)
{
    const bool is_prefix = !path.empty() && path.back() == '*';
    impl_->routes.push_back({method, is_prefix ? path.substr(0, path.size() - 1) : path, is_prefix,
                             std::move(handler)});
}

endpoint http_server::listen(const endpoint& address)
{
    endpoint bound = address;
    const int descriptor = open_bound_socket(SOCK_STREAM, bound);
    if (::listen(descriptor, listen_backlog) != 0) {
        const std::string message = std::strerror(errno);
        ::close(descriptor);
        throw error("cannot listen on " + to_string(address) + ": " + message);
    }
    impl_->listener = h2o_evloop_socket_create(impl_->loop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
    impl_->listener->data = impl_;
    h2o_socket_read_start(impl_->listener, impl::on_accept);
    return bound;
}

void http_server::stop_listening()
{
    if (impl_->listener != nullptr) {
        h2o_socket_read_stop(impl_->listener);
        h2o_socket_close(std::exchange(impl_->listener, nullptr));
    }
}

std::size_t http_server::requests_in_progress() const
{
    return impl_->in_progress;
}

void send_json(http_response& response, int status, std::string_view body)
{
    response.send(status, {{"content-type", "application/json"}}, body);
}

} // namespace dotterelport::net
