#ifndef DOTTERELPORT_GATEWAY_RETRY_AFTER_HPP
#define DOTTERELPORT_GATEWAY_RETRY_AFTER_HPP

#include <array>
#include <cstdio>
#include <string>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::gateway {

/// @brief Value of a Retry-After header: seconds with a fraction.
inline std::string format_seconds(milliseconds duration)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.3f",
                                   std::chrono::duration<double>(duration).count());
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace dotterelport::gateway

#endif
