#ifndef DOTTERELPORT_REQUEST_QUARANTINE_TABLE_HPP
#define DOTTERELPORT_REQUEST_QUARANTINE_TABLE_HPP

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>

namespace dotterelport::request {

/// Number of backend server crashes after which content is quarantined.
inline constexpr std::size_t quarantine_crashes = 2;

/// Counts the crashes of backend servers by the content digest of the requests that they ran.
class quarantine_table {
public:
    /// Number of digests above which the oldest that are not quarantined are evicted.
    static constexpr std::size_t max_digests = 100'000;

    /// @brief Records a crash.
    /// @param crash_id identifier of the crash, so that a report that arrives twice counts once
    /// @return number of crashes of the digest
    std::size_t record(const std::string& digest, const std::string& crash_id);

    /// @brief Quarantines a digest for which the platform has a quarantine record.
    void quarantine(const std::string& digest);

    [[nodiscard]] bool is_quarantined(const std::string& digest) const;
    [[nodiscard]] std::size_t crashes(const std::string& digest) const;
    [[nodiscard]] std::size_t size() const { return digests_.size(); }

private:
    struct entry {
        std::set<std::string> crash_ids;
        bool is_quarantined = false;
    };

    entry& find_or_add(const std::string& digest);

    std::unordered_map<std::string, entry> digests_;
    /// Digests in the order in which they are considered for eviction. Quarantined digests move to
    /// the back instead of being evicted.
    std::deque<std::string> eviction_order_;
};

} // namespace dotterelport::request

#endif
