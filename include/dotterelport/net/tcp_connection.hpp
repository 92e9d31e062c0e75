#ifndef DOTTERELPORT_NET_TCP_CONNECTION_HPP
#define DOTTERELPORT_NET_TCP_CONNECTION_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"

struct st_h2o_socket_t;

namespace dotterelport::net {

/// How the peer ended a connection.
enum class stream_end {
    /// Normally, with a FIN.
    finished,
    /// With a reset or another error: bytes may be missing.
    reset,
};

/// A TCP connection on the event loop. Distinguishes a normal close from a reset, and reads while
/// it writes, so that a peer that disconnects is detected at once.
class tcp_connection {
public:
    struct callbacks {
        /// More bytes are in input().
        std::function<void()> on_input;
        /// The peer ended the connection; called at most once.
        std::function<void(stream_end end)> on_end;
        /// Everything that was written has been handed to the kernel.
        std::function<void()> on_drained = {};
    };

    /// @brief Takes over an accepted socket of h2o.
    explicit tcp_connection(st_h2o_socket_t* socket);
    ~tcp_connection();
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    /// @brief Starts reading. The callbacks must not destroy this connection while they run; see
    /// event_loop::post().
    void start(callbacks functions);

    /// @brief Bytes that arrived and were not consumed.
    [[nodiscard]] std::string_view input() const;
    void consume(std::size_t size);

    /// @brief Stops or resumes reading. Stopping applies backpressure to the peer.
    void pause_reading();
    void resume_reading();

    /// @brief Queues bytes for sending.
    void write(std::string_view bytes);

    /// @brief Number of written bytes that were not handed to the kernel yet.
    [[nodiscard]] std::size_t unsent() const { return in_flight_.size() + pending_.size(); }

    /// @brief Returns whether the peer has closed the connection, also if the loop has not read
    /// that far yet. A close behind unread bytes is not seen.
    [[nodiscard]] bool is_closed_by_peer() const;

    /// @brief Returns whether bytes have arrived that the loop has not read yet.
    [[nodiscard]] bool has_unread_bytes() const;

    /// @brief Returns whether the connection is open and no bytes wait to be read.
    [[nodiscard]] bool is_quiet() const;

    /// @brief Limits the time for which sent bytes may stay unacknowledged.
    void limit_unacknowledged(milliseconds limit);

    /// @brief Sets whether the connection is reset when it is destroyed, or when the process ends,
    /// so that the peer does not mistake its end for a normal close.
    void reset_on_close(bool enabled = true);

private:
    struct impl;

    void read(const char* failure);
    void written(const char* failure);
    [[nodiscard]] bool was_reset(const char* failure) const;
    void send_pending();

    st_h2o_socket_t* socket_;
    callbacks functions_;
    std::string in_flight_;
    std::string pending_;
    bool ended_ = false;
    bool write_failed_ = false;
};

/// An attempt to connect. Destroying the connector cancels the attempt.
class tcp_connector {
public:
    /// @param done receives the connection, or null if connecting failed; called at most once,
    /// never before the constructor returns
    tcp_connector(event_loop& loop, const endpoint& to, milliseconds timeout,
                  std::function<void(std::unique_ptr<tcp_connection>)> done);
    ~tcp_connector();
    tcp_connector(const tcp_connector&) = delete;
    tcp_connector& operator=(const tcp_connector&) = delete;

private:
    struct impl;

    void finish(bool connected);

    event_loop& loop_;
    std::function<void(std::unique_ptr<tcp_connection>)> done_;
    st_h2o_socket_t* socket_ = nullptr;
    timer_id timer_ = 0;
};

/// Accepts connections on an address.
class tcp_listener {
public:
    /// @throws error if the address cannot be bound
    tcp_listener(event_loop& loop, const endpoint& address,
                 std::function<void(std::unique_ptr<tcp_connection>)> accept);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    /// @brief The address, with the port that the kernel chose if port 0 was requested.
    [[nodiscard]] const endpoint& address() const { return address_; }

    /// @brief Accepts the connections that wait in the kernel at once.
    void accept_pending();

private:
    struct impl;

    void accept(int limit);

    endpoint address_;
    std::function<void(std::unique_ptr<tcp_connection>)> accept_;
    st_h2o_socket_t* socket_ = nullptr;
};

} // namespace dotterelport::net

#endif
