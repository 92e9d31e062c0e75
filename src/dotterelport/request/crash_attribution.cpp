#include "dotterelport/request/crash_attribution.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::request {
namespace {

constexpr enum_names<suspect_kind, 2> kind_names{{
    {suspect_kind::part, "part"},
    {suspect_kind::content, "content"},
}};

bool has_all(const std::vector<suspect>& wanted, std::span<const suspect> present)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](const suspect& what) {
        return std::find(present.begin(), present.end(), what) != present.end();
    });
}

} // namespace

std::string to_string(const suspect& value)
{
    constexpr std::size_t max_digits = 16;
    constexpr int hexadecimal = 16;
    std::array<char, max_digits> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value.id, hexadecimal).ptr;
    return std::string(name_of(kind_names, value.kind)) + ":" + std::string(digits.data(), end);
}

std::vector<quarantine_entry> crash_attribution::record_crash(const std::string& server,
                                                              std::span<const suspect> suspects,
                                                              milliseconds now)
{
    while (!crashes_.empty() && now - crashes_.front().at > options_.crash_memory) {
        crashes_.pop_front();
    }
    for (auto& entry : quarantines_) {
        if (entry.suspects.size() > 1 || !has_all(entry.suspects, suspects)) {
            continue;
        }
        if (now < entry.until) {
            // The request was sent before the quarantine, which explains the crash.
            return {};
        }
        entry.until = now + options_.quarantine_time;
        return {entry};
    }
    crash& last = find_or_add(server, now);
    last.suspects.insert(suspects.begin(), suspects.end());
    std::vector<quarantine_entry> begun;
    for (auto& blamed : blamed_for(last)) {
        quarantine_entry entry{.suspects = std::move(blamed),
                               .until = now + options_.quarantine_time};
        if (quarantine(entry, now)) {
            begun.push_back(std::move(entry));
        }
    }
    return begun;
}

crash_attribution::crash& crash_attribution::find_or_add(const std::string& server,
                                                         milliseconds now)
{
    const auto same = std::find_if(crashes_.rbegin(), crashes_.rend(), [&](const crash& item) {
        return now - item.at <= options_.common_cause_window ||
               (now - item.at <= options_.same_crash_window && item.servers.contains(server));
    });
    if (same != crashes_.rend()) {
        same->servers.insert(server);
        return *same;
    }
    if (crashes_.size() == options_.max_crashes) {
        crashes_.pop_front();
    }
    crashes_.push_back(
        {.at = now, .servers = {server}, .suspects = {}, .answers_before = answers_});
    return crashes_.back();
}

std::size_t crash_attribution::crashes(const suspect& what) const
{
    return static_cast<std::size_t>(
        std::count_if(crashes_.begin(), crashes_.end(),
                      [&](const crash& item) { return item.suspects.contains(what); }));
}

bool crash_attribution::is_blamed(const suspect& what) const
{
    const auto first = std::find_if(crashes_.begin(), crashes_.end(), [&](const crash& item) {
        return item.suspects.contains(what);
    });
    // If nothing was answered, the servers are more likely to be at fault than a request.
    return first != crashes_.end() && first->answers_before < answers_ &&
           crashes(what) >= options_.crash_limit;
}

std::vector<std::vector<suspect>> crash_attribution::blamed_for(const crash& last) const
{
    std::vector<std::vector<suspect>> result;
    std::vector<suspect> parts;
    std::size_t most = 0;
    for (const auto& what : last.suspects) {
        if (!is_blamed(what)) {
            continue;
        }
        if (what.kind == suspect_kind::content) {
            result.push_back({what});
            continue;
        }
        const std::size_t count = crashes(what);
        if (count > most) {
            most = count;
            parts.clear();
        }
        if (count == most) {
            parts.push_back(what);
        }
    }
    if (!parts.empty()) {
        result.push_back(std::move(parts));
    }
    return result;
}

bool crash_attribution::quarantine(const quarantine_entry& entry, milliseconds now)
{
    const bool exists =
        std::any_of(quarantines_.begin(), quarantines_.end(), [&](const quarantine_entry& present) {
            return now < present.until && has_all(present.suspects, entry.suspects);
        });
    if (exists) {
        return false;
    }
    // Quarantines that the new one includes, or that have ended.
    std::erase_if(quarantines_, [&](const quarantine_entry& present) {
        return has_all(entry.suspects, present.suspects);
    });
    quarantines_.push_back(entry);
    const auto& first = entry.suspects.front();
    if (entry.suspects.size() == 1 && first.kind == suspect_kind::part) {
        std::erase_if(crashes_, [&](const crash& item) { return item.suspects.contains(first); });
    }
    return true;
}

std::vector<suspect> crash_attribution::record_answer(std::span<const suspect> suspects,
                                                      milliseconds now)
{
    ++answers_;
    std::vector<suspect> cleared;
    if (crashes_.empty() && quarantines_.empty()) {
        return cleared;
    }
    std::erase_if(cleared_at_,
                  [&](const auto& item) { return now - item.second > options_.clear_time; });
    for (const auto& what : suspects) {
        bool was_suspected = false;
        for (auto& entry : quarantines_) {
            was_suspected = std::erase(entry.suspects, what) > 0 || was_suspected;
        }
        for (auto& item : crashes_) {
            was_suspected = item.suspects.erase(what) > 0 || was_suspected;
        }
        if (was_suspected) {
            cleared_at_[what] = now;
            cleared.push_back(what);
        }
    }
    std::erase_if(quarantines_,
                  [](const quarantine_entry& entry) { return entry.suspects.empty(); });
    return cleared;
}

bool crash_attribution::adopt(quarantine_entry entry, milliseconds now)
{
    std::erase_if(entry.suspects, [&](const suspect& what) {
        const auto cleared = cleared_at_.find(what);
        return cleared != cleared_at_.end() && now - cleared->second <= options_.clear_time;
    });
    if (entry.until <= now || entry.suspects.empty()) {
        return false;
    }
    entry.until = std::min(entry.until, now + options_.quarantine_time);
    std::sort(entry.suspects.begin(), entry.suspects.end());
    return quarantine(entry, now);
}

std::optional<milliseconds> crash_attribution::refused_for(std::span<const suspect> suspects,
                                                           milliseconds now) const
{
    std::optional<milliseconds> longest;
    for (const auto& entry : quarantines_) {
        if (now < entry.until && has_all(entry.suspects, suspects)) {
            longest = std::max(longest.value_or(milliseconds{0}), entry.until - now);
        }
    }
    return longest;
}

std::vector<quarantine_entry> crash_attribution::quarantined(milliseconds now) const
{
    std::vector<quarantine_entry> result;
    std::copy_if(quarantines_.begin(), quarantines_.end(), std::back_inserter(result),
                 [now](const quarantine_entry& entry) { return now < entry.until; });
    return result;
}

} // namespace dotterelport::request
