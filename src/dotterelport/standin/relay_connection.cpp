#include "dotterelport/standin/relay_connection.hpp"

#include <utility>

#include <arpa/inet.h>
#include <h2o.h>

namespace dotterelport::standin {
namespace {

/// Reading from a side stops while more than this is queued for a slow receiver.
constexpr std::size_t max_queued_bytes = 1U << 20U;

} // namespace

relay_connection::relay_connection(net::event_loop& loop, h2o_socket_t* accepted,
                                   milliseconds delay, std::function<void()> on_closed,
                                   std::function<void(std::size_t)> on_bytes)
    : loop_(loop), delay_(delay), on_closed_(std::move(on_closed)), on_bytes_(std::move(on_bytes))
{
    for (auto& item : sides_) {
        item.owner = this;
    }
    sides_[0].socket = accepted;
    accepted->data = &sides_[0];
}

relay_connection::~relay_connection()
{
    *alive_ = false;
    for (auto& item : sides_) {
        if (item.socket != nullptr) {
            h2o_socket_close(item.socket);
        }
    }
}

void relay_connection::connect(const net::endpoint& target)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    inet_pton(AF_INET, target.ip.c_str(), &address.sin_addr);
    sides_[1].socket = h2o_socket_connect(loop_.native(), reinterpret_cast<sockaddr*>(&address),
                                          sizeof(address), on_connect);
    if (sides_[1].socket == nullptr) {
        on_closed_();
        return;
    }
    sides_[1].socket->data = &sides_[1];
}

void relay_connection::freeze()
{
    frozen_ = true;
    start_reading(sides_[0]);
}

void relay_connection::on_connect(h2o_socket_t* socket, const char* failure)
{
    auto& target = *static_cast<side*>(socket->data);
    auto& self = *target.owner;
    if (failure != nullptr) {
        self.on_closed_();
        return;
    }
    self.start_reading(self.sides_[0]);
    self.start_reading(self.sides_[1]);
}

void relay_connection::on_read(h2o_socket_t* socket, const char* failure)
{
    auto& from = *static_cast<side*>(socket->data);
    auto& self = *from.owner;
    if (failure != nullptr) {
        h2o_socket_read_stop(socket);
        self.handle_end(from);
        return;
    }
    std::string data(socket->input->bytes, socket->input->size);
    h2o_buffer_consume(&socket->input, socket->input->size);
    self.forward(from, std::move(data));
}

void relay_connection::on_written(h2o_socket_t* socket, const char* failure)
{
    auto& to = *static_cast<side*>(socket->data);
    auto& self = *to.owner;
    if (failure != nullptr) {
        self.on_closed_();
        return;
    }
    to.queued_bytes -= to.in_flight.size();
    to.in_flight.clear();
    if (to.queued_bytes <= max_queued_bytes) {
        self.start_reading(self.peer_of(to));
    }
    self.flush(to);
}

void relay_connection::forward(side& from, std::string data)
{
    if (frozen_ || data.empty()) {
        return;
    }
    on_bytes_(data.size());
    auto& to = peer_of(from);
    to.queued_bytes += data.size();
    if (to.queued_bytes > max_queued_bytes) {
        h2o_socket_read_stop(from.socket);
    }
    if (delay_ == milliseconds{0}) {
        deliver(to, data);
        return;
    }
    loop_.schedule(delay_, [this, alive = alive_, &to, data = std::move(data)] {
        if (*alive) {
            deliver(to, data);
        }
    });
}

void relay_connection::deliver(side& to, const std::string& data)
{
    if (!frozen_) {
        to.pending += data;
        flush(to);
    }
}

void relay_connection::handle_end(side& from)
{
    auto& to = peer_of(from);
    to.peer_ended = true;
    // Runs after the deliveries that are still delayed.
    loop_.schedule(delay_, [this, alive = alive_, &to] {
        if (*alive) {
            flush(to);
        }
    });
}

void relay_connection::flush(side& to)
{
    if (!to.in_flight.empty()) {
        return;
    }
    if (to.pending.empty()) {
        if (to.peer_ended && (to.queued_bytes == 0 || frozen_)) {
            on_closed_();
        }
        return;
    }
    to.in_flight = std::exchange(to.pending, {});
    h2o_iovec_t buffer = h2o_iovec_init(to.in_flight.data(), to.in_flight.size());
    h2o_socket_write(to.socket, &buffer, 1, on_written);
}

void relay_connection::start_reading(side& from)
{
    // A side that has ended must not be read again, because it would report its end again.
    if (from.socket != nullptr && !peer_of(from).peer_ended &&
        !h2o_socket_is_reading(from.socket)) {
        h2o_socket_read_start(from.socket, on_read);
    }
}

} // namespace dotterelport::standin
