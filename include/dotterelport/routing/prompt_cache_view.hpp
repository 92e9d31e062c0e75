#ifndef DOTTERELPORT_ROUTING_PROMPT_CACHE_VIEW_HPP
#define DOTTERELPORT_ROUTING_PROMPT_CACHE_VIEW_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <span>
#include <string>
#include <unordered_map>

#include "dotterelport/base/tokens.hpp"

namespace dotterelport::routing {

/// A part of a prompt, identified by a number. Requests share parts; a cached part is only reusable
/// after the same sequence of preceding parts.
struct prompt_part {
    std::uint64_t id = 0;
    tokens size = 0;

    bool operator==(const prompt_part&) const = default;
};

/// @brief Hash of a chain of parts, from which its preferred server is chosen.
std::uint64_t chain_hash(std::span<const prompt_part> parts);

/// Estimated contents of the prompt caches of model engines, derived from the requests that this
/// router sends and those that its peers report. Assumes that a full cache evicts its least
/// recently used parts.
class prompt_cache_view {
public:
    /// @brief Number of leading tokens of a prompt that a server is estimated to have cached.
    [[nodiscard]] tokens cached(const std::string& server,
                                std::span<const prompt_part> parts) const;

    /// @brief Records that a server processes a prompt and caches its parts.
    /// @param capacity tokens that the server's cache holds
    void record(const std::string& server, std::span<const prompt_part> parts, tokens capacity);

    /// @brief Deletes the state of a server that left or restarted.
    void forget(const std::string& server);

    /// @brief Number of recorded parts over all servers.
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        std::uint64_t chain = 0;
        tokens size = 0;
    };

    struct contents {
        /// Most recently used first.
        std::list<entry> by_last_use;
        std::unordered_map<std::uint64_t, std::list<entry>::iterator> parts;
        tokens total = 0;
    };

    std::map<std::string, contents, std::less<>> servers_;
};

} // namespace dotterelport::routing

#endif
