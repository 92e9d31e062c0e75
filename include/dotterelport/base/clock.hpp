#ifndef DOTTERELPORT_BASE_CLOCK_HPP
#define DOTTERELPORT_BASE_CLOCK_HPP

#include <chrono>

namespace dotterelport {

/// Duration. A point in time is given as the time since the process started, except by
/// wall_clock_now().
using milliseconds = std::chrono::milliseconds;

/// @brief Time since the process started, from the steady clock.
milliseconds steady_now();

/// @brief Time since the Unix epoch. Only for timestamps and initial sequence numbers; timeouts and
/// other decisions use steady_now().
milliseconds wall_clock_now();

} // namespace dotterelport

#endif
