#ifndef DOTTERELPORT_GATEWAY_LINK_DELAY_HPP
#define DOTTERELPORT_GATEWAY_LINK_DELAY_HPP

#include <cstddef>
#include <map>
#include <string>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::gateway {

struct link_delay_settings {
    /// Age from which the response time of another gateway says nothing about the link.
    milliseconds max_age{1'000};
    /// Number of gateways of which response times are needed: with one, the delay may be its own.
    std::size_t min_gateways = 2;
};

/// Estimates how long data waits for the network link of this gateway, from the response times of
/// other gateways: if each of them is slow, the link is. The queue of the link is not visible to
/// the event loop. Does no I/O.
class link_delay {
public:
    explicit link_delay(const link_delay_settings& settings = {}) : settings_(settings) {}

    /// @brief Takes the time that another gateway took to respond.
    /// @param response_time for a gateway that did not respond, the time waited for it
    void record(const std::string& gateway, milliseconds response_time, milliseconds now);

    /// @brief Shortest of the latest response times; 0 if too few are known.
    [[nodiscard]] milliseconds current(milliseconds now) const;

private:
    struct response {
        milliseconds time{0};
        milliseconds at{0};
    };

    link_delay_settings settings_;
    std::map<std::string, response> responses_;
};

} // namespace dotterelport::gateway

#endif
