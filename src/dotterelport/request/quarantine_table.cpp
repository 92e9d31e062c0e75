#include "dotterelport/request/quarantine_table.hpp"

namespace dotterelport::request {

std::size_t quarantine_table::record(const std::string& digest, const std::string& crash)
{
    entry& item = entry_of(digest);
    // Further crashes change nothing, so they are not kept.
    if (!item.is_quarantined) {
        item.crashes.insert(crash);
        item.is_quarantined = item.crashes.size() >= quarantine_strikes;
    }
    return item.crashes.size();
}

void quarantine_table::quarantine(const std::string& digest)
{
    entry_of(digest).is_quarantined = true;
}

bool quarantine_table::is_quarantined(const std::string& digest) const
{
    const auto found = digests_.find(digest);
    return found != digests_.end() && found->second.is_quarantined;
}

std::size_t quarantine_table::crashes(const std::string& digest) const
{
    const auto found = digests_.find(digest);
    return found == digests_.end() ? 0 : found->second.crashes.size();
}

quarantine_table::entry& quarantine_table::entry_of(const std::string& digest)
{
    const auto [found, is_new] = digests_.try_emplace(digest);
    if (is_new) {
        order_.push_back(digest);
        for (std::size_t i = order_.size(); i > 0 && digests_.size() > max_digests; --i) {
            const std::string oldest = order_.front();
            order_.pop_front();
            if (digests_.at(oldest).is_quarantined || oldest == digest) {
                order_.push_back(oldest);
            } else {
                digests_.erase(oldest);
            }
        }
    }
    return found->second;
}

} // namespace dotterelport::request
