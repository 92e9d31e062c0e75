#ifndef DOTTERELPORT_GATEWAY_CRASH_WATCH_HPP
#define DOTTERELPORT_GATEWAY_CRASH_WATCH_HPP

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/gateway/peer_link.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/tcp_connection.hpp"
#include "dotterelport/object_store/conditional_objects.hpp"
#include "dotterelport/request/crash_attribution.hpp"

namespace dotterelport::gateway {

/// A crashed server, and the suspects of the sender's requests that it had not begun to answer.
struct crash_report {
    std::string server;
    std::vector<request::suspect> suspects;
};

/// What a gateway tells the others about crashes.
struct crash_message {
    std::vector<crash_report> crashes;
    /// Suspects of requests that were answered.
    std::vector<request::suspect> cleared;
    std::vector<request::quarantine_entry> quarantined;
    /// Suspects of ended quarantines with which the sender lets a request through.
    std::vector<std::vector<request::suspect>> trials;
};

/// @param now steady time of the sender; ends of quarantines are sent as remaining times
json to_json(const crash_message& message, milliseconds now);

/// @throws json::exception if the document does not have the form of a crash message
crash_message parse_crash_message(const json& document, milliseconds now);

struct crash_watch_settings {
    /// Time for which attempts that a server failed are collected before it is examined.
    milliseconds collect_time{20};
    /// A server that neither accepts nor refuses a connection within this time has not crashed as
    /// far as this gateway can tell.
    milliseconds probe_timeout{200};
    /// Time for which crashes and quarantines are collected before they are sent.
    milliseconds batch_time{50};
    /// The same for answers. Longer, as all gateways of a fleet have answers after a crash.
    milliseconds cleared_batch_time{150};
    /// Time for which reports of other gateways about a crash are awaited before it is evaluated;
    /// longer than batch_time and the way to another gateway.
    milliseconds evaluation_delay{120};
    /// Interval at which quarantines are repeated in a group of two; proportional to its size.
    milliseconds repeat_interval{500};
    /// Interval at which a failed call to the store is repeated.
    milliseconds store_retry{1'000};
    /// Time for which a started gateway waits for a gateway that knows more to write the record of
    /// an earlier era of the store again.
    milliseconds outdated_wait{3'000};
    /// Pause after which the next gateway writes such a record in place of the usual writer.
    milliseconds takeover_pause{600};
    request::crash_attribution::options attribution;
};

/// Watches for crashes of backend servers, shares them with the other gateways, and tells which
/// requests are refused because they would crash more. Quarantines are kept in the store, so that
/// they outlast the gateways.
///
/// The store may come back from an older copy, in a new era. The record names the era in which it
/// was written. A gateway that has read the record before knows more than one of an earlier era
/// says: it writes the record again and takes nothing from it.
class crash_watch {
public:
    crash_watch(net::event_loop& loop, peer_link& link, object_store::conditional_objects& objects,
                const crash_watch_settings& settings = {});
    ~crash_watch();
    crash_watch(const crash_watch&) = delete;
    crash_watch& operator=(const crash_watch&) = delete;

    /// @brief Records that a server ended the connection of a request that it had not begun to
    /// answer. The server is examined: it may have crashed, or have failed this request only.
    void attempt_lost(const std::string& server, const net::endpoint& address,
                      std::span<const request::suspect> suspects);

    /// @brief Records that a request is sent to a server.
    void sent(std::span<const request::suspect> suspects);

    /// @brief Records that a request was answered completely.
    void answered(std::span<const request::suspect> suspects);

    /// @brief Time for which a request is refused; nothing if it may run.
    [[nodiscard]] std::optional<milliseconds>
    refused_for(std::span<const request::suspect> suspects) const;

    /// @brief Takes note of an era of the store: what was read or written in an earlier one may be
    /// gone, and is read and written again.
    void observe_era(object_store::store_era era);

    [[nodiscard]] json dump() const;

private:
    /// A server that failed attempts and is examined.
    struct examination {
        net::endpoint address;
        std::set<request::suspect> suspects;
        milliseconds probe_started{0};
        net::timer_id timer = 0;
        std::unique_ptr<net::tcp_connector> probe;
    };

    /// Suspects of the quarantines in the store.
    using stored_quarantines = std::set<std::vector<request::suspect>>;

    /// What the store holds.
    struct stored_record {
        stored_quarantines suspects;
        object_store::version version = 0;
        /// Era in which it was written; the current one if there is no record.
        object_store::store_era era = 0;
    };

    void probe(const std::string& server);
    void probed(const std::string& server, bool accepted);
    void record_crash(const crash_report& report);
    void evaluate();
    void receive(const peer_message& message);
    void schedule_send();
    void announce(const crash_message& message);
    void send_news();
    void send_cleared();
    void repeat_quarantines();
    void check_store();
    void load();
    void loaded(const object_store::read_result& found);
    void saved(const stored_record& written, const object_store::write_result& result);
    /// @brief Whether this gateway writes the record.
    [[nodiscard]] bool is_writer() const;
    /// @brief Whether a started gateway still waits for the record to be written again.
    [[nodiscard]] bool awaits_rewrite();
    void adopt(const std::vector<request::quarantine_entry>& entries);
    [[nodiscard]] stored_quarantines remembered_suspects() const;
    [[nodiscard]] request::trial_turn trial_turn(std::span<const request::suspect> suspects) const;

    net::event_loop& loop_;
    peer_link& link_;
    object_store::conditional_objects& objects_;
    crash_watch_settings settings_;
    request::crash_attribution attribution_;
    std::map<std::string, examination> examinations_;
    crash_message news_;
    /// Suspects of requests that were answered, which are to be announced.
    std::set<request::suspect> cleared_;
    net::timer_id send_timer_ = 0;
    net::timer_id cleared_timer_ = 0;
    net::timer_id evaluation_timer_ = 0;
    milliseconds last_repeat_{0};
    /// What the store holds; nothing while that is unknown.
    std::optional<stored_record> stored_;
    /// Newest era of the store.
    object_store::store_era era_ = 0;
    milliseconds era_began_{0};
    /// Whether the record was read before, in any era.
    bool is_informed_ = false;
    /// Time at which a started gateway uses a record of an earlier era after all.
    std::optional<milliseconds> outdated_until_;
    bool store_busy_ = false;
    milliseconds next_store_call_{0};
    net::periodic_timer checks_;
    /// Expires with this object; callbacks of the store and posted functions check it.
    std::shared_ptr<crash_watch*> self_;
};

} // namespace dotterelport::gateway

#endif
