#include "dotterelport/object_store/store_relay.hpp"

#include <algorithm>
#include <utility>

namespace dotterelport::object_store {
namespace {

/// One side is not read while the other has more unsent bytes than this.
constexpr std::size_t max_unsent_bytes = 64U << 10U;

/// A connection that had data within this time is not closed for a new one.
constexpr milliseconds min_pause{1'000};

} // namespace

/// A router's connection and the connection to the store to which it is forwarded.
struct store_relay::connection_pair {
    std::unique_ptr<net::tcp_connection> router;
    std::unique_ptr<net::tcp_connection> store;
    std::unique_ptr<net::tcp_connector> connector;
    /// The store has closed its connection; the router's connection is closed once all data was
    /// sent to it.
    bool store_closed = false;
    /// Whether the router has sent anything, and the time of the last data in either direction.
    bool used = false;
    milliseconds moved = steady_now();
};

store_relay::store_relay(net::event_loop& loop, const options& settings)
    : loop_(loop), options_(settings)
{
    listener_ = std::make_unique<net::tcp_listener>(
        loop, settings.listen,
        [this](std::unique_ptr<net::tcp_connection> connection) { accept(std::move(connection)); });
}

store_relay::~store_relay() = default;

void store_relay::accept(std::unique_ptr<net::tcp_connection> connection)
{
    if (pairs_.size() >= options_.max_connections) {
        if (!close_one()) {
            return;
        }
    }
    const std::uint64_t id = ++last_id_;
    auto item = std::make_shared<connection_pair>();
    item->router = std::move(connection);
    // Unless the store closes its connection normally, an answer that ends with it is not complete.
    item->router->reset_on_close();
    pairs_.emplace(id, item);
    item->router->start({.on_input = [this, id] { forward(id, true); },
                         .on_end = [this, id](net::stream_end /*end*/) { close(id); },
                         .on_drained =
                             [this, id] {
                                 resume(id, false);
                                 finish_if_sent(id);
                             }});
    item->connector = std::make_unique<net::tcp_connector>(
        loop_, options_.store, options_.connect_timeout,
        [this, id](std::unique_ptr<net::tcp_connection> opened) {
            connected(id, std::move(opened));
        });
}

void store_relay::connected(std::uint64_t id, std::unique_ptr<net::tcp_connection> connection)
{
    const auto found = pairs_.find(id);
    if (found == pairs_.end()) {
        return;
    }
    if (connection == nullptr) {
        close(id);
        return;
    }
    const auto item = found->second;
    item->store = std::move(connection);
    item->store->start({.on_input = [this, id] { forward(id, false); },
                        .on_end =
                            [this, id](net::stream_end end) {
                                const auto ended = pairs_.find(id);
                                if (ended == pairs_.end()) {
                                    return;
                                }
                                if (end == net::stream_end::reset) {
                                    close(id);
                                    return;
                                }
                                ended->second->store_closed = true;
                                finish_if_sent(id);
                            },
                        .on_drained = [this, id] { resume(id, true); }});
    forward(id, true);
}

void store_relay::forward(std::uint64_t id, bool to_store)
{
    const auto found = pairs_.find(id);
    if (found == pairs_.end()) {
        return;
    }
    auto& item = *found->second;
    item.used = item.used || !item.router->input().empty();
    item.moved = steady_now();
    if (item.store == nullptr) {
        // The bytes wait for the connection to the store.
        if (item.router->input().size() > max_unsent_bytes) {
            item.router->pause_reading();
        }
        return;
    }
    auto& from = to_store ? *item.router : *item.store;
    auto& to = to_store ? *item.store : *item.router;
    to.write(from.input());
    from.consume(from.input().size());
    if (to.unsent() > max_unsent_bytes) {
        from.pause_reading();
    } else {
        from.resume_reading();
    }
}

void store_relay::resume(std::uint64_t id, bool to_store)
{
    const auto found = pairs_.find(id);
    if (found == pairs_.end()) {
        return;
    }
    auto& from = to_store ? found->second->router : found->second->store;
    if (from != nullptr) {
        from->resume_reading();
    }
}

void store_relay::finish_if_sent(std::uint64_t id)
{
    const auto found = pairs_.find(id);
    if (found == pairs_.end() || !found->second->store_closed ||
        found->second->router->unsent() > 0) {
        return;
    }
    found->second->router->reset_on_close(false);
    close(id);
}

bool store_relay::close_one()
{
    const auto found =
        std::min_element(pairs_.begin(), pairs_.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second->used, left.second->moved) <
                   std::pair(right.second->used, right.second->moved);
        });
    if (found == pairs_.end() ||
        (found->second->used && steady_now() - found->second->moved < min_pause)) {
        return false;
    }
    if (on_limit_) {
        on_limit_();
    }
    close(found->first);
    return true;
}

void store_relay::close(std::uint64_t id)
{
    const auto found = pairs_.find(id);
    if (found == pairs_.end()) {
        return;
    }
    // Destroyed in the next iteration of the loop, as a callback of one of the connections may be
    // running.
    const auto item = found->second;
    pairs_.erase(found);
    loop_.post([item] {});
}

} // namespace dotterelport::object_store
