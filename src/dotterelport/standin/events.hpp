#ifndef DOTTERELPORT_STANDIN_EVENTS_HPP
#define DOTTERELPORT_STANDIN_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of the stand-ins for backend servers, numbers 900 to 949.
namespace dotterelport::standin::events {

inline constexpr log_event standin_run_started{900, severity::debug, "standin_run_started",
                                               "the stand-in engine assigned a slot to a request"};
inline constexpr log_event standin_run_cancelled{
    901, severity::debug, "standin_run_cancelled",
    "a client disconnected and the stand-in engine cancelled its run"};
inline constexpr log_event standin_crashed{902, severity::error, "standin_crashed",
                                           "a request with the crash marker stopped the stand-in"};
inline constexpr log_event standin_faults_set{903, severity::info, "standin_faults_set",
                                              "the faults of a stand-in were changed"};
inline constexpr log_event standin_listening{904, severity::info, "standin_listening",
                                             "a stand-in accepts requests"};
inline constexpr log_event standin_call_ran{905, severity::debug, "standin_call_ran",
                                            "the stand-in service ran a booking"};

} // namespace dotterelport::standin::events

#endif
