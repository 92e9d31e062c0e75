#ifndef DOTTERELPORT_ROUTING_PREFIX_VIEW_HPP
#define DOTTERELPORT_ROUTING_PREFIX_VIEW_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::routing {

/// Rolling hash of a prompt from its start up to the end of a block.
using prefix_hash = std::uint64_t;

/// @brief Reads a hash as the wire has it, 16 hexadecimal digits (see request::prefix_hashes()).
/// @return nothing if the text has another form
std::optional<prefix_hash> parse_prefix_hash(std::string_view text);

/// @brief Reads a list of hashes up to the first one of another form.
std::vector<prefix_hash> parse_prefix_hashes(const std::vector<std::string>& texts);

/// A change of a backend server's prefix cache.
struct cache_event {
    enum class kind {
        stored,
        evicted,
        /// All entries were dropped.
        cleared,
    };

    std::uint64_t sequence = 0;
    kind what = kind::stored;
    prefix_hash hash = 0;
};

/// What the prefix caches of backend servers are believed to hold. Events arrive late and with
/// gaps; after a gap the contents are kept, as most of them are still right, until a resync.
class prefix_view {
public:
    /// @param total_limit blocks remembered over all servers, which bounds the memory
    explicit prefix_view(std::size_t total_limit = 200'000);

    /// @brief Takes the whole contents of a cache. Expected blocks stay, as the contents are late.
    void replace(const std::string& server, std::uint64_t sequence,
                 std::span<const prefix_hash> hashes);

    /// @brief Takes the events after the last known one.
    /// @param last_sequence the server's last event, which also shows that events are missing at
    /// the end or that the server has restarted
    /// @return false if events are missing, after which needs_resync() holds
    bool apply(const std::string& server, std::uint64_t last_sequence,
               std::span<const cache_event> events);

    /// @brief Sequence to ask a server's events from.
    [[nodiscard]] std::uint64_t sequence(const std::string& server) const;
    [[nodiscard]] bool needs_resync(const std::string& server) const;

    /// @brief Assumes for a while that a request which is sent leaves its prefix in the cache.
    void expect(const std::string& server, std::span<const prefix_hash> hashes, milliseconds now);

    /// @brief Number of leading blocks of a prompt that a server is believed to hold.
    [[nodiscard]] std::size_t matched(const std::string& server,
                                      std::span<const prefix_hash> hashes, milliseconds now) const;

    void forget(const std::string& server);

    /// @brief Blocks remembered over all servers.
    [[nodiscard]] std::size_t size() const;

private:
    struct contents {
        std::uint64_t sequence = 0;
        bool resync = false;
        /// Time until which a block is believed to be there.
        std::unordered_map<prefix_hash, milliseconds> blocks;
        /// Blocks in the order of their arrival; some may have been evicted since.
        std::deque<prefix_hash> order;
    };

    void store(contents& cache, prefix_hash hash, milliseconds until) const;
    [[nodiscard]] const contents* find(const std::string& server) const;

    std::size_t total_limit_;
    std::map<std::string, contents, std::less<>> servers_;
};

} // namespace dotterelport::routing

#endif
