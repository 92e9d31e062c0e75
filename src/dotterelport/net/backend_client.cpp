#include "dotterelport/net/backend_client.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/net/tcp_connection.hpp"

namespace dotterelport::net {
namespace {

constexpr enum_names<backend_failure, 4> failure_names{{
    {backend_failure::not_connected, "not_connected"},
    {backend_failure::reset, "reset"},
    {backend_failure::truncated, "truncated"},
    {backend_failure::malformed, "malformed"},
}};

/// How long idle connections are kept if the server sends no Keep-Alive timeout.
constexpr milliseconds default_keep_alive{4'000};

/// Subtracted from the server's Keep-Alive timeout, to allow for the accuracy of its timer and for
/// the time that a request takes to reach it.
constexpr milliseconds keep_alive_margin{700};

/// Maximum number of idle connections to one server.
constexpr std::size_t max_idle_per_server = 64;

/// Heads of answers larger than this are malformed.
constexpr std::size_t max_answer_head_bytes = 32'768;

/// Maximum number of interim (1xx) heads before the head of an answer.
constexpr int max_interim_heads = 8;

/// Maximum number and total size of answers to other requests that are skipped on a connection. A
/// server that sends more is not expected to answer at all.
constexpr int max_skipped_answers = 4;
constexpr std::size_t max_skipped_bytes = 256U << 10U;

/// @brief Time for which an idle connection may be kept; 0 if the server closes it at once.
milliseconds keep_alive_time(const http1_answer_head& head)
{
    if (header_contains_token(head.headers, "connection", "close") || head.minor_version == 0) {
        return milliseconds{0};
    }
    const auto header = find_header(head.headers, "keep-alive");
    if (!header) {
        return default_keep_alive;
    }
    constexpr std::string_view timeout_prefix = "timeout=";
    const auto timeout_position = header->find(timeout_prefix);
    if (timeout_position == std::string_view::npos) {
        return default_keep_alive;
    }
    std::int64_t seconds = 0;
    const std::string_view digits = header->substr(timeout_position + timeout_prefix.size());
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (code != std::errc{} || seconds < 0) {
        return default_keep_alive;
    }
    return std::max(milliseconds{0},
                    milliseconds{std::chrono::seconds{seconds}} - keep_alive_margin);
}

} // namespace

std::string_view to_string(backend_failure value)
{
    return name_of(failure_names, value);
}

struct backend_client::impl {
    struct call_state;

    /// A connection to a server, in use by a call or idle.
    struct connection {
        std::uint64_t id = 0;
        endpoint to;
        std::unique_ptr<tcp_connection> socket;
        exchange_id owner = 0;
        milliseconds idle_since{0};
        milliseconds idle_limit{0};
        /// Closes the connection when it has been idle for idle_limit.
        timer_id timer = 0;
        bool closed = false;
    };

    struct call_state {
        exchange_id id = 0;
        backend_call call;
        backend_handler handler;
        std::unique_ptr<tcp_connector> connector;
        std::shared_ptr<connection> transport;
        std::optional<http1_answer_head> head;
        std::optional<body_decoder> body;
        milliseconds keep_alive{0};
        bool skipping = false;
        bool is_reused = false;
        int interim_heads = 0;
        int skipped_answers = 0;
        std::size_t skipped_bytes = 0;
        /// The connection must not be reused: it carried an answer to another request, so that more
        /// such answers may follow, or its end is the end of the answer.
        bool must_close = false;
    };

    event_loop& loop;
    exchange_id last_id = 0;
    std::uint64_t last_connection = 0;
    std::unordered_map<exchange_id, std::shared_ptr<call_state>> calls;
    std::map<endpoint, std::deque<std::shared_ptr<connection>>> idle;
    std::size_t connections = 0;
    backend_client_statistics counters;
    /// Expires with this object; posted functions check it.
    std::shared_ptr<impl*> self = std::make_shared<impl*>(this);

    explicit impl(event_loop& event_loop) : loop(event_loop) {}

