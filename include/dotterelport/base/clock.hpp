#ifndef DOTTERELPORT_BASE_CLOCK_HPP
#define DOTTERELPORT_BASE_CLOCK_HPP

#include <chrono>

namespace dotterelport {

/// Duration and, where a point in time is meant, time since the process started.
using milliseconds = std::chrono::milliseconds;

/// @brief Time since the process started, from the steady clock.
milliseconds steady_now();

/// @brief Time since the epoch, for log lines and records only; never for decisions.
milliseconds wall_clock_now();

} // namespace dotterelport

#endif
