#ifndef DOTTERELPORT_REQUEST_CRASH_ATTRIBUTION_HPP
#define DOTTERELPORT_REQUEST_CRASH_ATTRIBUTION_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::request {

/// What of a request may crash the backend servers that run it.
enum class suspect_kind {
    /// A part of its prompt, which other requests share.
    part,
    /// Its whole content; only a repeated request has the same.
    content,
};

/// Something that may crash backend servers.
struct suspect {
    suspect_kind kind = suspect_kind::part;
    /// Id of the part, or hash of the content.
    std::uint64_t id = 0;

    auto operator<=>(const suspect&) const = default;
};

/// @brief Name of a suspect for logs, for example "part:1f2e".
std::string to_string(const suspect& value);

/// Refuses the requests that have all of some suspects. There is more than one if no crash tells
/// which of them is to blame.
struct quarantine_entry {
    /// Sorted.
    std::vector<suspect> suspects;
    /// Steady time at which the quarantine ends.
    milliseconds until{0};
    /// After the end, time until which the result of the attempt that was let through is awaited.
    milliseconds trial_until{0};
    /// Time for which this router imposed it last; 0 if it was taken over from another one.
    milliseconds duration{0};
};

/// Place of a router in the order in which the routers of a fleet may let a request through after a
/// quarantine.
struct trial_turn {
    std::size_t position = 0;
    std::size_t routers = 1;
};

