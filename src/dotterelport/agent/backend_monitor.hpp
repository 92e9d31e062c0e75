#ifndef DOTTERELPORT_AGENT_BACKEND_MONITOR_HPP
#define DOTTERELPORT_AGENT_BACKEND_MONITOR_HPP

#include <cstddef>
#include <memory>

#include "dotterelport/agent/cache_view.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http_client.hpp"

namespace dotterelport::agent {

/// Load that a backend server reported. The figures lag behind the real load.
struct load_report {
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    std::uint64_t capacity = 0;
    double tokens_per_second = 0;
};

/// Polls the load report and the cache events of a model engine.
class backend_monitor {
public:
    static constexpr milliseconds default_interval{250};

    backend_monitor(net::event_loop& loop, const net::endpoint& address,
                    milliseconds interval = default_interval);

    /// @brief Turns polling on or off. Only engines are polled, since applications report no load.
    void set_enabled(bool enabled) { is_enabled_ = enabled; }

    /// @brief Returns whether the last poll of the load was answered; true until a poll fails.
    [[nodiscard]] bool is_reachable() const { return is_reachable_; }
    [[nodiscard]] bool has_report() const { return has_report_; }
    [[nodiscard]] const load_report& load() const { return load_; }
    [[nodiscard]] const cache_view& cache() const { return cache_; }

private:
    void poll();
    void poll_load();
    void poll_cache();

    net::http_client client_;
    net::endpoint address_;
    bool is_enabled_ = false;
    bool is_load_poll_in_flight_ = false;
    bool is_cache_poll_in_flight_ = false;
    bool is_reachable_ = true;
    bool has_report_ = false;
    load_report load_;
    cache_view cache_;
    net::periodic_timer timer_;
};

} // namespace dotterelport::agent

#endif
