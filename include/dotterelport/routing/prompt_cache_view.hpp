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

/// A named part of a prompt. Requests share parts; a part is only reusable after the same parts
/// before it.
struct prompt_part {
    std::uint64_t id = 0;
    tokens size = 0;

    bool operator==(const prompt_part&) const = default;
};

/// @brief Name of a chain of parts, for choosing its home server.
std::uint64_t chain_name(std::span<const prompt_part> parts);

/// What the prompt caches of model engines hold, as far as this router's own requests show it.
/// Each cache drops what was used least recently once it is full.
class prompt_cache_view {
public:
    /// @brief Tokens at the start of a prompt that a server is believed to hold.
    [[nodiscard]] tokens cached(const std::string& server,
                                std::span<const prompt_part> parts) const;

    /// @brief Records that a server reads a prompt.
    /// @param capacity tokens that the server's cache holds
    void record(const std::string& server, std::span<const prompt_part> parts, tokens capacity);

    /// @brief Forgets a server that left or started anew.
    void forget(const std::string& server);

    /// @brief Parts remembered over all servers.
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        std::uint64_t chain = 0;
        tokens size = 0;
    };

    struct contents {
        /// Most recently used first.
        std::list<entry> order;
        std::unordered_map<std::uint64_t, std::list<entry>::iterator> parts;
        tokens total = 0;
    };

    std::map<std::string, contents, std::less<>> servers_;
};

} // namespace dotterelport::routing

#endif
