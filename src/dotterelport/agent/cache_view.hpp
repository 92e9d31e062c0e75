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

/// Prefixes that an engine has in its cache, as far as its late and incomplete events tell.
/// Prefixes whose removal was missed are forgotten as newer ones come.
class cache_view {
public:
    static constexpr std::size_t max_prefixes = 4096;

    /// @brief Takes an answer of GET /cache_events.
    /// @return whether events are missing
    bool take(const json& answer);

    /// @brief Sequence number of the last event; changes whenever the prefixes do.
    [[nodiscard]] std::uint64_t sequence() const { return sequence_; }

    /// @brief Prefixes stored last, the newest first.
    [[nodiscard]] std::vector<std::string> newest(std::size_t max_count) const;
    [[nodiscard]] std::size_t size() const { return order_.size(); }

    /// @brief Forgets everything, after the engine restarted.
    void clear();

private:
    void store(const std::string& prefix);
    void remove(const std::string& prefix);

    std::uint64_t sequence_ = 0;
    /// Newest first.
    std::list<std::string> order_;
    std::unordered_map<std::string, std::list<std::string>::iterator> prefixes_;
};

} // namespace dotterelport::agent

#endif
