#ifndef DOTTERELPORT_CONFIG_FOLLOWER_IMPL_HPP
#define DOTTERELPORT_CONFIG_FOLLOWER_IMPL_HPP

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "dotterelport/config/follower.hpp"
#include "dotterelport/config/part_cache.hpp"

namespace dotterelport::config {

/// State of a follower. A manifest is considered when it arrives, adopted by fetching the parts
/// that are missing, and put in force when all its parts are cached. Only a generation higher than
/// the one in force is adopted.
struct follower::impl : std::enable_shared_from_this<follower::impl> {
    /// A manifest that is being adopted, and the router that sent it, if any.
    struct candidate {
        manifest new_manifest;
        std::optional<net::endpoint> router;
        milliseconds confirmed_at{0};
    };

    impl(net::event_loop& event_loop, object_store::client& platform_client,
         net::rpc_client& client, options follower_options)
        : loop(event_loop), platform(platform_client), rpc(client),
          settings(std::move(follower_options))
    {}

    net::event_loop& loop;
    object_store::client& platform;
    net::rpc_client& rpc;
    options settings;
    std::function<void(const snapshot_ptr&)> on_change;
    std::unique_ptr<net::periodic_timer> timer;
    milliseconds start_time{0};
    milliseconds last_warning{0};

    snapshot_ptr current;
    manifest current_manifest;
    milliseconds in_force_since{0};
    /// Latest time at which the platform is known to have had no newer generation.
    std::optional<milliseconds> last_confirmed;
    part_cache cache;

    std::optional<candidate> pending;
    bool fetching = false;
    std::uint64_t unreadable_generation = 0;

    bool watching = false;
    bool reading = false;
    object_store::version watched_revision = 0;
    std::uint64_t watched_generation = 0;

    bool polling = false;
    std::size_t poll_count = 0;
    std::uint64_t reported_generation = 0;
    /// Age of each router's last confirmation when it last answered.
    std::map<net::endpoint, milliseconds> router_ages;

    [[nodiscard]] std::uint64_t generation() const { return current ? current->generation() : 0; }

    /// @brief Time since the platform was last known to have no newer generation.
    [[nodiscard]] std::optional<milliseconds> confirmation_age() const;

    /// @brief Returns whether the current generation was confirmed recently.
    [[nodiscard]] bool is_fresh() const;
    [[nodiscard]] bool is_watcher() const;

    void tick();

    // Platform: a watch in the processes that are watchers, single reads otherwise.
    void watch();
    void handle_changes(const object_store::listing& changes, milliseconds asked_at);
    void read_platform();
    std::uint64_t handle_manifest_text(const std::string& text, milliseconds confirmed_at);

    // Routers.
    void poll();
    [[nodiscard]] std::vector<net::endpoint> routers_in_order();
    void ask_router(const std::vector<net::endpoint>& routers, std::size_t index);
    /// @return whether no other router needs to be asked
    bool handle_answer(const net::endpoint& router, const json& answer, milliseconds asked_at);
    void end_poll();
    [[nodiscard]] json answer_manifest(const json& parameters) const;
    [[nodiscard]] json answer_part(const json& parameters) const;

    // Putting a generation in force.
    void consider(manifest value, const std::optional<net::endpoint>& router,
                  milliseconds confirmed_at);
    void adopt();
    /// @return false if a part cannot be parsed, which ends this fetch
    bool cache_contents(const part_contents& contents, std::uint64_t fetched_generation);
    void fetch_from_platform();
    void finish_fetch(std::uint64_t fetched_generation);
    void put_in_force();
    [[nodiscard]] part_source router_source(const net::endpoint& router) const;
};

} // namespace dotterelport::config

#endif
