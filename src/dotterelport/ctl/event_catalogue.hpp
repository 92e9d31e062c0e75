#ifndef DOTTERELPORT_CTL_EVENT_CATALOGUE_HPP
#define DOTTERELPORT_CTL_EVENT_CATALOGUE_HPP

#include <vector>

#include "dotterelport/base/log.hpp"

namespace dotterelport::ctl {

/// @brief Returns all log events of the library, sorted by number. "dotterelctl events" generates
/// docs/events.md from them.
std::vector<log_event> event_catalogue();

} // namespace dotterelport::ctl

#endif
