#include "dotterelport/agent/cache_view.hpp"

namespace dotterelport::agent {

bool cache_view::take(const json& answer)
{
    bool has_gap = false;
    const json events = answer.is_object() ? answer.value("events", json::array()) : json::array();
    for (const json& event : events) {
        if (!event.is_object() || !event.value("sequence", json()).is_number_unsigned() ||
            !event.value("prefix", json()).is_string()) {
            continue;
        }
        const auto sequence = event["sequence"].get<std::uint64_t>();
        if (sequence <= sequence_) {
            continue;
        }
        has_gap = has_gap || sequence != sequence_ + 1;
        sequence_ = sequence;
        if (event.value("type", json()) == "stored") {
            store(event["prefix"]);
        } else {
            remove(event["prefix"]);
        }
    }
    return has_gap;
}

std::vector<std::string> cache_view::newest(std::size_t max_count) const
{
    std::vector<std::string> result;
    for (auto item = order_.begin(); item != order_.end() && result.size() < max_count; ++item) {
        result.push_back(*item);
    }
    return result;
}

void cache_view::clear()
{
    sequence_ = 0;
    order_.clear();
    prefixes_.clear();
}

void cache_view::store(const std::string& prefix)
{
    remove(prefix);
    order_.push_front(prefix);
    prefixes_[prefix] = order_.begin();
    if (order_.size() > max_prefixes) {
        remove(std::string(order_.back()));
    }
}

void cache_view::remove(const std::string& prefix)
{
    const auto found = prefixes_.find(prefix);
    if (found != prefixes_.end()) {
        order_.erase(found->second);
        prefixes_.erase(found);
    }
}

} // namespace dotterelport::agent
