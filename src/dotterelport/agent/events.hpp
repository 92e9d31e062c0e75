#ifndef DOTTERELPORT_AGENT_EVENTS_HPP
#define DOTTERELPORT_AGENT_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of the request module (500 to 549) and the agent (550 to 599).
namespace dotterelport::agent::events {

inline constexpr log_event request_refused{500, severity::debug, "request_refused",
                                           "An admission was refused."};
inline constexpr log_event request_ended{501, severity::debug, "request_ended",
                                         "A request ended; the verdict says whether it ran."};
inline constexpr log_event malformed_admission{502, severity::warning, "malformed_admission",
                                               "An admission did not have the required form."};
inline constexpr log_event holder_fenced{
    503, severity::info, "holder_fenced",
    "A router incarnation was fenced: its requests are refused permanently."};
inline constexpr log_event agent_started{
    550, severity::info, "agent_started",
    "The agent is listening and is about to register in the platform."};
inline constexpr log_event agent_registered{551, severity::info, "agent_registered",
                                            "This incarnation of the agent was registered."};
inline constexpr log_event backend_unreachable{
    552, severity::warning, "backend_unreachable",
    "No connection to the backend server could be opened; nothing was sent."};
inline constexpr log_event backend_crashed{553, severity::error, "backend_crashed",
                                           "The backend server went down while it ran a request."};
inline constexpr log_event backend_failed{
    554, severity::warning, "backend_failed",
    "The backend server timed out on a request and is still up."};
inline constexpr log_event outcomes_not_taken{
    555, severity::warning, "outcomes_not_taken",
    "A push of outcomes to a holder failed; it is retried."};
inline constexpr log_event agent_leaving{556, severity::info, "agent_leaving",
                                         "The agent is leaving and refuses new requests."};
inline constexpr log_event agent_drained{557, severity::info, "agent_drained",
                                         "All requests ended and all outcomes are durable."};
inline constexpr log_event drain_timed_out{
    558, severity::error, "drain_timed_out",
    "The drain timeout passed with requests running or outcomes not durable."};
inline constexpr log_event order_refused{
    559, severity::warning, "order_refused",
    "An order was refused because of its stale fencing number."};
inline constexpr log_event cache_event_gap{560, severity::debug, "cache_event_gap",
                                           "Cache events of the engine are missing."};
inline constexpr log_event clients_limited{
    561, severity::warning, "agent_clients_limited",
    "Clients together reached the limit of bytes or of connections: requests that were not handed "
    "on were refused, or connections closed."};

} // namespace dotterelport::agent::events

#endif
