#ifndef DOTTERELPORT_GATEWAY_EVENTS_HPP
#define DOTTERELPORT_GATEWAY_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of the gateway (900 to 999).
namespace dotterelport::gateway::events {

inline constexpr log_event started{900, severity::info, "gateway_started",
                                   "The gateway listens for callers."};
inline constexpr log_event ready{901, severity::info, "gateway_ready",
                                 "A configuration and a list of backend servers were received."};
inline constexpr log_event drain_started{
    902, severity::info, "gateway_drain_started",
    "The process received a stop order and is no longer ready."};
inline constexpr log_event drained{903, severity::info, "gateway_drained",
                                   "All requests ended and all grants were returned."};
inline constexpr log_event drain_timeout{904, severity::warning, "gateway_drain_timeout",
                                         "The grace period ended with requests in progress."};
inline constexpr log_event settings_reloaded{905, severity::info, "settings_reloaded",
                                             "The settings file was read again."};
inline constexpr log_event settings_rejected{
    906, severity::error, "settings_rejected",
    "A changed settings file was rejected; the previous settings stay in force."};
inline constexpr log_event request_answered{910, severity::info, "request_answered",
                                            "A request ended with a backend server's answer."};
inline constexpr log_event request_refused{
    911, severity::info, "gateway_request_refused",
    "The gateway itself answered a request; the fields contain the reason."};
inline constexpr log_event request_abandoned{
    912, severity::info, "request_abandoned",
    "The caller disconnected before the answer was complete."};
inline constexpr log_event request_cut{
    913, severity::warning, "request_cut",
    "A partly sent answer was aborted; the caller sees it as incomplete."};
inline constexpr log_event request_sent{914, severity::info, "request_sent",
                                        "A request was sent to a backend server."};
inline constexpr log_event attempt_ended{
    915, severity::info, "gateway_attempt_failed",
    "An attempt at a backend server ended without a usable answer; the verdict states whether the "
    "request may have run."};
inline constexpr log_event catalogue_in_force{920, severity::info, "catalogue_in_force",
                                              "A configuration was put in force."};
inline constexpr log_event catalogue_ignored{
    921, severity::warning, "catalogue_ignored",
    "A configuration that is not newer than the one in force was ignored."};
inline constexpr log_event server_changed{922, severity::info, "server_changed",
                                          "A backend server registered or changed its state."};
inline constexpr log_event server_removed{923, severity::info, "server_removed",
                                          "A backend server is no longer used."};
inline constexpr log_event registration_outdated{
    924, severity::info, "registration_outdated",
    "A backend server's registration is older than what is known of the server, as in a store that "
    "came back from an older copy; it is ignored, or not used until the server registers again."};
inline constexpr log_event quarantine_outdated{
    925, severity::info, "quarantine_outdated",
    "The stored quarantines may be those of an older copy of the store; the gateway that has just "
    "started waits for another one to write them again."};
inline constexpr log_event ledger_unavailable{
    930, severity::warning, "ledger_unavailable",
    "The budget ledger could not be read or written; the grants remain unchanged."};

inline constexpr log_event ledger_read{
    931, severity::info, "ledger_read",
    "The budget ledger was read for the first time; open tokens include those of all routers, "
    "also of runs that ended without returning them."};

inline constexpr log_event settlement_lost{
    932, severity::warning, "settlement_lost",
    "The owner of a reservation did not confirm its settlement; it charges the upper bound."};
inline constexpr log_event reservation_left_behind{
    933, severity::warning, "reservation_left_behind",
    "Another gateway did not settle its reservation in time; the upper bound is charged."};

inline constexpr log_event owner_silent{
    935, severity::info, "owner_silent",
    "The owner of a ledger shard did not answer in time; this gateway reserves under its own "
    "grants, "
    "and another gateway is asked until the owner is considered reachable again."};
inline constexpr log_event feed_role_changed{
    936, severity::info, "feed_role_changed",
    "The gateway begins or stops to watch a kind of objects for its group."};

inline constexpr log_event ledger_copy_unreadable{
    937, severity::warning, "ledger_copy_unreadable",
    "Another gateway sent a copy of a ledger shard that does not have the required form."};
inline constexpr log_event settlement_unmatched{
    938, severity::info, "settlement_unmatched",
    "Another gateway settles a reservation that this one has not lent; the field state says "
    "whether "
    "it waits here for a larger grant or is unknown."};
inline constexpr log_event reservation_unclaimed{
    939, severity::info, "reservation_unclaimed",
    "Tokens were reserved for a request that no longer waits for them; they are released."};
inline constexpr log_event server_examined{940, severity::info, "server_examined",
                                           "A backend server ended connections of requests that it "
                                           "had not begun to answer; it has crashed "
                                           "if it refuses a new connection."};
inline constexpr log_event suspects_quarantined{
    941, severity::warning, "suspects_quarantined",
    "Requests with this part of a prompt or this content are refused, because they crash the "
    "backend servers that run them."};
inline constexpr log_event quarantine_not_saved{
    942, severity::warning, "quarantine_not_saved",
    "The quarantines were not written to the store; the object is read and written again."};
inline constexpr log_event quarantine_unreadable{
    943, severity::error, "quarantine_unreadable",
    "The stored quarantines could not be read and are not used."};
inline constexpr log_event suspects_cleared{
    944, severity::info, "suspects_cleared",
    "A request with these suspects was answered, so that none of them crashes servers."};
inline constexpr log_event server_limit_changed{
    945, severity::info, "server_limit_changed",
    "A backend server states how many requests per second it accepts from all gateways, or no "
    "longer does."};
inline constexpr log_event server_leaving{
    946, severity::info, "server_leaving",
    "A backend server states that it leaves; it gets no new requests."};
inline constexpr log_event server_wait_requested{
    947, severity::info, "server_wait_requested",
    "A backend server refused a request and accepts none from this gateway for a time."};
inline constexpr log_event server_statement_unreadable{
    948, severity::warning, "server_statement_unreadable",
    "A backend server's statement about itself cannot be parsed; the previous one stays in force."};
inline constexpr log_event suspects_tried{
    949, severity::info, "suspects_tried",
    "A quarantine has ended, and this gateway lets a request with its suspects through."};

inline constexpr log_event ledger_step{
    934, severity::info, "ledger_step",
    "The budget ledger or a bill is read or written; grants change once the write is confirmed."};
inline constexpr log_event verdict_outdated{
    950, severity::info, "verdict_outdated",
    "The owner of a ledger shard found a budget exhausted by an older configuration than the one "
    "in "
    "force here; this gateway decides by its own read of the ledger."};

inline constexpr log_event server_cold{
    951, severity::info, "server_cold",
    "A backend server has started recently, or may have: few gateways send it few requests for a "
    "time."};
inline constexpr log_event domain_evacuated{
    952, severity::info, "domain_evacuated",
    "Operators have evacuated a failure domain; its backend servers get no requests."};
inline constexpr log_event evacuation_ended{
    953, severity::info, "evacuation_ended",
    "The backend servers of a failure domain get requests again, at first as few as cold ones."};

inline constexpr log_event second_send{
    983, severity::info, "second_send",
    "A request whose answer does not begin within the usual time is sent to a second backend "
    "server."};
inline constexpr log_event second_send_answered{
    984, severity::info, "second_send_answered",
    "The second backend server answers first; the request is cancelled at the first one."};
inline constexpr log_event engines_full{
    970, severity::warning, "engines_full",
    "The requests that run on the model engines leave none of them enough memory for a request; it "
    "is refused, or waits if its answer has begun."};
inline constexpr log_event admission_active{
    965, severity::info, "admission_active",
    "A backend server of a service has stated its slowdown for the first time; from now on, this "
    "gateway decides which of the service's requests are sent, wait or are rejected."};
inline constexpr log_event request_not_admitted{
    966, severity::info, "request_not_admitted",
    "A request is rejected because it could not start before its time limit, or because its "
    "servers stay full; the fields contain what was expected."};
inline constexpr log_event request_waits{
    967, severity::info, "request_waits",
    "All backend servers of a request are full; it waits at this gateway for a free slot. A stream "
    "that has begun waits until one of them has room to continue it."};
inline constexpr log_event budgets_flushed{
    960, severity::info, "budgets_flushed",
    "The store has returned after an outage, noticed by this gateway or told by another one; usage "
    "is written and idle tokens are returned at once."};
inline constexpr log_event clients_limited{
    977, severity::warning, "clients_limited",
    "Clients together reached the limit of bytes or of connections: requests that were not handed "
    "on were refused, or connections closed. States how many by cause."};
inline constexpr log_event relief_changed{
    973, severity::info, "relief_changed",
    "The gateway is short of capacity while others are not and sends callers to them, or does so "
    "less; the fields contain the level."};
inline constexpr log_event relief_withheld{
    974, severity::info, "relief_withheld",
    "The gateway is short of capacity and keeps its callers, because the other gateways are short "
    "as well or their load is unknown."};
inline constexpr log_event not_ready_for_load{
    975, severity::warning, "not_ready_for_load",
    "The gateway is not ready for a short time, because closing connections and refusing requests "
    "did not relieve it."};

} // namespace dotterelport::gateway::events

#endif
