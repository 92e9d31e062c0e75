#include "dotterelport/agent/cache_view.hpp"

namespace dotterelport::agent {

bool cache_view::apply_events(const json& answer)
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
    for (auto stored_prefix = newest_first_.begin();
         stored_prefix != newest_first_.end() && result.size() < max_count; ++stored_prefix) {
        result.push_back(*stored_prefix);
    }
    return result;
}

void cache_view::clear()
{
    sequence_ = 0;
    newest_first_.clear();
    prefixes_.clear();
}

void cache_view::store(const std::string& prefix)
{
    remove(prefix);
    newest_first_.push_front(prefix);
    prefixes_[prefix] = newest_first_.begin();
    if (newest_first_.size() > max_prefixes) {
        remove(std::string(newest_first_.back()));
    }
}

void cache_view::remove(const std::string& prefix)
{
    const auto found = prefixes_.find(prefix);
    if (found != prefixes_.end()) {
        newest_first_.erase(found->second);
        prefixes_.erase(found);
    }
}

} // namespace dotterelport::agent
