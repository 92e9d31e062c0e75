#ifndef DOTTERELPORT_REQUEST_QUARANTINE_TABLE_HPP
#define DOTTERELPORT_REQUEST_QUARANTINE_TABLE_HPP

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>

namespace dotterelport::request {

/// Crashes of backend servers after which content is quarantined.
inline constexpr std::size_t quarantine_strikes = 2;

/// Counts the crashes of backend servers by the content digest of the requests that they ran.
class quarantine_table {
public:
    /// Digests kept; the oldest that are not quarantined are forgotten.
    static constexpr std::size_t max_digests = 100'000;

    /// @brief Notes a crash.
    /// @param crash identity of the crash, so that a report that arrives twice counts once
    /// @return number of crashes of the digest
    std::size_t record(const std::string& digest, const std::string& crash);

    /// @brief Quarantines a digest by a record of the platform.
    void quarantine(const std::string& digest);

    [[nodiscard]] bool is_quarantined(const std::string& digest) const;
    [[nodiscard]] std::size_t crashes(const std::string& digest) const;
    [[nodiscard]] std::size_t size() const { return digests_.size(); }

private:
    struct entry {
        std::set<std::string> crashes;
        bool is_quarantined = false;
    };

    entry& entry_of(const std::string& digest);

    std::unordered_map<std::string, entry> digests_;
    std::deque<std::string> order_;
};

} // namespace dotterelport::request

#endif
