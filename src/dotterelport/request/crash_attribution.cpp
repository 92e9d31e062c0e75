#include "dotterelport/request/crash_attribution.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <charconv>
#include <iterator>

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::request {
namespace {

/// Number of crashes that are remembered; a set of crashes has a bit for each.
constexpr std::size_t max_crashes = 64;

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

bool crash_attribution::record_crash(const std::string& server, std::span<const suspect> suspects,
                                     milliseconds now)
{
    forget_old(now);
    auto& recorded = find_or_add(server, now);
    for (const auto& what : suspects) {
        recorded.suspects[what].insert(server);
    }
    return std::any_of(quarantines_.begin(), quarantines_.end(), [&](const auto& entry) {
        return now >= entry.until && has_all(entry.suspects, suspects);
    });
}

void crash_attribution::forget_old(milliseconds now)
{
    while (!crashes_.empty() && now - crashes_.front().at > options_.content_memory) {
        crashes_.pop_front();
    }
    for (auto& item : crashes_) {
        if (now - item.at > options_.part_memory) {
            std::erase_if(item.suspects, [](const auto& suspected) {
                return suspected.first.kind == suspect_kind::part;
            });
        }
    }
    std::erase_if(quarantines_, [&](const quarantine_entry& entry) {
        return now >= entry.until + options_.trial_memory;
    });
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
    if (crashes_.size() == max_crashes) {
        crashes_.pop_front();
    }
    crashes_.push_back(
        {.at = now, .servers = {server}, .suspects = {}, .answers_before = answers_});
    return crashes_.back();
}

std::vector<quarantine_entry> crash_attribution::evaluate(milliseconds now)
{
    std::vector<quarantine_entry> begun;
    const auto begin = [&](std::vector<suspect> suspects, milliseconds duration) {
        quarantine_entry entry{
            .suspects = std::move(suspects), .until = now + duration, .duration = duration};
        if (quarantine(entry, now)) {
            begun.push_back(std::move(entry));
        }
    };
    revise(explained_crashes(now), now, begun);
    crash_set explained = explained_crashes(now);
    while (const auto blamed = most_blamed_parts(explained)) {
        explained |= blamed->crashes;
        begin(blamed->suspects, options_.quarantine_time);
    }
    for (const auto& [what, unexplained] : candidates(explained)) {
        const std::vector<suspect> suspects{what};
        const bool is_known =
            std::any_of(quarantines_.begin(), quarantines_.end(),
                        [&](const auto& entry) { return entry.suspects == suspects; });
        if (what.kind == suspect_kind::content && !is_known) {
            const auto crashes = static_cast<std::size_t>(std::popcount(unexplained));
            const bool is_proved =
                crashes >= options_.crash_limit && is_answered_since(unexplained);
            begin(suspects, is_proved ? options_.quarantine_time : options_.short_quarantine_time);
        }
    }
    return begun;
}

bool crash_attribution::is_answered_since(crash_set crashes) const
{
    const auto first = static_cast<std::size_t>(std::countr_zero(crashes));
    return crashes_[first].answers_before != answers_;
}

std::size_t crash_attribution::crashed_servers(const suspect& what, crash_set crashes) const
{
    std::size_t result = 0;
    for (std::size_t i = 0; i < crashes_.size(); ++i) {
        const auto found = crashes_[i].suspects.find(what);
        if ((crashes & crash_set{1} << i) != 0 && found != crashes_[i].suspects.end()) {
            result += found->second.size();
        }
    }
    return result;
}

crash_attribution::crash_set
crash_attribution::crashes_with(std::span<const suspect> suspects) const
{
    crash_set result = 0;
    for (std::size_t i = 0; i < crashes_.size(); ++i) {
        const bool has_all_suspects =
            std::all_of(suspects.begin(), suspects.end(),
                        [&](const suspect& what) { return crashes_[i].suspects.contains(what); });
        result |= has_all_suspects ? crash_set{1} << i : 0;
    }
    return result;
}

crash_attribution::crash_set crash_attribution::explained_crashes(milliseconds now) const
{
    crash_set result = 0;
    for (const auto& entry : quarantines_) {
        if (now < entry.until && entry.suspects.front().kind == suspect_kind::part) {
            result |= crashes_with(entry.suspects);
        }
    }
    return result;
}

std::map<suspect, crash_attribution::crash_set>
crash_attribution::candidates(crash_set explained) const
{
    std::map<suspect, crash_set> result;
    for (std::size_t i = 0; i < crashes_.size(); ++i) {
        const crash_set bit = crash_set{1} << i;
        if ((explained & bit) == 0) {
            for (const auto& [what, servers] : crashes_[i].suspects) {
                result[what] |= bit;
            }
        }
    }
    std::erase_if(result, [this](const auto& item) {
        if (item.first.kind == suspect_kind::content) {
            return crashed_servers(item.first, item.second) < options_.crash_limit;
        }
        return static_cast<std::size_t>(std::popcount(item.second)) < options_.crash_limit ||
               !is_answered_since(item.second);
    });
    return result;
}

std::optional<crash_attribution::blame>
crash_attribution::most_blamed_parts(crash_set explained) const
{
    std::optional<blame> result;
    for (const auto& [what, unexplained] : candidates(explained)) {
        if (what.kind != suspect_kind::part) {
            continue;
        }
        if (!result || std::popcount(unexplained) > std::popcount(result->crashes)) {
            result = blame{.suspects = {}, .crashes = unexplained};
        }
        if (unexplained == result->crashes) {
            result->suspects.push_back(what);
        }
    }
    return result;
}

void crash_attribution::revise(crash_set explained, milliseconds now,
                               std::vector<quarantine_entry>& begun)
{
    for (auto& entry : quarantines_) {
        if (now >= entry.until) {
            // The first crash after the end of a quarantine renews it.
            const crash_set crashes = crashes_with(entry.suspects) & ~explained;
            const auto last = static_cast<std::size_t>(std::bit_width(crashes));
            if (crashes != 0 && crashes_[last - 1].at >= entry.until) {
                const milliseconds doubled =
                    std::max(entry.duration, options_.short_quarantine_time) * 2;
                entry.duration = is_answered_since(crashes)
                                     ? options_.quarantine_time
                                     : std::min(doubled, options_.quarantine_time);
                entry.until = now + entry.duration;
                begun.push_back(entry);
            }
            continue;
        }
        std::vector<suspect> present;
        for (std::size_t i = 0; i < crashes_.size() && present.empty(); ++i) {
            if ((explained & crash_set{1} << i) == 0) {
                std::copy_if(
                    entry.suspects.begin(), entry.suspects.end(), std::back_inserter(present),
                    [&](const suspect& what) { return crashes_[i].suspects.contains(what); });
            }
        }
        if (!present.empty() && present.size() < entry.suspects.size()) {
            entry.suspects = std::move(present);
            begun.push_back(entry);
        }
    }
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

std::vector<std::vector<suspect>> crash_attribution::record_send(std::span<const suspect> suspects,
                                                                 milliseconds now)
{
    std::vector<std::vector<suspect>> trials;
    for (auto& entry : quarantines_) {
        if (now >= entry.until && has_all(entry.suspects, suspects)) {
            entry.trial_until = now + options_.trial_time;
            trials.push_back(entry.suspects);
        }
    }
    return trials;
}

bool crash_attribution::adopt(quarantine_entry entry, milliseconds now)
{
    std::erase_if(entry.suspects, [&](const suspect& what) {
        const auto cleared = cleared_at_.find(what);
        return cleared != cleared_at_.end() && now - cleared->second <= options_.clear_time;
    });
    if (now >= entry.until + options_.trial_memory || entry.suspects.empty()) {
        return false;
    }
    entry.until = std::min(entry.until, now + options_.quarantine_time);
    std::sort(entry.suspects.begin(), entry.suspects.end());
    const auto known =
        std::find_if(quarantines_.begin(), quarantines_.end(),
                     [&](const quarantine_entry& item) { return item.suspects == entry.suspects; });
    if (known == quarantines_.end()) {
        if (now < entry.until) {
            return quarantine(entry, now);
        }
        quarantines_.push_back(std::move(entry));
        return false;
    }
    const bool was_active = now < known->until;
    const milliseconds tolerance = was_active ? options_.end_tolerance : milliseconds{0};
    if (entry.until > known->until + tolerance) {
        known->until = entry.until;
    }
    return !was_active && now < known->until;
}

std::optional<milliseconds> crash_attribution::refused_for(std::span<const suspect> suspects,
                                                           milliseconds now) const
{
    std::optional<milliseconds> longest;
    for (const auto& entry : quarantines_) {
        const milliseconds wait =
            has_all(entry.suspects, suspects) ? time_until_trial(entry, now) : milliseconds{0};
        if (wait > milliseconds{0}) {
            longest = std::max(longest.value_or(wait), wait);
        }
    }
    return longest;
}

milliseconds crash_attribution::time_until_trial(const quarantine_entry& entry,
                                                 milliseconds now) const
{
    const trial_turn turn = trial_order_ ? trial_order_(entry.suspects) : trial_turn{};
    const milliseconds end = std::max(entry.until, entry.trial_until);
    const milliseconds own_slot = options_.trial_slot * static_cast<int>(turn.position);
    if (now < end) {
        return end - now + own_slot;
    }
    // The turns come round again, so that a request is tried although it reaches some routers only.
    const milliseconds cycle = options_.trial_slot * static_cast<int>(turn.routers);
    const milliseconds time_in_cycle = (now - end) % cycle;
    if (time_in_cycle >= own_slot && time_in_cycle < own_slot + options_.trial_slot) {
        return milliseconds{0};
    }
    return (own_slot - time_in_cycle + cycle) % cycle;
}

std::vector<quarantine_entry> crash_attribution::quarantined(milliseconds now) const
{
    std::vector<quarantine_entry> result;
    std::copy_if(quarantines_.begin(), quarantines_.end(), std::back_inserter(result),
                 [now](const quarantine_entry& entry) { return now < entry.until; });
    return result;
}

std::vector<quarantine_entry> crash_attribution::remembered(milliseconds now) const
{
    std::vector<quarantine_entry> result;
    std::copy_if(
        quarantines_.begin(), quarantines_.end(), std::back_inserter(result),
        [&](const quarantine_entry& entry) { return now < entry.until + options_.trial_memory; });
    return result;
}

} // namespace dotterelport::request
