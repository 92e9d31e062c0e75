#ifndef DOTTERELPORT_STANDIN_SERVICE_HPP
#define DOTTERELPORT_STANDIN_SERVICE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/standin/run_counters.hpp"

namespace dotterelport::standin {

/// Stand-in for a dispatch application. Bookings are not idempotent: a repeated call books again.
class service {
public:
    struct options {
        milliseconds latency{5};
        std::uint64_t seed = 1;
        bool crash_on_marker = false;
    };

    service(net::event_loop& loop, const options& settings);
    ~service();
    service(const service&) = delete;
    service& operator=(const service&) = delete;

    net::endpoint listen(const net::endpoint& address);

    /// @brief Simulates a killed process: stops listening and aborts all connections.
    void simulate_kill();

    /// @brief Sets a function that is called instead of simulate_kill() when a booking contains the
    /// crash marker.
    void on_crash(std::function<void()> function) { on_crash_ = std::move(function); }

    /// @brief Sets faults, in the format of POST /standin/faults: "latency_ms", "silent" (calls run
    /// but are not answered), "error_status" (HTTP status that refuses bookings; 0 for none).
    void set_faults(const json& faults);

    [[nodiscard]] const run_counters& counters() const { return counters_; }
    [[nodiscard]] std::uint64_t bookings() const { return last_booking_; }

private:
    using response_ptr = std::shared_ptr<net::http_response>;

    void add_routes();
    void add_control_routes();
    void book(const net::http_request& request, const response_ptr& response);
    void answer_later(const response_ptr& response, int status, std::string body);

    net::event_loop& loop_;
    options settings_;
    net::http_server server_;
    run_counters counters_;
    /// Latest answer for each booking key.
    std::map<std::string, json> booking_answers_;
    std::uint64_t last_booking_ = 0;
    std::set<response_ptr> open_responses_;
    bool silent_ = false;
    int error_status_ = 0;
    std::function<void()> on_crash_;
    /// Expires when this object is destroyed, so that delayed answers are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace dotterelport::standin

#endif
