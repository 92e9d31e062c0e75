#include "dotterelport/net/http_client.hpp"

#include <unordered_map>
#include <utility>

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/net/backend_client.hpp"
#include "dotterelport/net/http1.hpp"

namespace dotterelport::net {
namespace {

/// Idle connections are dropped before the servers, whose limit is higher, would close them. This
/// keeps requests from being written to a connection that is being closed.
constexpr milliseconds max_connection_idle{10'000};

/// Excludes every kept connection.
constexpr milliseconds no_kept_connection{-1};

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

} // namespace

std::string_view to_string(failure_stage stage)
{
    return name_of(stage_names, stage);
}

struct http_client::impl {
    struct exchange {
        answer_handler handler;
        /// Exchange of the backend_client.
        exchange_id call = 0;
        bool has_head = false;
        milliseconds idle_timeout{0};
        timer_id timer = 0;
    };

    event_loop& loop;
    address_overrides overrides;
    backend_client connections;
    buffer_budget buffers;
    std::unordered_map<exchange_id, std::shared_ptr<exchange>> exchanges;
    exchange_id last_id = 0;

    impl(event_loop& event_loop, address_overrides address_map, const buffer_limits& limits)
        : loop(event_loop), overrides(std::move(address_map)), connections(event_loop),
          buffers(limits)
    {}

    std::shared_ptr<exchange> find(exchange_id id) const
    {
        const auto found = exchanges.find(id);
        return found == exchanges.end() ? nullptr : found->second;
    }

    void arm_timer(exchange_id id, milliseconds delay)
    {
        auto& item = *exchanges.at(id);
        loop.cancel(item.timer);
        item.timer = loop.schedule(delay, [this, id] { expire(id); });
    }

    /// Removes an exchange, so that no more of its callbacks are called.
    std::shared_ptr<exchange> release(exchange_id id)
    {
        auto node = exchanges.extract(id);
        if (node.empty()) {
            return nullptr;
        }
        loop.cancel(node.mapped()->timer);
        return std::move(node.mapped());
    }

    void expire(exchange_id id)
    {
        const auto item = find(id);
        if (item == nullptr) {
            return;
        }
        item->timer = 0;
        const bool was_sent = connections.was_sent(item->call);
        connections.cancel(item->call);
        fail(id, was_sent, timeout_message);
    }

    void fail(exchange_id id, bool was_sent, std::string_view message)
    {
        const auto item = release(id);
        if (item == nullptr || !item->handler.on_failure) {
            return;
        }
        const failure_stage reached = !was_sent        ? failure_stage::connect
                                      : item->has_head ? failure_stage::answering
                                                       : failure_stage::sent;
        item->handler.on_failure(reached, std::string(message));
    }

    void received_head(exchange_id id, const http1_answer_head& head)
    {
        const auto item = find(id);
        if (item == nullptr) {
            return;
        }
        item->has_head = true;
        arm_timer(id, item->idle_timeout);
        if (item->handler.on_head) {
            item->handler.on_head(head.status, head.headers);
        }
    }

    void received_data(exchange_id id, std::string_view data)
    {
        const auto item = find(id);
        if (item == nullptr) {
            return;
        }
        arm_timer(id, item->idle_timeout);
        if (item->handler.on_data) {
            item->handler.on_data(data);
        }
    }

    void completed(exchange_id id)
    {
        const auto item = release(id);
        if (item != nullptr && item->handler.on_complete) {
            item->handler.on_complete();
        }
    }

    backend_handler make_handler(exchange_id id)
    {
        return {.on_head =
                    [this, id](const http1_answer_head& head) {
                        received_head(id, head);
                        return true;
                    },
                .on_data = [this, id](std::string_view data) { received_data(id, data); },
                .on_complete = [this, id] { completed(id); },
                .on_failure =
                    [this, id](backend_failure failure) {
                        fail(id, failure != backend_failure::not_connected, to_string(failure));
                    }};
    }
};

http_client::http_client(event_loop& loop, address_overrides overrides, const buffer_limits& limits)
    : impl_(std::make_unique<impl>(loop, std::move(overrides), limits))
{}

http_client::~http_client()
{
    while (!impl_->exchanges.empty()) {
        cancel(impl_->exchanges.begin()->first);
    }
}

exchange_id http_client::start(const client_request& request, answer_handler handler)
{
    const exchange_id id = ++impl_->last_id;
    auto item = std::make_shared<impl::exchange>();
    item->handler = std::move(handler);
    item->idle_timeout = request.idle_timeout;
    const auto mapped = impl_->overrides.find(request.to);
    // A server may keep the connection although an earlier request on it asked to close it.
    const bool needs_own_connection = header_contains_token(request.headers, "connection", "close");
    item->call = impl_->connections.start(
        {.to = mapped == impl_->overrides.end() ? request.to : mapped->second,
         .bytes = serialize(request),
         .method = request.method,
         // The timer of the exchange ends first.
         .connect_timeout = 2 * request.answer_timeout,
         .max_idle = needs_own_connection ? no_kept_connection : max_connection_idle},
        impl_->make_handler(id));
    impl_->exchanges.emplace(id, std::move(item));
    impl_->arm_timer(id, request.answer_timeout);
    return id;
}

exchange_id http_client::fetch(const client_request& request,
                               std::function<void(const client_answer&)> done)
{
    /// The answer as far as it was received.
    struct collected {
        explicit collected(buffer_budget& budget) : share(budget) {}

        client_answer answer;
        buffer_share share;
        exchange_id exchange = 0;
    };
    auto state = std::make_shared<collected>(impl_->buffers);
    // Shares the ownership of the state.
    const std::shared_ptr<client_answer> answer(state, &state->answer);
    auto finish = std::make_shared<std::function<void(const client_answer&)>>(std::move(done));
    answer_handler handler;
    handler.on_head = [answer](int status, const header_list& headers) {
        answer->status = status;
        answer->headers = headers;
    };
    handler.on_data = [this, state, finish](std::string_view data) {
        if (state->share.append(state->answer.body, data)) {
            return;
        }
        cancel(state->exchange);
        state->answer = client_answer{};
        state->answer.stage = failure_stage::answering;
        state->answer.message = too_large_message;
        (*finish)(state->answer);
    };
    handler.on_complete = [answer, finish] { (*finish)(*answer); };
    handler.on_failure = [answer, finish](failure_stage stage, const std::string& message) {
        answer->status = 0;
        answer->stage = stage;
        answer->message = message;
        (*finish)(*answer);
    };
    state->exchange = start(request, std::move(handler));
    return state->exchange;
}

buffer_budget& http_client::buffers()
{
    return impl_->buffers;
}

void http_client::cancel(exchange_id exchange)
{
    if (const auto item = impl_->release(exchange)) {
        impl_->connections.cancel(item->call);
    }
}

std::size_t http_client::exchanges_in_progress() const
{
    return impl_->exchanges.size();
}

} // namespace dotterelport::net
