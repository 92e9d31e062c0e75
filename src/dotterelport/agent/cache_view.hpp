#ifndef DOTTERELPORT_AGENT_CACHE_VIEW_HPP
#define DOTTERELPORT_AGENT_CACHE_VIEW_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelport/base/json.hpp"

namespace dotterelport::agent {

/// Estimate of the prefixes in an engine's cache, from cache events that arrive late and may be
/// lost. A prefix whose removal event was lost is dropped once newer prefixes fill the view.
class cache_view {
public:
    static constexpr std::size_t max_prefixes = 4096;

    /// @brief Applies the events in an answer to GET /cache_events.
    /// @return whether events are missing
    bool apply_events(const json& answer);

    /// @brief Sequence number of the last event; changes whenever the prefixes do.
    [[nodiscard]] std::uint64_t sequence() const { return sequence_; }

    /// @brief Prefixes stored last, the newest first.
    [[nodiscard]] std::vector<std::string> newest(std::size_t max_count) const;
    [[nodiscard]] std::size_t size() const { return newest_first_.size(); }

    /// @brief Removes all prefixes and resets the sequence number, for an engine that went down.
    void clear();

private:
    void store(const std::string& prefix);
    void remove(const std::string& prefix);

    std::uint64_t sequence_ = 0;
    std::list<std::string> newest_first_;
    std::unordered_map<std::string, std::list<std::string>::iterator> prefixes_;
};

} // namespace dotterelport::agent

#endif
