#include "stream_connection.hpp"

#include <utility>

namespace dotterelport::net {
namespace {

/// Reading pauses when more bytes of further requests than this arrive while an answer is in
/// progress.
constexpr std::size_t max_pipelined_bytes = 65'536;

/// A connection is considered lost if its client does not acknowledge bytes for this long.
constexpr milliseconds unacknowledged_limit{5'000};

/// No further request is read from a connection whose client has more than this to read.
constexpr std::size_t max_unread_bytes = 65'536;

constexpr int continue_status = 100;

} // namespace

stream_connection::stream_connection(stream_server& server, std::uint64_t id,
                                     std::unique_ptr<tcp_connection> connection)
    : server_(server), id_(id), connection_(std::move(connection))
{
    connection_->limit_unacknowledged(unacknowledged_limit);
    connection_->start({.on_input = [this] { received(); },
                        .on_end = [this](stream_end /*end*/) { ended(); },
                        .on_drained = [this] { drained(); }});
    arm_timer();
}

bool stream_connection::is_idle() const
{
    return exchange_ == nullptr && !first_byte_time_ && connection_->input().empty() &&
           connection_->unsent() == 0;
}

bool stream_connection::will_close() const
{
    return server_.draining_ || exchange_->head().minor_version == 0 ||
           header_contains_token(exchange_->head().headers, "connection", "close") ||
           closes_for_server();
}

bool stream_connection::closes_for_server() const
{
    return server_.closes_after_answers_ && connection_->input().empty() &&
           !connection_->has_unread_bytes();
}

void stream_connection::arm_timer()
{
    server_.loop_.cancel(timer_);
    const auto& limits = server_.options_;
    const bool reading_head = first_byte_time_ && !head_;
    timer_ = server_.loop_.schedule(reading_head ? limits.header_timeout : limits.idle_timeout,
                                    [this] { expire(); });
}

void stream_connection::expire()
{
    timer_ = 0;
    if (first_byte_time_) {
        constexpr int request_timeout = 408;
        reject(request_timeout);
        return;
    }
    close();
}

void stream_connection::record_holding()
{
    if (closed_) {
        return;
    }
    // Input buffers grow by doubling. A body that was handed on is copied for its server.
    const std::size_t input = 2 * connection_->input().size();
    server_.budget_.set(id_, {.releasable = input + body_.capacity() + connection_->unsent(),
                              .pinned = exchange_ == nullptr ? 0 : 2 * exchange_->body().size(),
                              .moved = moved_});
}

void stream_connection::find_room()
{
    record_holding();
    if (!server_.make_room(id_)) {
        give_way();
    }
}

void stream_connection::give_way(std::optional<limit_cause> cause)
{
    if (closed_) {
        return;
    }
    constexpr int unavailable = 503;
    if (first_byte_time_ && !close_after_write_ && connection_->unsent() == 0) {
        server_.report(cause.value_or(limit_cause::request_bytes));
        reject(unavailable);
        return;
    }
    server_.report(cause.value_or(limit_cause::unread_answer));
    connection_->reset_on_close();
    ended();
}

void stream_connection::send(std::string_view bytes)
{
    const bool had_unsent = connection_->unsent() > 0;
    connection_->write(bytes);
    if (connection_->unsent() == 0) {
        moved_ = steady_now();
    }
    if (connection_->unsent() == 0 && !had_unsent) {
        return;
    }
    record_holding();
    if (!server_.make_room(id_)) {
        // The sender is in the middle of an answer.
        server_.loop_.post([&server = server_, id = id_] {
            const auto found = server.connections_.find(id);
            if (found != server.connections_.end() && server.budget_.is_over(id) &&
                found->second->unsent() > max_unread_bytes) {
                found->second->give_way();
            }
        });
    }
}

void stream_connection::received()
{
    if (closed_) {
        return;
    }
    moved_ = steady_now();
    if (close_after_write_) {
        // Nothing more is read from this client; the end of the connection still is.
        connection_->consume(connection_->input().size());
        return;
    }
    if (exchange_ != nullptr) {
        if (connection_->input().size() > max_pipelined_bytes) {
            connection_->pause_reading();
        }
        record_holding();
        return;
    }
    parse();
}

void stream_connection::parse()
{
    // An answer sent from inside the handler ends the exchange, which would start to parse again.
    if (parsing_) {
        return;
    }
    parsing_ = true;
    while (exchange_ == nullptr && !close_after_write_ && !closed_ &&
           !connection_->input().empty()) {
        if (connection_->unsent() > max_unread_bytes) {
            connection_->pause_reading();
            break;
        }
        if (!first_byte_time_) {
            first_byte_time_ = steady_now();
            arm_timer();
        }
        const bool had_head = head_.has_value();
        if (!had_head && !parse_head()) {
            break;
        }
        if (!parse_body()) {
            if (!had_head && !close_after_write_) {
                // The limit of the head ends with it; the body has its own.
                arm_timer();
            }
            break;
        }
        dispatch();
    }
    parsing_ = false;
    if (!closed_ && !close_after_write_) {
        if (first_byte_time_) {
            find_room();
        } else {
            record_holding();
        }
    }
}

bool stream_connection::parse_head()
{
    constexpr int bad_request = 400;
    constexpr int head_too_large = 431;
    constexpr int body_too_large = 413;
    const auto result = parse_request_head(connection_->input());
    if (std::holds_alternative<http1_malformed>(result)) {
        reject(bad_request);
        return false;
    }
    if (std::holds_alternative<http1_incomplete>(result)) {
        if (connection_->input().size() > server_.options_.max_header_bytes) {
            reject(head_too_large);
        }
        return false;
    }
    const auto& parsed = std::get<http1_parsed<http1_request_head>>(result);
    if (parsed.size > server_.options_.max_header_bytes) {
        reject(head_too_large);
        return false;
    }
    const auto framing = request_framing(parsed.head);
    if (!framing) {
        reject(bad_request);
        return false;
    }
    const auto* length = std::get_if<length_framing>(&*framing);
    if (length != nullptr && length->length > server_.options_.max_body_bytes) {
        reject(body_too_large);
        return false;
    }
    head_ = parsed.head;
    body_decoder_.emplace(*framing);
    connection_->consume(parsed.size);
    if (header_contains_token(head_->headers, "expect", "100-continue")) {
        connection_->write("HTTP/1.1 " + std::to_string(continue_status) + " Continue\r\n\r\n");
    }
    return true;
}

bool stream_connection::parse_body()
{
    constexpr int bad_request = 400;
    constexpr int body_too_large = 413;
    connection_->consume(body_decoder_->feed(connection_->input(), body_));
    if (body_decoder_->progress() == body_decoder::state::malformed) {
        reject(bad_request);
        return false;
    }
    if (body_.size() > server_.options_.max_body_bytes) {
        reject(body_too_large);
        return false;
    }
    return body_decoder_->progress() == body_decoder::state::complete;
}

void stream_connection::dispatch()
{
    server_.loop_.cancel(std::exchange(timer_, 0));
    exchange_ = std::make_shared<stream_exchange>(std::move(*head_), std::exchange(body_, {}),
                                                  *std::exchange(first_byte_time_, std::nullopt));
    head_.reset();
    body_decoder_.reset();
    exchange_->connection_ = this;
    const auto exchange = exchange_;
    server_.handle_(exchange);
}

void stream_connection::reject(int status)
{
    const std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                             std::string(reason_phrase(status)) +
                             "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    close_after_write_ = true;
    release_request();
    connection_->write(text);
    record_holding();
}

void stream_connection::release_request()
{
    std::string().swap(body_);
    body_decoder_.reset();
    head_.reset();
    connection_->consume(connection_->input().size());
}

void stream_connection::abort()
{
    // Without chunked transfer coding, a normal close would complete the answer.
    connection_->reset_on_close();
    close();
}

void stream_connection::begin_unframed_answer()
{
    has_unframed_answer_ = true;
    connection_->reset_on_close();
}

void stream_connection::close_after_answer()
{
    if (has_unframed_answer_) {
        connection_->reset_on_close(false);
    }
    close();
}

void stream_connection::finish_exchange()
{
    const bool closing = will_close();
    exchange_->connection_ = nullptr;
    exchange_.reset();
    if (closing) {
        close_after_write_ = true;
        if (connection_->unsent() == 0) {
            close_after_answer();
        }
        return;
    }
    arm_timer();
    connection_->resume_reading();
    if (!connection_->input().empty() && !parsing_) {
        server_.loop_.post([&server = server_, id = id_] {
            const auto found = server.connections_.find(id);
            if (found != server.connections_.end()) {
                found->second->parse();
            }
        });
    }
}

void stream_connection::drained()
{
    moved_ = steady_now();
    record_holding();
    if (close_after_write_ && exchange_ == nullptr) {
        close_after_answer();
    } else if (exchange_ != nullptr && exchange_->on_drained_) {
        // The function may end the exchange.
        const auto exchange = exchange_;
        exchange->on_drained_();
    } else if (exchange_ == nullptr && !closed_) {
        // Reading had paused until the client read its answers.
        connection_->resume_reading();
        parse();
    }
}

void stream_connection::ended()
{
    if (closed_) {
        return;
    }
    // A client that shuts down its sending side counts as disconnected: HTTP clients do so only
    // when they disconnect.
    const auto exchange = std::exchange(exchange_, nullptr);
    if (exchange != nullptr) {
        exchange->connection_ = nullptr;
        const auto on_disconnect = std::exchange(exchange->on_disconnect_, nullptr);
        if (on_disconnect) {
            on_disconnect();
        }
    }
    close();
}

void stream_connection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    server_.loop_.cancel(timer_);
    if (exchange_ != nullptr) {
        exchange_->connection_ = nullptr;
        exchange_.reset();
    }
    server_.remove(id_);
}

} // namespace dotterelport::net
