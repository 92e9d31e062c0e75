#ifndef DOTTERELPORT_GATEWAY_OVERLOAD_GUARD_HPP
#define DOTTERELPORT_GATEWAY_OVERLOAD_GUARD_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"

namespace dotterelport::gateway {

/// What a gateway does so that its callers use other gateways; each level includes the ones before.
enum class relief_level {
    normal,
    /// Answers say "Connection: close", so that callers reconnect.
    close_connections,
    /// New requests are refused before any work is done for them, while they would wait too long.
    refuse_requests,
    /// The load balancer is told not to send new connections.
    not_ready,
};

std::string_view to_string(relief_level level);

/// Load of a gateway as it states it to the other gateways.
struct gateway_load {
    /// Usual delay of its event loop or of its network link, whichever is longer.
    milliseconds delay{0};
    std::size_t requests = 0;
    /// Its share of a processor, in cores.
    double cpu_share = 1.0;
    /// It sends callers to other gateways.
    bool is_relieving = false;

    bool operator==(const gateway_load&) const = default;
};

json to_json(const gateway_load& load);

/// @return nothing if the document does not have the form of a load; such a load is unknown
std::optional<gateway_load> parse_gateway_load(const json& document);

/// One observation of the own gateway.
struct load_sample {
    /// Time between when a timer was due and when it ran, or the delay of the network link if that
    /// is longer.
    milliseconds delay{0};
    /// Requests in progress.
    std::size_t requests = 0;
    /// Number of other gateways with which messages are exchanged, reachable or not.
    std::size_t other_gateways = 0;
};

struct overload_guard_settings {
    /// Number of samples whose median is the usual delay. A single late timer, as after a pause of
    /// the process, does not change the median.
    std::size_t samples = 6;
    std::size_t min_samples = 3;
    milliseconds max_sample_age{5'000};
    /// Delay from which connections are closed, and below which that ends. The loss of a request
    /// that is not sent begins at an eighth of its target latency, about 60 ms for 500 ms.
    milliseconds close_from{60};
    milliseconds close_until{25};
    /// Delay from which requests are refused: half of the shortest usual target latency, 300 ms.
    milliseconds refuse_from{150};
    milliseconds refuse_until{75};
    /// Delay from which the gateway is not ready: no request is sent within its target latency.
    milliseconds not_ready_from{300};
    milliseconds not_ready_until{150};
    /// Delay below which another gateway has room for more callers.
    milliseconds room_until{40};
    /// Age from which another gateway's load is unknown.
    milliseconds max_load_age{2'000};
    /// What a refusal costs a caller: the answer, its Retry-After and a new connection.
    milliseconds new_connection{100};
    /// Least time for which connections are closed before requests are refused.
    milliseconds refuse_after{300};
    /// Least time for which requests are refused before the gateway is not ready.
    milliseconds not_ready_after{2'000};
    /// Least time at a level before the next lower one.
    milliseconds fall_time{2'000};
    /// Pause after relief; doubled each time relief ends because other gateways became short.
    milliseconds first_pause{1'000};
    milliseconds max_pause{32'000};
    /// Longest time for which the gateway is not ready. The load balancer needs two misses within
    /// 2 s.
    milliseconds max_not_ready{3'000};
    /// Least multiple of that time for which the gateway is ready afterwards, so that it is not
    /// ready for at most an eighth of the time.
    int ready_multiple = 7;
};

/// Decides whether this gateway is short of capacity while others are not, and what it does so that
/// callers use the others. Does no I/O.
class overload_guard {
public:
    explicit overload_guard(double cpu_share, const overload_guard_settings& settings = {});

    /// @brief Switches relief on or off. The load is observed in either case.
    void set_active(bool active) { active_ = active; }

    /// @brief Takes the load that another gateway states.
    void record_other(const std::string& node, const std::optional<gateway_load>& load,
                      milliseconds now);

    /// @brief Takes an observation and decides on the level.
    void record(const load_sample& sample, milliseconds now);

    [[nodiscard]] relief_level level() const { return level_; }

    /// @brief Returns whether the load balancer may send new connections. It may not at the level
    /// not_ready, nor for a short time after connections begin to be closed.
    [[nodiscard]] bool is_ready(milliseconds now) const;

    /// @brief Returns whether a request that arrives now is refused: it would wait here longer than
    /// at another gateway, including the time for getting there.
    [[nodiscard]] bool refuses() const;

    /// @brief Returns whether this gateway is short and keeps its callers, because the other
    /// gateways are short as well or their load is unknown.
    [[nodiscard]] bool is_withholding() const { return withholding_; }

    /// @brief Load to state to the other gateways.
    [[nodiscard]] gateway_load own_load() const;

    [[nodiscard]] json dump() const;

private:
    struct timed_delay {
        milliseconds delay{0};
        milliseconds at{0};
    };
    struct timed_load {
        gateway_load load;
        milliseconds at{0};
    };
    /// The gateways that have room, if they are at least half of all others.
    struct room {
        milliseconds delay{0};
        double requests_per_core = 0;
    };

    [[nodiscard]] std::optional<milliseconds> usual_delay() const;
    [[nodiscard]] std::optional<room> find_room(std::size_t other_gateways) const;
    [[nodiscard]] relief_level wanted_level(milliseconds delay, milliseconds now) const;
    /// @brief Returns whether the delay calls for a level, with hysteresis.
    [[nodiscard]] bool calls_for(relief_level level, milliseconds delay, milliseconds from,
                                 milliseconds until) const;
    [[nodiscard]] bool may_be_not_ready(milliseconds now) const;
    /// @brief Least time at the level before the next higher one.
    [[nodiscard]] milliseconds rise_time() const;
    void decide(milliseconds now);
    void set_level(relief_level level, milliseconds now);

    double cpu_share_;
    overload_guard_settings settings_;
    bool active_ = false;
    std::deque<timed_delay> delays_;
    std::size_t requests_ = 0;
    std::map<std::string, timed_load> others_;
    std::optional<room> room_;
    bool withholding_ = false;
    relief_level level_ = relief_level::normal;
    /// Time of the last change of the level; nothing before the first.
    std::optional<milliseconds> changed_;
    milliseconds pause_;
    /// Time until which new connections go to other gateways while connections are closed.
    milliseconds diverting_until_{0};
    /// Earliest time at which the gateway may be not ready; nothing before the first sample.
    std::optional<milliseconds> not_ready_allowed_;
};

} // namespace dotterelport::gateway

#endif
