#ifndef DOTTERELPORT_ROUTING_SERVER_LIMITS_HPP
#define DOTTERELPORT_ROUTING_SERVER_LIMITS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"

namespace dotterelport::routing {

/// Keeps the requests to backend servers within the limits that the servers state: a rate that
/// holds for all routers together, and a time for which a server accepts nothing from this router.
///
/// Routers use equal parts of a rate without asking each other, so that the sum is kept while they
/// cannot reach each other and whatever their number. A part that is not used within a short time
/// is lost: parts that many routers have saved could arrive at once.
///
/// A server that has just started accepts few requests for a time, which is shorter than the
/// interval between two parts of such a rate in a large fleet. Only some routers send to it, chosen
/// by rendezvous hashing, as many as its rate permits with one request per second each. What they
/// send within any second does not exceed the rate, and at most doubles when all of them restart.
class server_limits {
public:
    struct options {
        /// Lower bound of a rate in requests per second. The end of a limit is only seen in the
        /// answer to a request, so that a server that accepts nothing still gets one at times.
        double min_rate = 0.1;
        /// Time for which a request that a rate allows may be sent later.
        milliseconds permit_lifetime{1'000};
        /// Longest wait that is accepted from a server.
        milliseconds max_wait{600'000};
    };

    server_limits() : server_limits(options{}, std::random_device{}()) {}
    server_limits(const options& settings, std::uint64_t seed) : settings_(settings), random_(seed)
    {}

    /// @brief Sets the number of routers that share the rates.
    void set_router_count(std::size_t count) { routers_ = count == 0 ? 1 : count; }

    /// @brief Sets the routers that share the temporary rates, including this one. Before the first
    /// call, no request is permitted to a server with a temporary rate.
    void set_fleet(const std::string& self, std::vector<std::string> routers);

    /// @brief Limits the requests to a server until a time. A later call for the same server
    /// replaces the rate and can only postpone the end.
    /// @param rate requests per second from all routers together, above 0
    /// @return whether no temporary rate was in force before
    bool set_temporary_rate(const std::string& server, double rate, milliseconds until,
                            milliseconds now);

    /// @brief Returns whether a temporary rate is in force.
    [[nodiscard]] bool has_temporary_rate(const std::string& server, milliseconds now) const;

    /// @brief Sets the rate that a server states, or ends its limit.
    /// @param rate requests per second from all routers together
    /// @return whether this differs noticeably from what was known
    bool set_rate(const std::string& server, std::optional<double> rate, milliseconds now);

    /// @brief Records that a server accepts nothing from this router for a time.
    void set_wait(const std::string& server, milliseconds wait, milliseconds now);

    /// @brief Time until a request may be sent to a server; 0 if it may be sent now.
    [[nodiscard]] milliseconds time_until_permitted(const std::string& server,
                                                    milliseconds now) const;

    /// @brief Records that a request is sent to a server.
    void sent(const std::string& server, milliseconds now);

    /// @brief Number of servers with a temporary rate.
    [[nodiscard]] std::size_t temporary_count(milliseconds now) const;

    void forget(const std::string& server) { limits_.erase(server); }

    /// @return requests per second that a server accepts from all routers; nothing if unlimited
    [[nodiscard]] std::optional<double> rate(const std::string& server) const;
    [[nodiscard]] bool is_empty() const { return limits_.empty(); }
    [[nodiscard]] json dump(milliseconds now) const;

private:
    struct limit {
        std::optional<double> rate;
        /// Steady time in ms at which the next request is permitted by the rate.
        double next_permit_ms = 0;
        milliseconds wait_until{0};
        double temporary_rate = 0;
        milliseconds temporary_until{0};
        std::optional<milliseconds> last_sent;
    };

    /// @brief Time between two requests of this router under a server's temporary rate; nothing if
    /// other routers use it.
    [[nodiscard]] std::optional<milliseconds> temporary_spacing(const std::string& server,
                                                                double rate) const;
    [[nodiscard]] milliseconds time_until_temporarily_permitted(const std::string& server,
                                                                const limit& item,
                                                                milliseconds now) const;

    [[nodiscard]] double ms_per_permit(double rate) const;
    /// @brief Time of the next permit that has not lapsed, in ms.
    [[nodiscard]] double next_permit_ms(const limit& item, milliseconds now) const;

    options settings_;
    std::mt19937_64 random_;
    std::size_t routers_ = 1;
    std::string self_;
    std::vector<std::string> fleet_;
    std::map<std::string, limit> limits_;
};

} // namespace dotterelport::routing

#endif
