#ifndef DOTTERELPORT_CTL_EVENT_CATALOGUE_HPP
#define DOTTERELPORT_CTL_EVENT_CATALOGUE_HPP

#include <vector>

#include "dotterelport/base/log.hpp"

namespace dotterelport::ctl {

/// @brief All log events of the library, by number. docs/events.md is made from it by
/// "dotterelctl events".
std::vector<log_event> event_catalogue();

} // namespace dotterelport::ctl

#endif
