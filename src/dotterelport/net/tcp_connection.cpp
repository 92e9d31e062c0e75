#include "dotterelport/net/tcp_connection.hpp"

#include <cerrno>
#include <cstring>
#include <utility>

#include <h2o.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dotterelport/base/error.hpp"
#include "socket_address.hpp"

namespace dotterelport::net {
namespace {

/// Maximum number of connections that wait to be accepted.
constexpr int listen_backlog = 1024;

/// Limit of the bytes that the kernel keeps for a connection until they are read. h2o reads until a
/// read does not fill its buffer, so that this also bounds what one callback can receive.
constexpr int receive_buffer_bytes = 64 << 10;

/// @brief Result of recv() for the next byte, which stays unread.
ssize_t peek(int descriptor)
{
    char next = 0;
    return ::recv(descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
}

/// @brief Returns whether the last peek failed because no byte has arrived.
bool has_no_input_yet()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

/// @brief Returns whether neither direction of a connection is open, as after a reset.
bool is_connection_closed(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    return ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state == TCP_CLOSE;
}

} // namespace

struct tcp_connection::impl {
    static void on_read(st_h2o_socket_t* socket, const char* failure)
    {
        static_cast<tcp_connection*>(socket->data)->read(failure);
    }

    static void on_written(st_h2o_socket_t* socket, const char* failure)
    {
        static_cast<tcp_connection*>(socket->data)->written(failure);
    }
};

tcp_connection::tcp_connection(st_h2o_socket_t* socket) : socket_(socket)
{
    socket_->data = this;
    const int enabled = 1;
    ::setsockopt(h2o_socket_get_fd(socket_), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    ::setsockopt(h2o_socket_get_fd(socket_), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
}

tcp_connection::~tcp_connection()
{
    h2o_socket_close(socket_);
}

void tcp_connection::start(callbacks functions)
{
    functions_ = std::move(functions);
    resume_reading();
}

std::string_view tcp_connection::input() const
{
    return {socket_->input->bytes, socket_->input->size};
}

void tcp_connection::consume(std::size_t size)
{
    h2o_buffer_consume(&socket_->input, size);
}

void tcp_connection::pause_reading()
{
    if (h2o_socket_is_reading(socket_) != 0) {
        h2o_socket_read_stop(socket_);
    }
}

void tcp_connection::resume_reading()
{
    if (!ended_ && h2o_socket_is_reading(socket_) == 0) {
        h2o_socket_read_start(socket_, impl::on_read);
    }
}

void tcp_connection::read(const char* failure)
{
    if (failure == nullptr) {
        functions_.on_input();
        return;
    }
    ended_ = true;
    pause_reading();
    functions_.on_end(was_reset(failure) ? stream_end::reset : stream_end::finished);
}

bool tcp_connection::was_reset(const char* failure) const
{
    // h2o reports a normal close and a socket error by different constants.
    if (failure != h2o_socket_error_closed || write_failed_) {
        return true;
    }
    // The kernel reports a reset once. If a write received it, whose callback may still follow, the
    // next read looks like a normal close.
    return !in_flight_.empty() && is_connection_closed(h2o_socket_get_fd(socket_));
}

void tcp_connection::write(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    pending_.append(bytes);
    send_pending();
}

void tcp_connection::send_pending()
{
    if (!in_flight_.empty() || pending_.empty()) {
        return;
    }
    in_flight_ = std::exchange(pending_, {});
    h2o_iovec_t buffer = h2o_iovec_init(in_flight_.data(), in_flight_.size());
    h2o_socket_write(socket_, &buffer, 1, impl::on_written);
}

void tcp_connection::written(const char* failure)
{
    in_flight_.clear();
    if (failure != nullptr) {
        // The read side also detects the end of the connection and reports it.
        write_failed_ = true;
        pending_.clear();
        return;
    }
    send_pending();
    if (unsent() == 0 && functions_.on_drained) {
        functions_.on_drained();
    }
}

bool tcp_connection::is_quiet() const
{
    return peek(h2o_socket_get_fd(socket_)) < 0 && has_no_input_yet();
}

bool tcp_connection::is_closed_by_peer() const
{
    const ssize_t size = peek(h2o_socket_get_fd(socket_));
    return size == 0 || (size < 0 && !has_no_input_yet());
}

bool tcp_connection::has_unread_bytes() const
{
    return peek(h2o_socket_get_fd(socket_)) > 0;
}

void tcp_connection::limit_unacknowledged(milliseconds limit)
{
    const auto limit_ms = static_cast<unsigned>(limit.count());
    ::setsockopt(h2o_socket_get_fd(socket_), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
                 sizeof(limit_ms));
}

void tcp_connection::reset_on_close(bool enabled)
{
    const linger no_linger{.l_onoff = enabled ? 1 : 0, .l_linger = 0};
    ::setsockopt(h2o_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
}

struct tcp_connector::impl {
    static void on_connect(st_h2o_socket_t* socket, const char* failure)
    {
        static_cast<tcp_connector*>(socket->data)->finish(failure == nullptr);
    }
};

tcp_connector::tcp_connector(event_loop& loop, const endpoint& to, milliseconds timeout,
                             std::function<void(std::unique_ptr<tcp_connection>)> done)
    : loop_(loop), done_(std::move(done))
{
    sockaddr_in address = to_socket_address(to, "cannot connect to");
    socket_ = h2o_socket_connect(loop.native(), reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address), impl::on_connect);
    if (socket_ == nullptr) {
        timer_ = loop_.schedule(milliseconds{0}, [this] { finish(false); });
        return;
    }
    socket_->data = this;
    timer_ = loop_.schedule(timeout, [this] { finish(false); });
}

tcp_connector::~tcp_connector()
{
    loop_.cancel(timer_);
    if (socket_ != nullptr) {
        h2o_socket_close(socket_);
    }
}

void tcp_connector::finish(bool connected)
{
    loop_.cancel(std::exchange(timer_, 0));
    auto* socket = std::exchange(socket_, nullptr);
    auto done = std::exchange(done_, nullptr);
    if (connected) {
        done(std::make_unique<tcp_connection>(socket));
        return;
    }
    if (socket != nullptr) {
        h2o_socket_close(socket);
    }
    done(nullptr);
}

struct tcp_listener::impl {
    static void on_accept(st_h2o_socket_t* listener, const char* failure)
    {
        // Bounds the time for which other connections wait.
        constexpr int accepts_per_wakeup = 64;
        if (failure == nullptr) {
            static_cast<tcp_listener*>(listener->data)->accept(accepts_per_wakeup);
        }
    }
};

void tcp_listener::accept(int limit)
{
    for (int i = 0; i < limit; ++i) {
        auto* socket = h2o_evloop_socket_accept(socket_);
        if (socket == nullptr) {
            return;
        }
        accept_(std::make_unique<tcp_connection>(socket));
    }
}

void tcp_listener::accept_pending()
{
    accept(listen_backlog);
}

tcp_listener::tcp_listener(event_loop& loop, const endpoint& address,
                           std::function<void(std::unique_ptr<tcp_connection>)> accept)
    : address_(address), accept_(std::move(accept))
{
    const int descriptor = open_bound_socket(SOCK_STREAM, address_);
    if (::listen(descriptor, listen_backlog) != 0) {
        const std::string message = std::strerror(errno);
        ::close(descriptor);
        throw error("cannot listen on " + to_string(address) + ": " + message);
    }
    socket_ = h2o_evloop_socket_create(loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    socket_->data = this;
    h2o_socket_read_start(socket_, impl::on_accept);
}

tcp_listener::~tcp_listener()
{
    h2o_socket_read_stop(socket_);
    h2o_socket_close(socket_);
}

} // namespace dotterelport::net