/// Finds which part of requests crashes the backend servers that run them.
///
/// A server that crashes fails all of its requests, and sound ones share the workspace and other
/// parts with the request that is to blame. A part is blamed if it was at several crashed servers,
/// in requests that had not begun to be answered, and no request with it was answered in between,
/// while others were. The part that explains most crashes is blamed first, and these crashes do not
/// count against others. Parts that were at the same crashes are quarantined together: only
/// requests with all of them are refused, until an answer or a further crash tells them apart.
///
/// A content is counted by the servers that crashed with it, also at once: callers repeat it, so it
/// may be at all servers of a service when the first one crashes. As sound content may be there too
/// when servers crash for a common reason, such a quarantine is short, and the first crash after it
/// proves the content to be at fault. It is short as well if nothing was answered since the first
/// crash, as the servers may crash whatever they run, and then lasts longer with each crash.
///
/// When a quarantine has ended, one attempt at a time is let through until one is answered or
/// crashes a server. Routers take turns, so that a fleet does not let one through at each of them.
/// Answers from all routers and crashes seen by all of them may be recorded.
class crash_attribution {
public:
    struct options {
        /// Crashes after which a suspect is quarantined.
        std::size_t crash_limit = 3;
        /// Crashes within this time count once, since they may have a common cause, such as the
        /// loss of a rack.
        milliseconds common_cause_window{150};
        /// Reports about one server within this time are about one crash.
        milliseconds same_crash_window{2'000};
        /// Time after which a crash no longer counts against a part, which may be at unrelated
        /// ones.
        milliseconds part_memory{60'000};
        /// Time after which a crash no longer counts against a content, whose caller may be slow to
        /// repeat it.
        milliseconds content_memory{600'000};
        milliseconds quarantine_time{600'000};
        /// Quarantine of a content whose crashes may have a common cause. Longer than a crashed
        /// server takes to start again.
        milliseconds short_quarantine_time{10'000};
        /// Time for which the result of an attempt after the end of a quarantine is awaited.
        milliseconds trial_time{2'000};
        /// Time for which it is one router's turn to let an attempt through; longer than a message
        /// takes to all others.
        milliseconds trial_slot{250};
        /// Time after the end of a quarantine for which its suspects are remembered, unless an
        /// attempt shows whether they are at fault.
        milliseconds trial_memory{600'000};
        /// An active quarantine is only replaced by another router's if that ends later by more
        /// than this; messages take a while, so that ends differ slightly.
        milliseconds end_tolerance{1'000};
        /// Time for which a cleared suspect is not quarantined because of another router's older
        /// message.
        milliseconds clear_time{5'000};
    };

    /// This router's turn after a quarantine of these suspects.
    using trial_order = std::function<trial_turn(std::span<const suspect> suspects)>;

    crash_attribution() = default;
    explicit crash_attribution(const options& settings, trial_order order = {})
        : options_(settings), trial_order_(std::move(order))
    {}

    /// @brief Records that a server crashed. Several routers may report the same crash.
    /// @param suspects those of requests at the server that had not begun to be answered
    /// @return whether the crash renews a quarantine that has ended, so that evaluate() need not
    /// wait for further reports
    bool record_crash(const std::string& server, std::span<const suspect> suspects,
                      milliseconds now);

    /// @brief Decides what is to blame for the recorded crashes; to be called once the reports
    /// about a crash have arrived, as some of them may name bystanders only.
    /// @return quarantines that begin
    std::vector<quarantine_entry> evaluate(milliseconds now);

    /// @brief Records that a request was answered completely, so that none of its suspects crashes
    /// servers.
    /// @return those that were under suspicion or in quarantine
    std::vector<suspect> record_answer(std::span<const suspect> suspects, milliseconds now);

    /// @brief Records that this or another router sends a request to a server.
    /// @return suspects of the ended quarantines that include the request, which other routers
    /// should know so that they do not let another one through
    std::vector<std::vector<suspect>> record_send(std::span<const suspect> suspects,
                                                  milliseconds now);

    /// @brief Takes over a quarantine of another router, which may have ended.
    /// @return whether it refuses requests that were not refused before
    bool adopt(quarantine_entry entry, milliseconds now);

    /// @brief Time for which a request is refused; nothing if it may run.
    [[nodiscard]] std::optional<milliseconds> refused_for(std::span<const suspect> suspects,
                                                          milliseconds now) const;

    /// @brief Quarantines that refuse requests.
    [[nodiscard]] std::vector<quarantine_entry> quarantined(milliseconds now) const;

    /// @brief Quarantines, also ended ones whose suspects no attempt has cleared yet. A router that
    /// starts needs them to wait for its turn.
    [[nodiscard]] std::vector<quarantine_entry> remembered(milliseconds now) const;

private:
    struct crash {
        milliseconds at{0};
        std::set<std::string> servers;
        /// Servers that each suspect was at.
        std::map<suspect, std::set<std::string>> suspects;
        /// Answers that were recorded before the crash.
        std::uint64_t answers_before = 0;
    };

    /// A bit for each of crashes_.
    using crash_set = std::uint64_t;

    struct blame {
        std::vector<suspect> suspects;
        crash_set crashes = 0;
    };

    void forget_old(milliseconds now);
    crash& find_or_add(const std::string& server, milliseconds now);
    [[nodiscard]] crash_set crashes_with(std::span<const suspect> suspects) const;
    /// @brief Crashes at which quarantined parts were.
    [[nodiscard]] crash_set explained_crashes(milliseconds now) const;
    /// @brief Unexplained crashes of each suspect that enough of them count against.
    [[nodiscard]] std::map<suspect, crash_set> candidates(crash_set explained) const;
    /// @brief Whether anything was answered since the first of these crashes. If not, the servers
    /// are more likely to be at fault than a request.
    [[nodiscard]] bool is_answered_since(crash_set crashes) const;
    /// @brief Number of servers that crashed with a suspect.
    [[nodiscard]] std::size_t crashed_servers(const suspect& what, crash_set crashes) const;
    /// @brief Parts that explain most of the unexplained crashes.
    [[nodiscard]] std::optional<blame> most_blamed_parts(crash_set explained) const;
    /// @brief Renews quarantines that have ended, and narrows those of several parts.
    void revise(crash_set explained, milliseconds now, std::vector<quarantine_entry>& begun);
    [[nodiscard]] milliseconds time_until_trial(const quarantine_entry& entry,
                                                milliseconds now) const;
    /// @return whether the quarantine did not exist
    bool quarantine(const quarantine_entry& entry, milliseconds now);

    options options_;
    trial_order trial_order_;
    /// Ordered by time.
    std::deque<crash> crashes_;
    /// Also those that have ended: the first crash after the end renews a quarantine.
    std::vector<quarantine_entry> quarantines_;
    std::map<suspect, milliseconds> cleared_at_;
    std::uint64_t answers_ = 0;
};

} // namespace dotterelport::request

#endif
