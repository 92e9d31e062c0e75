#ifndef DOTTERELPORT_ROUTER_BUDGET_EVENTS_HPP
#define DOTTERELPORT_ROUTER_BUDGET_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of the router's budget service, numbers 400-449.
namespace dotterelport::router::events {

inline constexpr log_event session_opened{400, severity::info, "session_opened",
                                          "this router starts to hold grants of a budget shard"};
inline constexpr log_event incarnation_replaced{
    401, severity::warning, "incarnation_replaced",
    "another router closed this router's incarnation; this router starts a new one"};
inline constexpr log_event owner_unreachable{
    402, severity::warning, "owner_unreachable",
    "the owner of a budget shard did not answer; this router reserves from its own grants"};
inline constexpr log_event tokens_lent{
    403, severity::info, "tokens_lent",
    "this router reserved tokens for a router of another failure domain"};
inline constexpr log_event grants_recalled{
    404, severity::info, "grants_recalled",
    "unused tokens of grants were returned to the ledger on request of another router"};
inline constexpr log_event agent_gone{
    405, severity::warning, "agent_gone",
    "an agent is permanently gone; reservations at it become unproved"};
inline constexpr log_event closing_started{
    406, severity::warning, "closing_started",
    "this router starts to close the grants of a dead router"};
inline constexpr log_event closing_finished{407, severity::info, "closing_finished",
                                            "the grants of a dead router are closed"};
inline constexpr log_event closing_delayed{
    408, severity::warning, "closing_delayed",
    "an agent of a dead router cannot be reached; the grants of that router stay counted"};
inline constexpr log_event audit_failed{
    409, severity::warning, "audit_failed",
    "an audit could not write its batch of voided lines or read it back"};
inline constexpr log_event message_rejected{410, severity::warning, "message_rejected",
                                            "a budget message is malformed"};
inline constexpr log_event reservation_released{
    411, severity::info, "reservation_released",
    "an agent refused a request whose reservation had no outcome for a long time"};
inline constexpr log_event object_unreadable{412, severity::error, "object_unreadable",
                                             "a ledger or bill object cannot be parsed"};
inline constexpr log_event reservation_unclaimed{
    413, severity::info, "router_reservation_unclaimed",
    "tokens were reserved for a router that no longer waits for them; they are released"};
inline constexpr log_event cancellation_lost{
    414, severity::warning, "cancellation_lost",
    "a router did not confirm that a call to reserve tokens is cancelled; its tokens stay reserved "
    "until the agent refuses the request"};
inline constexpr log_event verdict_outdated{
    415, severity::info, "router_verdict_outdated",
    "this router finds a budget exhausted by an older configuration than the asking router's; it "
    "answers that it cannot tell"};

} // namespace dotterelport::router::events

#endif
