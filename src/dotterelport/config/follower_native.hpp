#ifndef DOTTERELPORT_CONFIG_FOLLOWER_NATIVE_HPP
#define DOTTERELPORT_CONFIG_FOLLOWER_NATIVE_HPP

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "dotterelport/config/follower.hpp"
#include "dotterelport/config/part_cache.hpp"

namespace dotterelport::config {

/// State of a follower. A manifest is considered when it is heard of, adopted by fetching the parts
/// that are missing, and put in force if its generation is still higher than the one in force.
struct follower::native : std::enable_shared_from_this<follower::native> {
    /// A manifest on its way into force, and the router that it came from, if any.
    struct candidate {
        manifest value;
        std::optional<net::endpoint> router;
        milliseconds confirmed_at{0};
    };

    native(net::event_loop& event_loop, object_store::client& platform_client,
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
    milliseconds started{0};
    milliseconds last_warning{0};

    snapshot_ptr current;
    manifest current_manifest;
    milliseconds in_force_since{0};
    /// Latest time of which it is known that the platform had no newer generation.
    std::optional<milliseconds> confirmed;
    part_cache cache;

    std::optional<candidate> pending;
    bool fetching = false;
    std::uint64_t unreadable_generation = 0;

    bool watching = false;
    bool reading = false;
    object_store::version watched_revision = 0;
    std::uint64_t watched_generation = 0;

    bool polling = false;
    std::size_t polls = 0;
    std::uint64_t hinted = 0;
    /// How old the information of each router was when it last answered.
    std::map<net::endpoint, milliseconds> router_ages;

    [[nodiscard]] std::uint64_t generation() const { return current ? current->generation() : 0; }

    /// @brief Age of the information that no newer generation exists.
    [[nodiscard]] std::optional<milliseconds> age() const;

    /// @brief Tells whether that information is recent.
    [[nodiscard]] bool is_fresh() const;
    [[nodiscard]] bool is_watcher() const;

    void tick();

    // Platform: a watch in the processes that are watchers, single reads otherwise.
    void watch();
    void take_changes(const object_store::listing& changes, milliseconds asked);
    void read_platform();
    std::uint64_t take_manifest_text(const std::string& text, milliseconds confirmed_at);

    // Routers.
    void poll();
    [[nodiscard]] std::vector<net::endpoint> routers_in_order();
    void ask(const std::vector<net::endpoint>& routers, std::size_t index);
    /// @return whether no other router needs to be asked
    bool take_answer(const net::endpoint& router, const json& answer, milliseconds asked);
    void end_poll();
    [[nodiscard]] json answer_manifest(const json& parameters) const;
    [[nodiscard]] json answer_part(const json& parameters) const;

    // Putting a generation in force.
    void consider(manifest value, const std::optional<net::endpoint>& router,
                  milliseconds confirmed_at);
    void adopt();
    /// @return false if a content cannot be parsed, after which this fetch is over
    bool keep(const part_contents& contents, std::uint64_t fetched_generation);
    void fetch_from_platform();
    void finish_fetch(std::uint64_t fetched_generation);
    void put_in_force();
    [[nodiscard]] part_source router_source(const net::endpoint& router) const;
};

} // namespace dotterelport::config

#endif
