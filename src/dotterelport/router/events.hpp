#ifndef DOTTERELPORT_ROUTER_EVENTS_HPP
#define DOTTERELPORT_ROUTER_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of the router, numbers 450-499.
namespace dotterelport::router::events {

inline constexpr log_event request_refused{450, severity::debug, "request_refused",
                                           "a caller's request ended with an error"};
inline constexpr log_event attempt_failed{451, severity::info, "attempt_failed",
                                          "an attempt at an agent ended without an answer"};
inline constexpr log_event attempt_rejoined{452, severity::info, "attempt_rejoined",
                                            "a broken connection to an agent was replaced"};
inline constexpr log_event frame_dropped{
    453, severity::warning, "frame_dropped",
    "a frame that is stale or belongs to another attempt was dropped"};
inline constexpr log_event request_quarantined{
    454, severity::warning, "request_quarantined",
    "request content that crashed two backend servers is refused from now on"};
inline constexpr log_event booking_resumed{455, severity::info, "booking_resumed",
                                           "a booking with an existing record was resumed"};
inline constexpr log_event booking_unresolved{
    456, severity::warning, "booking_unresolved",
    "it cannot be determined whether a booking ran; an operator has to check it"};
inline constexpr log_event agent_leaving{457, severity::info, "agent_leaving",
                                         "an agent reported that it is leaving"};
inline constexpr log_event ready{458, severity::info, "ready", "the router serves callers"};
inline constexpr log_event drain_started{459, severity::info, "drain_started",
                                         "the router stops accepting requests"};
inline constexpr log_event drained{460, severity::info, "drained",
                                   "requests are finished and grants returned"};
inline constexpr log_event drain_timeout{461, severity::warning, "drain_timeout",
                                         "requests were still in progress at the time limit"};
inline constexpr log_event clients_limited{
    462, severity::warning, "router_clients_limited",
    "clients together reached the limit of bytes or of connections: requests that were not handed "
    "on were refused, or connections closed"};

} // namespace dotterelport::router::events

#endif
