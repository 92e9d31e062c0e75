#include "dotterelport/request/quarantine_table.hpp"

namespace dotterelport::request {

std::size_t quarantine_table::record(const std::string& digest, const std::string& crash_id)
{
    entry& digest_entry = find_or_add(digest);
    // Crashes after the quarantine change nothing, so they are not stored.
    if (!digest_entry.is_quarantined) {
        digest_entry.crash_ids.insert(crash_id);
        digest_entry.is_quarantined = digest_entry.crash_ids.size() >= quarantine_crashes;
    }
    return digest_entry.crash_ids.size();
}

void quarantine_table::quarantine(const std::string& digest)
{
    find_or_add(digest).is_quarantined = true;
}

bool quarantine_table::is_quarantined(const std::string& digest) const
{
    const auto found = digests_.find(digest);
    return found != digests_.end() && found->second.is_quarantined;
}

std::size_t quarantine_table::crashes(const std::string& digest) const
{
    const auto found = digests_.find(digest);
    return found == digests_.end() ? 0 : found->second.crash_ids.size();
}

quarantine_table::entry& quarantine_table::find_or_add(const std::string& digest)
{
    const auto [found, is_new] = digests_.try_emplace(digest);
    if (is_new) {
        eviction_order_.push_back(digest);
        for (std::size_t i = eviction_order_.size(); i > 0 && digests_.size() > max_digests; --i) {
            const std::string oldest = eviction_order_.front();
            eviction_order_.pop_front();
            if (digests_.at(oldest).is_quarantined || oldest == digest) {
                eviction_order_.push_back(oldest);
            } else {
                digests_.erase(oldest);
            }
        }
    }
    return found->second;
}

} // namespace dotterelport::request
