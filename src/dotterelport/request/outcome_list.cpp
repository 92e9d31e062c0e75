#include "dotterelport/request/outcome_list.hpp"

#include <unordered_set>

namespace dotterelport::request {

void outcome_list::add(const outcome& new_outcome, const std::string& holder_address)
{
    auto& entry = holders_[new_outcome.holder];
    entry.address = holder_address;
    entry.outcomes.emplace(++last_number_, new_outcome);
    ++size_;
}

std::vector<incarnation> outcome_list::holders() const
{
    std::vector<incarnation> result;
    for (const auto& [holder, entry] : holders_) {
        result.push_back(holder);
    }
    return result;
}

std::string outcome_list::address_of(const incarnation& holder) const
{
    const auto found = holders_.find(holder);
    return found == holders_.end() ? std::string() : found->second.address;
}

outcome_list::batch outcome_list::oldest(const incarnation& holder, std::size_t max_count,
                                         std::uint64_t after_number) const
{
    batch result;
    const auto found = holders_.find(holder);
    if (found == holders_.end()) {
        return result;
    }
    const auto& outcomes = found->second.outcomes;
    for (auto item = outcomes.upper_bound(after_number);
         item != outcomes.end() && result.outcomes.size() < max_count; ++item) {
        result.outcomes.push_back(item->second);
        result.last_number = item->first;
    }
    return result;
}

std::size_t outcome_list::remove(const incarnation& holder, const std::vector<request_key>& keys,
                                 std::uint64_t last_number)
{
    const auto found = holders_.find(holder);
    if (found == holders_.end()) {
        return 0;
    }
    const std::unordered_set<request_key> durable_keys(keys.begin(), keys.end());
    const std::size_t removed = std::erase_if(found->second.outcomes, [&](const auto& item) {
        return item.first <= last_number && durable_keys.contains(item.second.key);
    });
    size_ -= removed;
    if (found->second.outcomes.empty()) {
        holders_.erase(found);
    }
    return removed;
}

} // namespace dotterelport::request
