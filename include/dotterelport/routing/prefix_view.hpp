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

/// @brief Parses a hash in its wire format, 16 hexadecimal digits (see request::prefix_hashes()).
/// @return nothing if the text has another format
std::optional<prefix_hash> parse_prefix_hash(std::string_view text);

/// @brief Parses a list of hashes up to the first one that is malformed.
std::vector<prefix_hash> parse_prefix_hashes(const std::vector<std::string>& texts);

/// A change of a backend server's prefix cache.
struct cache_event {
    enum class kind {
        stored,
        evicted,
        /// All entries were evicted.
        cleared,
    };

    std::uint64_t sequence = 0;
    kind what = kind::stored;
    prefix_hash hash = 0;
};

/// Estimated contents of the prefix caches of backend servers. Events arrive late and with gaps.
/// After a gap the contents are kept until a resync, because most of them are still valid.
class prefix_view {
public:
    /// @param total_limit maximum number of blocks recorded over all servers, which bounds the
    /// memory use
    explicit prefix_view(std::size_t total_limit = 200'000);

    /// @brief Replaces the recorded contents by a snapshot of a server's cache. Keeps expected
    /// blocks, because the snapshot may predate the requests that they come from.
    void replace(const std::string& server, std::uint64_t sequence,
                 std::span<const prefix_hash> hashes);

    /// @brief Applies the events after the last known one and ignores earlier ones.
    /// @param last_sequence sequence number of the server's last event, which also shows whether
    /// events are missing at the end or the server has restarted
    /// @return false if events are missing, after which needs_resync() holds
    bool apply(const std::string& server, std::uint64_t last_sequence,
               std::span<const cache_event> events);

    /// @brief Sequence number of a server's last known event, after which further events are
    /// requested; 0 if none is known.
    [[nodiscard]] std::uint64_t sequence(const std::string& server) const;
    [[nodiscard]] bool needs_resync(const std::string& server) const;

    /// @brief Records that a sent request is expected to leave its prefix in the cache. The
    /// expectation expires if no event confirms it.
    void expect(const std::string& server, std::span<const prefix_hash> hashes, milliseconds now);

    /// @brief Number of leading blocks of a prompt that a server is estimated to have cached.
    [[nodiscard]] std::size_t matched(const std::string& server,
                                      std::span<const prefix_hash> hashes, milliseconds now) const;

    void forget(const std::string& server);

    /// @brief Number of recorded blocks over all servers.
    [[nodiscard]] std::size_t size() const;

private:
    struct contents {
        std::uint64_t sequence = 0;
        bool resync_needed = false;
        /// Time until which a block is assumed to be cached; milliseconds::max() if it is
        /// confirmed.
        std::unordered_map<prefix_hash, milliseconds> blocks;
        /// Blocks in insertion order; some may have been evicted since.
        std::deque<prefix_hash> insertion_order;
    };

    void store(contents& cache, prefix_hash hash, milliseconds valid_until) const;
    [[nodiscard]] const contents* find(const std::string& server) const;

    std::size_t total_limit_;
    std::map<std::string, contents, std::less<>> servers_;
};

} // namespace dotterelport::routing

#endif
