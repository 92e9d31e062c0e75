#ifndef DOTTERELPORT_OBJECT_STORE_STORE_RELAY_HPP
#define DOTTERELPORT_OBJECT_STORE_STORE_RELAY_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/tcp_connection.hpp"

namespace dotterelport::object_store {

/// Forwards connections to the store, for routers that cannot reach it themselves. Stores no data.
class store_relay {
public:
    struct options {
        net::endpoint listen;
        net::endpoint store;
        /// When there are more, one that has sent nothing yet, or else the one that has been
        /// without data for longest, is closed. If all are in use, the new one is.
        std::size_t max_connections = 500;
        milliseconds connect_timeout{400};
    };

    /// @throws error if the address cannot be bound
    store_relay(net::event_loop& loop, const options& settings);
    ~store_relay();
    store_relay(const store_relay&) = delete;
    store_relay& operator=(const store_relay&) = delete;

    /// @brief Sets the address of the store for new connections.
    void set_store(const net::endpoint& store) { options_.store = store; }

    [[nodiscard]] const net::endpoint& address() const { return listener_->address(); }
    /// @brief Sets a function that is called with each connection closed for a new one.
    void on_limit(std::function<void()> function) { on_limit_ = std::move(function); }

    [[nodiscard]] std::size_t connection_count() const { return pairs_.size(); }

private:
    struct connection_pair;

    void accept(std::unique_ptr<net::tcp_connection> connection);
    void connected(std::uint64_t id, std::unique_ptr<net::tcp_connection> connection);
    void forward(std::uint64_t id, bool to_store);
    /// @brief Reads again from one side, as the other has sent everything.
    void resume(std::uint64_t id, bool to_store);
    /// @brief Closes the router's connection normally if the store has, and all its bytes are sent.
    void finish_if_sent(std::uint64_t id);
    void close(std::uint64_t id);
    /// @brief Closes the connection that is least likely to be needed.
    /// @return false if all are in use
    bool close_one();

    net::event_loop& loop_;
    options options_;
    std::unique_ptr<net::tcp_listener> listener_;
    std::function<void()> on_limit_;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, std::shared_ptr<connection_pair>> pairs_;
};

} // namespace dotterelport::object_store

#endif
