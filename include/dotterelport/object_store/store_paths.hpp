#ifndef DOTTERELPORT_OBJECT_STORE_STORE_PATHS_HPP
#define DOTTERELPORT_OBJECT_STORE_STORE_PATHS_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/net/endpoint.hpp"

namespace dotterelport::object_store {

/// A relay that forwards connections to the store.
struct relay_address {
    net::endpoint address;
    std::string failure_domain;

    bool operator==(const relay_address&) const = default;
};

/// Kind of call for which a path is chosen.
enum class path_use {
    /// A call that is answered at once: may be used to find out whether a path works again.
    short_call,
    /// A call that waits for seconds: uses only a path that is known to work, if there is one.
    long_poll,
};

struct path_settings {
    /// Time for which a path is avoided after a failure; doubled after each consecutive failure up
    /// to the longest penalty.
    milliseconds first_penalty{700};
    milliseconds longest_penalty{5'000};
    /// Limits of the time for an answer to a short call. Between them, it is a multiple of the
    /// usual time: the store answers in a few milliseconds on most days and in some hundred on its
    /// slowest ones, and a call over a path that is cut off must not delay requests for as long as
    /// these.
    milliseconds shortest_timeout{200};
    milliseconds longest_timeout{600};
    double timeout_factor = 8.0;
};

/// Chooses how to reach the store: directly, or through a relay when this process cannot reach the
/// store itself. Covers network partitions between entry VMs and the store in which backend servers
/// reach both.
class store_paths {
public:
    store_paths(const net::endpoint& store, std::string failure_domain,
                const path_settings& settings = {});

    /// @brief Sets the relays; the recorded results of relays that remain are kept.
    void set_relays(const std::vector<relay_address>& relays);

    /// @brief Chooses the path of the next call.
    [[nodiscard]] net::endpoint choose(path_use use, milliseconds now) const;

    /// @brief Time limit for the answer to a short call over a path.
    [[nodiscard]] milliseconds timeout(const net::endpoint& path) const;

    /// @brief Records whether the store answered over a path.
    /// @param duration time until the answer; nothing for a call that waited for changes
    void record_result(const net::endpoint& path, bool answered, milliseconds now,
                       std::optional<milliseconds> duration = std::nullopt);

    /// @brief Returns whether calls go directly to the store.
    [[nodiscard]] bool is_direct() const;

    [[nodiscard]] json dump(milliseconds now) const;

private:
    struct path_state {
        int failures = 0;
        milliseconds avoided_until{0};
        /// Moving average of the time until an answer; nothing before the first one, and after a
        /// failure.
        std::optional<double> answer_ms;
    };

    [[nodiscard]] const path_state& state_of(const net::endpoint& path) const;
    [[nodiscard]] bool is_proven(const net::endpoint& path) const;
    /// @param proven whether the store must have answered through the relay
    /// @return null if there is no such relay that is not avoided
    [[nodiscard]] const relay_address* find_relay(milliseconds now, bool proven) const;

    net::endpoint store_;
    std::string failure_domain_;
    path_settings settings_;
    /// Relays of this failure domain come first.
    std::vector<relay_address> relays_;
    std::map<net::endpoint, path_state> states_;
};

} // namespace dotterelport::object_store

#endif
