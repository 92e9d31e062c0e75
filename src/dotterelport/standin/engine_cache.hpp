#ifndef DOTTERELPORT_STANDIN_ENGINE_CACHE_HPP
#define DOTTERELPORT_STANDIN_ENGINE_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"

namespace dotterelport::standin {

/// Prefix cache of a model engine. It holds blocks of prompt words and evicts the least recently
/// used ones. Events are published with a delay, and some are never published.
class engine_cache {
public:
    struct options {
        std::size_t max_blocks = 4096;
        milliseconds event_delay{200};
        /// Every n-th event is not published; 0 publishes all.
        std::uint64_t event_gap = 0;
    };

    explicit engine_cache(const options& settings) : settings_(settings) {}

    /// @brief Looks up the blocks of a prompt and stores the missing ones.
    /// @return number of leading blocks that were in the cache
    std::size_t use(const std::vector<std::string>& blocks, milliseconds now);

    /// @brief Body of the answer to GET /cache_events: published events with a sequence number
    /// above since.
    [[nodiscard]] json events(std::uint64_t since, milliseconds now) const;

    void clear();

private:
    struct event {
        std::uint64_t sequence;
        bool stored;
        std::string block;
        milliseconds visible_at;
    };

    void publish(bool stored, const std::string& block, milliseconds now);

    options settings_;
    /// Most recently used first.
    std::list<std::string> lru_blocks_;
    std::unordered_map<std::string, std::list<std::string>::iterator> block_positions_;
    std::uint64_t last_sequence_ = 0;
    std::deque<event> events_;
};

} // namespace dotterelport::standin

#endif