    ~impl()
    {
        for (const auto& [to, kept] : idle) {
            for (const auto& transport : kept) {
                loop.cancel(transport->timer);
            }
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::shared_ptr<call_state> find(exchange_id id) const
    {
        const auto found = calls.find(id);
        return found == calls.end() ? nullptr : found->second;
    }

    void begin(exchange_id id)
    {
        const auto call = find(id);
        if (call == nullptr) {
            return;
        }
        if (auto kept = take_idle(call->call.to, call->call.max_idle)) {
            ++counters.connections_reused;
            call->is_reused = true;
            send(*call, std::move(kept));
            return;
        }
        call->connector =
            std::make_unique<tcp_connector>(loop, call->call.to, call->call.connect_timeout,
                                            [this, id](std::unique_ptr<tcp_connection> socket) {
                                                connected(id, std::move(socket));
                                            });
    }

    void connected(exchange_id id, std::unique_ptr<tcp_connection> socket)
    {
        const auto call = find(id);
        if (call == nullptr) {
            return;
        }
        if (socket == nullptr) {
            ++counters.connects_failed;
            fail(call, backend_failure::not_connected);
            return;
        }
        ++counters.connections_opened;
        auto transport = std::make_shared<connection>();
        transport->id = ++last_connection;
        transport->to = call->call.to;
        transport->socket = std::move(socket);
        ++connections;
        auto* raw = transport.get();
        transport->socket->start({.on_input = [this, raw] { received(*raw); },
                                  .on_end = [this, raw](stream_end end) { ended(*raw, end); }});
        send(*call, std::move(transport));
    }

    static void send(call_state& call, std::shared_ptr<connection> transport)
    {
        transport->owner = call.id;
        call.transport = std::move(transport);
        call.transport->socket->write(call.call.bytes);
        call.call.bytes.clear();
        call.call.bytes.shrink_to_fit();
    }

    std::shared_ptr<connection> take_idle(const endpoint& to, milliseconds max_idle)
    {
        const auto found = idle.find(to);
        if (found == idle.end()) {
            return nullptr;
        }
        const milliseconds now = steady_now();
        while (!found->second.empty()) {
            auto kept = std::move(found->second.back());
            found->second.pop_back();
            loop.cancel(std::exchange(kept->timer, 0));
            if (now - kept->idle_since <= std::min(max_idle, kept->idle_limit) &&
                kept->socket->is_quiet()) {
                return kept;
            }
            close(kept);
        }
        idle.erase(found);
        return nullptr;
    }

    /// Closes a connection. It is destroyed in the next iteration of the loop, as one of its
    /// callbacks may be running.
    void close(const std::shared_ptr<connection>& transport)
    {
        if (transport->closed) {
            return;
        }
        transport->closed = true;
        transport->owner = 0;
        --connections;
        loop.cancel(std::exchange(transport->timer, 0));
        loop.post([transport] {});
    }

    void drop(connection& transport)
    {
        const auto found = idle.find(transport.to);
        if (found == idle.end()) {
            return;
        }
        auto& kept = found->second;
        const auto position = std::find_if(
            kept.begin(), kept.end(), [&](const auto& item) { return item.get() == &transport; });
        if (position == kept.end()) {
            return;
        }
        const auto owned = *position;
        kept.erase(position);
        if (kept.empty()) {
            idle.erase(found);
        }
        close(owned);
    }

    void keep(const std::shared_ptr<connection>& transport, milliseconds limit)
    {
        transport->owner = 0;
        auto& kept = idle[transport->to];
        if (limit <= milliseconds{0} || kept.size() >= max_idle_per_server) {
            close(transport);
            if (kept.empty()) {
                idle.erase(transport->to);
            }
            return;
        }
        transport->idle_since = steady_now();
        transport->idle_limit = limit;
        auto* raw = transport.get();
        transport->timer = loop.schedule(limit, [this, raw] { drop(*raw); });
        kept.push_back(transport);
    }

    void received(connection& transport)
    {
        if (transport.closed) {
            return;
        }
        const auto call = find(transport.owner);
        if (call == nullptr) {
            ++counters.stray_bytes;
            drop(transport);
            return;
        }
        read(call);
    }

    void ended(connection& transport, stream_end end)
    {
        if (transport.closed) {
            return;
        }
        const auto call = find(transport.owner);
        if (call == nullptr) {
            drop(transport);
            return;
        }
        // The end of an answer to another request leaves the call without an answer of its own.
        if (end == stream_end::finished && call->body && !call->skipping) {
            call->body->finish();
            if (call->body->progress() == body_decoder::state::complete) {
                call->must_close = true;
                complete(call);
                return;
            }
        }
        fail(call, end == stream_end::reset ? backend_failure::reset : backend_failure::truncated);
    }

    [[nodiscard]] bool is_current(const std::shared_ptr<call_state>& call) const
    {
        return calls.contains(call->id) && call->transport != nullptr && !call->transport->closed;
    }

    void read(const std::shared_ptr<call_state>& call)
    {
        while (is_current(call)) {
            if (!call->head && !read_head(call)) {
                return;
            }
            if (!call->head) {
                continue;
            }
            if (!read_body(call)) {
                return;
            }
        }
    }

    /// @return false if more bytes are needed or the call has ended
    bool read_head(const std::shared_ptr<call_state>& call)
    {
        auto& socket = *call->transport->socket;
        if (socket.input().empty()) {
            return false;
        }
        const auto result = parse_answer_head(socket.input());
        if (std::holds_alternative<http1_incomplete>(result)) {
            if (socket.input().size() > max_answer_head_bytes) {
                fail(call, backend_failure::malformed);
            }
            return false;
        }
        if (std::holds_alternative<http1_malformed>(result)) {
            fail(call, backend_failure::malformed);
            return false;
        }
        const auto& parsed = std::get<http1_parsed<http1_answer_head>>(result);
        socket.consume(parsed.size);
        constexpr int first_final_status = 200;
        if (parsed.head.status < first_final_status) {
            if (++call->interim_heads > max_interim_heads) {
                fail(call, backend_failure::malformed);
                return false;
            }
            return true;
        }
        const auto framing = answer_framing(parsed.head, call->call.method);
        if (!framing) {
            fail(call, backend_failure::malformed);
            return false;
        }
        call->head = parsed.head;
        call->body.emplace(*framing);
        call->keep_alive = keep_alive_time(parsed.head);
        if (std::holds_alternative<close_framing>(*framing)) {
            call->must_close = true;
        }
        call->skipping = !call->handler.on_head(*call->head);
        if (call->skipping) {
            ++counters.unmatched_answers;
            call->must_close = true;
            if (++call->skipped_answers > max_skipped_answers) {
                fail(call, backend_failure::malformed);
                return false;
            }
        }
        return true;
    }

    /// @return false if more bytes are needed or the call has ended
    bool read_body(const std::shared_ptr<call_state>& call)
    {
        if (!is_current(call)) {
            return false;
        }
        auto& socket = *call->transport->socket;
        std::string content;
        const std::size_t consumed = call->body->feed(socket.input(), content);
        socket.consume(consumed);
        if (call->skipping) {
            call->skipped_bytes += consumed;
            if (call->skipped_bytes > max_skipped_bytes) {
                fail(call, backend_failure::malformed);
                return false;
            }
        }
        if (!content.empty() && !call->skipping) {
            call->handler.on_data(content);
            if (!is_current(call)) {
                return false;
            }
        }
        switch (call->body->progress()) {
        case body_decoder::state::malformed:
            fail(call, backend_failure::malformed);
            return false;
        case body_decoder::state::reading:
            return false;
        case body_decoder::state::complete:
            break;
        }
        if (call->skipping) {
            call->head.reset();
            call->body.reset();
            call->skipping = false;
            return true;
        }
        complete(call);
        return false;
    }

    void complete(const std::shared_ptr<call_state>& call)
    {
        const auto transport = std::exchange(call->transport, nullptr);
        calls.erase(call->id);
        auto& socket = *transport->socket;
        if (!socket.input().empty()) {
            ++counters.stray_bytes;
        }
        // If a part of the request is unsent, or bytes follow the answer, the next answer on this
        // connection could not be matched to its request.
        if (call->must_close || !socket.input().empty() || socket.unsent() > 0) {
            close(transport);
        } else {
            keep(transport, call->keep_alive);
        }
        call->handler.on_complete();
    }

    void fail(const std::shared_ptr<call_state>& call, backend_failure failure)
    {
        release(call);
        call->handler.on_failure(failure);
    }

    void release(const std::shared_ptr<call_state>& call)
    {
        calls.erase(call->id);
        if (call->transport != nullptr) {
            close(std::exchange(call->transport, nullptr));
        }
        if (call->connector != nullptr) {
            // Destroyed in the next iteration of the loop, as the connector's callback may be
            // running.
            loop.post([connector = std::shared_ptr<tcp_connector>(std::move(call->connector))] {});
        }
    }
};

backend_client::backend_client(event_loop& loop) : impl_(std::make_unique<impl>(loop)) {}

backend_client::~backend_client() = default;

exchange_id backend_client::start(backend_call call, backend_handler handler)
{
    auto state = std::make_shared<impl::call_state>();
    state->id = ++impl_->last_id;
    state->call = std::move(call);
    state->handler = std::move(handler);
    impl_->calls.emplace(state->id, state);
    impl_->loop.post([weak = std::weak_ptr<impl*>(impl_->self), id = state->id] {
        if (const auto self = weak.lock()) {
            (*self)->begin(id);
        }
    });
    return state->id;
}

void backend_client::cancel(exchange_id exchange)
{
    if (const auto call = impl_->find(exchange)) {
        impl_->release(call);
    }
}

bool backend_client::was_sent(exchange_id exchange) const
{
    const auto call = impl_->find(exchange);
    return call != nullptr && call->transport != nullptr;
}

bool backend_client::is_reused(exchange_id exchange) const
{
    const auto call = impl_->find(exchange);
    return call != nullptr && call->is_reused;
}

void backend_client::set_paused(exchange_id exchange, bool paused)
{
    const auto call = impl_->find(exchange);
    if (call == nullptr || call->transport == nullptr) {
        return;
    }
    if (paused) {
        call->transport->socket->pause_reading();
    } else {
        call->transport->socket->resume_reading();
    }
}

void backend_client::drop_idle(const endpoint& to)
{
    const auto found = impl_->idle.find(to);
    if (found == impl_->idle.end()) {
        return;
    }
    const auto kept = std::move(found->second);
    impl_->idle.erase(found);
    for (const auto& transport : kept) {
        impl_->close(transport);
    }
}

std::size_t backend_client::calls_in_progress() const
{
    return impl_->calls.size();
}

std::size_t backend_client::connection_count() const
{
    return impl_->connections;
}

const backend_client_statistics& backend_client::statistics() const
{
    return impl_->counters;
}

} // namespace dotterelport::net
