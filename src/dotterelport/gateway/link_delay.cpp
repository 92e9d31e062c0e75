#include "dotterelport/gateway/link_delay.hpp"

#include <algorithm>

namespace dotterelport::gateway {

void link_delay::record(const std::string& gateway, milliseconds response_time, milliseconds now)
{
    responses_[gateway] = {.time = response_time, .at = now};
}

milliseconds link_delay::current(milliseconds now) const
{
    std::size_t known = 0;
    milliseconds shortest = milliseconds::max();
    for (const auto& [gateway, item] : responses_) {
        if (now - item.at <= settings_.max_age) {
            ++known;
            shortest = std::min(shortest, item.time);
        }
    }
    return known < settings_.min_gateways ? milliseconds{0} : shortest;
}

} // namespace dotterelport::gateway
