#include "dotterelport/net/http_client.hpp"

#include <map>
#include <unordered_map>
#include <utility>

#include <arpa/inet.h>
#include <h2o.h>
#include <h2o/http1client.h>

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::net {
namespace {

/// Idle connections are dropped before the servers, whose limit is higher, would close them. This
/// keeps requests from being written to a connection that is being closed.
constexpr milliseconds pool_idle_timeout{10'000};

/// h2o's own limit between two reads; timers enforce the shorter limits of each exchange.
constexpr milliseconds native_io_timeout{3'600'000};

constexpr enum_names<failure_stage, 3> stage_names{{
    {failure_stage::connect, "connect"},
    {failure_stage::sent, "sent"},
    {failure_stage::answering, "answering"},
}};

std::string serialize(const client_request& request)
{
    std::string text = request.method + " " + request.path +
                       " HTTP/1.1\r\nhost: " + to_string(request.to) + "\r\n";
    for (const auto& [name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

struct connection_pool {
    h2o_socketpool_t native{};

    connection_pool(h2o_loop_t* loop, const endpoint& to)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        if (inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr) != 1) {
            throw error("cannot connect to " + to_string(to) + ": not an IPv4 address");
        }
        h2o_socketpool_init_by_address(&native, reinterpret_cast<sockaddr*>(&address),
                                       sizeof(address), 0, SIZE_MAX);
        h2o_socketpool_set_timeout(&native, loop,
                                   static_cast<std::uint64_t>(pool_idle_timeout.count()));
    }
};

} // namespace

std::string_view to_string(failure_stage stage)
{
    return name_of(stage_names, stage);
}

struct http_client::impl {
    struct exchange {
        impl* client = nullptr;
        exchange_id id = 0;
        h2o_http1client_t* handle = nullptr;
        answer_handler handler;
        std::string request_text;
        h2o_iovec_t request_buffer{};
        bool is_head = false;
        failure_stage stage = failure_stage::connect;
        milliseconds idle_timeout{0};
        timer_id timer = 0;
        /// Set while h2o calls a callback of the handler; cancel() must not free the exchange then.
        bool in_callback = false;
        bool cancelled = false;
    };

    event_loop& loop;
    address_overrides overrides;
    h2o_timeout_t io_timeout{};
    h2o_http1client_ctx_t context{};
    std::map<endpoint, std::unique_ptr<connection_pool>> pools;
    std::unordered_map<exchange_id, std::unique_ptr<exchange>> exchanges;
    exchange_id last_id = 0;

    impl(event_loop& event_loop, address_overrides address_map)
        : loop(event_loop), overrides(std::move(address_map))
    {
        h2o_timeout_init(loop.native(), &io_timeout,
                         static_cast<std::uint64_t>(native_io_timeout.count()));
        context.loop = loop.native();
        context.io_timeout = &io_timeout;
    }

    connection_pool& pool_for(const endpoint& to)
    {
        const auto mapped = overrides.find(to);
        const endpoint& address = mapped == overrides.end() ? to : mapped->second;
        auto& pool = pools[address];
        if (!pool) {
            pool = std::make_unique<connection_pool>(loop.native(), address);
        }
        return *pool;
    }

    void connect(exchange& item, const endpoint& to)
    {
        h2o_http1client_connect_with_pool(&item.handle, &item, &context, &pool_for(to).native,
                                          on_connect);
    }

    void arm_timer(exchange& item, milliseconds delay)
    {
        loop.cancel(item.timer);
        item.timer = loop.schedule(delay, [this, id = item.id] { expire(id); });
    }

    void expire(exchange_id id)
    {
        const auto found = exchanges.find(id);
        if (found == exchanges.end()) {
            return;
        }
        if (found->second->handle != nullptr) {
            h2o_http1client_cancel(found->second->handle);
        }
        fail(*found->second, std::string(timeout_message));
    }

    std::unique_ptr<exchange> release(exchange& item)
    {
        loop.cancel(item.timer);
        auto node = exchanges.extract(item.id);
        return node.empty() ? nullptr : std::move(node.mapped());
    }

    void fail(exchange& item, const std::string& message)
    {
        const auto owned = release(item);
        if (!item.cancelled && item.handler.on_failure) {
            item.handler.on_failure(item.stage, message);
        }
    }

    void complete(exchange& item)
    {
        const auto owned = release(item);
        if (!item.cancelled && item.handler.on_complete) {
            item.handler.on_complete();
        }
    }

    static h2o_http1client_head_cb on_connect(h2o_http1client_t* handle, const char* failure,
                                              h2o_iovec_t** buffers, std::size_t* buffer_count,
                                              int* method_is_head)
    {
        auto& item = *static_cast<exchange*>(handle->data);
        if (failure != nullptr) {
            item.client->fail(item, failure);
            return nullptr;
        }
        item.stage = failure_stage::sent;
        item.request_buffer = h2o_iovec_init(item.request_text.data(), item.request_text.size());
        *buffers = &item.request_buffer;
        *buffer_count = 1;
        *method_is_head = item.is_head ? 1 : 0;
        return on_head;
    }

    static h2o_http1client_body_cb on_head(h2o_http1client_t* handle, const char* failure,
                                           int /*minor_version*/, int status,
                                           h2o_iovec_t /*message*/, h2o_header_t* headers,
                                           std::size_t header_count, int /*rlen*/)
    {
        auto& item = *static_cast<exchange*>(handle->data);
        const bool ended = failure == h2o_http1client_error_is_eos;
        if (failure != nullptr && !ended) {
            item.client->fail(item, failure);
            return nullptr;
        }
        item.stage = failure_stage::answering;
        header_list received;
        for (std::size_t i = 0; i < header_count; ++i) {
            received.emplace_back(std::string(headers[i].name->base, headers[i].name->len),
                                  std::string(headers[i].value.base, headers[i].value.len));
        }
        item.in_callback = true;
        if (item.handler.on_head) {
            item.handler.on_head(status, received);
        }
        item.in_callback = false;
        if (ended || item.cancelled) {
            item.client->complete(item);
            return nullptr;
        }
        item.client->arm_timer(item, item.idle_timeout);
        return on_body;
    }

    static int on_body(h2o_http1client_t* handle, const char* failure)
    {
        constexpr int keep_reading = 0;
        constexpr int close_connection = -1;
        auto& item = *static_cast<exchange*>(handle->data);
        const bool ended = failure == h2o_http1client_error_is_eos;
        if (failure != nullptr && !ended) {
            item.client->fail(item, failure);
            return close_connection;
        }
        h2o_buffer_t* input = handle->sock->input;
        item.in_callback = true;
        if (input->size > 0 && item.handler.on_data) {
            item.handler.on_data(std::string_view(input->bytes, input->size));
        }
        item.in_callback = false;
        h2o_buffer_consume(&handle->sock->input, input->size);
        if (ended || item.cancelled) {
            item.client->complete(item);
            return ended ? keep_reading : close_connection;
        }
        item.client->arm_timer(item, item.idle_timeout);
        return keep_reading;
    }
};

http_client::http_client(event_loop& loop, address_overrides overrides)
    : impl_(std::make_unique<impl>(loop, std::move(overrides)))
{}

// The implementation state is never freed: pooled connections refer to it through the h2o loop,
// which outlives this object.
http_client::~http_client()
{
    while (!impl_->exchanges.empty()) {
        cancel(impl_->exchanges.begin()->first);
    }
    static_cast<void>(impl_.release());
}

exchange_id http_client::start(const client_request& request, answer_handler handler)
{
    auto item = std::make_unique<impl::exchange>();
    const exchange_id id = ++impl_->last_id;
    item->client = impl_.get();
    item->id = id;
    item->handler = std::move(handler);
    item->request_text = serialize(request);
    item->is_head = request.method == "HEAD";
    item->idle_timeout = request.idle_timeout;
    impl_->arm_timer(*item, request.answer_timeout);
    impl_->exchanges.emplace(id, std::move(item));
    // Connecting from the loop ensures that start() returns before any callback is called.
    impl_->loop.post([state = impl_.get(), id, to = request.to] {
        const auto found = state->exchanges.find(id);
        if (found != state->exchanges.end()) {
            state->connect(*found->second, to);
        }
    });
    return id;
}

exchange_id http_client::fetch(const client_request& request,
                               std::function<void(const client_answer&)> done)
{
    auto answer = std::make_shared<client_answer>();
    auto finish = std::make_shared<std::function<void(const client_answer&)>>(std::move(done));
    answer_handler handler;
    handler.on_head = [answer](int status, const header_list& headers) {
        answer->status = status;
        answer->headers = headers;
    };
    handler.on_data = [answer](std::string_view data) { answer->body.append(data); };
    handler.on_complete = [answer, finish] { (*finish)(*answer); };
    handler.on_failure = [answer, finish](failure_stage stage, const std::string& message) {
        answer->status = 0;
        answer->stage = stage;
        answer->message = message;
        (*finish)(*answer);
    };
    return start(request, std::move(handler));
}

void http_client::cancel(exchange_id exchange)
{
    const auto found = impl_->exchanges.find(exchange);
    if (found == impl_->exchanges.end()) {
        return;
    }
    auto& item = *found->second;
    item.cancelled = true;
    if (item.in_callback) {
        return;
    }
    if (item.handle != nullptr) {
        h2o_http1client_cancel(item.handle);
    }
    impl_->release(item);
}

std::size_t http_client::exchanges_in_progress() const
{
    return impl_->exchanges.size();
}

} // namespace dotterelport::net
