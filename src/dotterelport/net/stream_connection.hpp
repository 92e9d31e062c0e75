#ifndef DOTTERELPORT_NET_STREAM_CONNECTION_HPP
#define DOTTERELPORT_NET_STREAM_CONNECTION_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "dotterelport/net/http1.hpp"
#include "dotterelport/net/stream_server.hpp"
#include "dotterelport/net/tcp_connection.hpp"

namespace dotterelport::net {

/// A client's connection to a stream_server, which owns it and destroys it after close().
class stream_connection {
public:
    stream_connection(stream_server& server, std::uint64_t id,
                      std::unique_ptr<tcp_connection> connection);
    ~stream_connection() = default;
    stream_connection(const stream_connection&) = delete;
    stream_connection& operator=(const stream_connection&) = delete;

    void send(std::string_view bytes);
    /// @brief Begins an answer that the end of the connection delimits. Until it is finished, any
    /// end of the connection is a reset.
    void begin_unframed_answer();
    /// @brief Ends the current exchange after its last byte was queued.
    void finish_exchange();
    /// @brief Resets the connection, so that the client sees the answer as incomplete.
    void abort();
    /// @brief Closes the connection; no more requests are read from it.
    void close();

    /// @brief Gives up what the connection holds: refuses a request that was not handed on, or else
    /// closes the connection.
    /// @param cause by default the kind of what the connection holds
    void give_way(std::optional<limit_cause> cause = std::nullopt);
    /// @brief Time at which the client last sent or accepted bytes.
    [[nodiscard]] milliseconds moved() const { return moved_; }

    [[nodiscard]] bool will_close() const;
    /// @brief Returns whether the server closes connections after their answers and no further
    /// request has arrived on this one. Closing it then would lose that request.
    [[nodiscard]] bool closes_for_server() const;
    [[nodiscard]] bool has_exchange() const { return exchange_ != nullptr; }
    /// @brief Returns whether no answer is in progress and no byte of a further request has
    /// arrived.
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] std::size_t unsent() const { return connection_->unsent(); }
    [[nodiscard]] bool has_unread_bytes() const { return connection_->has_unread_bytes(); }
    [[nodiscard]] bool is_closed_by_client() const { return connection_->is_closed_by_peer(); }

private:
    /// @brief Closes the connection after a complete answer.
    void close_after_answer();
    /// @brief Records what the connection holds in the budget of the server.
    void record_holding();
    /// @brief Lets the client's request give way if its bytes find no room.
    void find_room();
    void received();
    void ended();
    void drained();
    void parse();
    /// @return false if the connection was closed or more bytes are needed
    bool parse_head();
    bool parse_body();
    void dispatch();
    void reject(int status);
    /// @brief Frees what was received of a request that is refused.
    void release_request();
    void arm_timer();
    void expire();

    stream_server& server_;
    std::uint64_t id_;
    std::unique_ptr<tcp_connection> connection_;
    std::shared_ptr<stream_exchange> exchange_;
    std::optional<http1_request_head> head_;
    std::optional<body_decoder> body_decoder_;
    std::string body_;
    /// Time at which the first byte of the request that is being read arrived.
    std::optional<milliseconds> first_byte_time_;
    timer_id timer_ = 0;
    milliseconds moved_ = steady_now();
    bool close_after_write_ = false;
    bool has_unframed_answer_ = false;
    bool closed_ = false;
    bool parsing_ = false;
};

} // namespace dotterelport::net

#endif
