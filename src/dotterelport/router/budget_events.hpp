#ifndef DOTTERELPORT_ROUTER_BUDGET_EVENTS_HPP
#define DOTTERELPORT_ROUTER_BUDGET_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of the router's budget service, numbers 400-449.
namespace dotterelport::router::events {

inline constexpr log_event session_opened{400, severity::info, "session_opened",
                                          "this router starts to hold grants of a budget shard"};
inline constexpr log_event incarnation_replaced{
    401, severity::warning, "incarnation_replaced",
    "this router was closed by another one and starts a new incarnation"};
inline constexpr log_event owner_unreachable{
    402, severity::warning, "owner_unreachable",
    "the owner of a budget shard did not answer; this router reserves from grants of its own"};
inline constexpr log_event tokens_lent{403, severity::info, "tokens_lent",
                                       "a request of another failure domain was reserved here"};
inline constexpr log_event grants_recalled{
    404, severity::info, "grants_recalled",
    "unused parts of grants were returned to the ledger for another router"};
inline constexpr log_event agent_gone{405, severity::warning, "agent_gone",
                                      "reservations at an agent that is gone become unproved"};
inline constexpr log_event closing_started{406, severity::warning, "closing_started",
                                           "this router closes the grants of a dead router"};
inline constexpr log_event closing_finished{407, severity::info, "closing_finished",
                                            "the grants of a dead router are closed"};
inline constexpr log_event closing_delayed{
    408, severity::warning, "closing_delayed",
    "an agent of a dead router cannot be reached; its grants stay counted"};
inline constexpr log_event audit_failed{409, severity::warning, "audit_failed",
                                        "bill batches could not be read or voids not written"};
inline constexpr log_event message_rejected{410, severity::warning, "message_rejected",
                                            "a budget message does not have the required form"};
inline constexpr log_event reservation_released{
    411, severity::info, "reservation_released",
    "an agent refused a request whose reservation had no outcome for long"};
inline constexpr log_event object_unreadable{412, severity::error, "object_unreadable",
                                             "a ledger or bill object does not parse"};

} // namespace dotterelport::router::events

#endif
