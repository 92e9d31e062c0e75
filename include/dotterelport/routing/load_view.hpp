#ifndef DOTTERELPORT_ROUTING_LOAD_VIEW_HPP
#define DOTTERELPORT_ROUTING_LOAD_VIEW_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"

namespace dotterelport::routing {

/// Load as a backend server reports it, some time after it measured it.
struct load_report {
    double running = 0;
    double waiting = 0;
    /// Requests that run at the same time.
    double capacity = 1;
    double tokens_per_second = 0;
};

/// @brief Reads the member "load" of an agent's status. Absent fields keep their defaults.
load_report parse_load_report(const json& value);

/// Whether a backend server may be given requests.
enum class availability {
    usable,
    /// Ejected before; may be given one request at a time to find out whether it works again.
    probing,
    /// Its reports have stopped.
    silent,
    /// It failed several times in a row.
    ejected,
};

/// @brief Name of an availability for dumps.
std::string_view to_string(availability value);

struct load_settings {
    /// A report is taken to miss what was sent or finished in this time before it arrived.
    milliseconds report_lag{400};
    /// A server that reported before is silent after this time without a report.
    milliseconds silent_after{4'000};
    /// Part of a request's duration in which the trust in a report falls to 1/e. In the routing
    /// experiment, larger values made routers herd.
    double trust_durations = 0.1;
    int failures_until_ejected = 3;
    milliseconds first_ejection{2'000};
    milliseconds longest_ejection{60'000};
    /// A server whose ejection ended is tried with an interactive request only after this time, so
    /// that one that can wait goes first if there is any.
    milliseconds probe_patience{3'000};
    /// Time without failures after which a server's earlier ejections are forgotten. Until then
    /// each ejection lasts twice as long as the last, so a flapping server gets little work.
    milliseconds ejection_memory{60'000};
};

/// What is believed of a backend server at a moment.
struct load_estimate {
    /// Requests expected to be running and waiting there.
    double load = 0;
    double capacity = 1;
    /// Requests running and waiting as last reported.
    double reported = 0;
    /// This router's requests there.
    double own = 0;
    /// This router's requests that the report does not show yet, less those that it still shows.
    double own_change = 0;
    /// Time since the last report; nothing if there was none.
    std::optional<milliseconds> report_age;
    /// Part of the reported load that is believed: it falls with the report's age, in terms of the
    /// time that a request takes, because the requests that it counted end meanwhile.
    double trust = 0;
    /// Observed milliseconds for each token or call; 0 if not known.
    double pace = 0;
    /// Observed milliseconds from sending a request to its end; 0 if not known.
    double duration = 0;
    /// Tokens that this router's requests without an answer still have to prefill.
    double prefill = 0;
    /// Time of this router's last request to it.
    std::optional<milliseconds> last_sent;
    /// Time for which the server has given no sign of life while a request of this router waits.
    milliseconds unresponsive{0};
};

/// Merges the late load reports of backend servers with this router's own requests there.
class load_view {
public:
    explicit load_view(load_settings settings = {});

    void take_report(const std::string& server, const load_report& report, milliseconds now);

    /// @brief Records a request that is sent.
    /// @param request number that is unique among this router's requests
    /// @param prefill tokens of the prompt that the server is not believed to have cached
    void sent(const std::string& server, std::uint64_t request, milliseconds now,
              double prefill = 0);

    /// @brief Records the first token or byte of an answer.
    void answered(const std::string& server, std::uint64_t request, milliseconds now);

    /// @brief Records the end of an answer.
    /// @param units tokens generated, or 1 for a call
    void finished(const std::string& server, std::uint64_t request, double units, milliseconds now);

    /// @brief Records that a request failed in a way that speaks against the server.
    void failed(const std::string& server, std::uint64_t request, milliseconds now);

    /// @brief Records that a request ended in a way that says nothing about the server.
    void cancelled(const std::string& server, std::uint64_t request, milliseconds now);

    /// @brief Forgets a server that left or was replaced.
    void forget(const std::string& server);

    [[nodiscard]] load_estimate estimate(const std::string& server, milliseconds now) const;

    /// @brief Servers that run requests of this router.
    [[nodiscard]] std::vector<std::string> busy_servers() const;
    [[nodiscard]] availability available(const std::string& server, milliseconds now) const;

    [[nodiscard]] json dump(milliseconds now) const;

private:
    struct request_state {
        milliseconds sent{0};
        std::optional<milliseconds> answered;
        double prefill = 0;
    };

    struct ending {
        milliseconds sent{0};
        milliseconds ended{0};
    };

    struct server_state {
        std::optional<load_report> report;
        milliseconds reported{0};
        std::map<std::uint64_t, request_state> in_flight;
        /// Ended requests that the last report may still count.
        std::deque<ending> endings;
        double pace = 0;
        double duration = 0;
        int failures = 0;
        int ejections = 0;
        std::optional<milliseconds> ejected_until;
        milliseconds last_failure{0};
        std::optional<milliseconds> last_sent;
        /// Last token or end of an answer.
        milliseconds last_sign{0};
    };

    std::optional<request_state> remove(server_state& server, std::uint64_t request,
                                        milliseconds now);
    [[nodiscard]] const server_state* find(const std::string& server) const;

    load_settings settings_;
    std::map<std::string, server_state, std::less<>> servers_;
};

} // namespace dotterelport::routing

#endif
