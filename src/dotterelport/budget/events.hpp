#ifndef DOTTERELPORT_BUDGET_EVENTS_HPP
#define DOTTERELPORT_BUDGET_EVENTS_HPP

#include "dotterelport/base/log.hpp"

namespace dotterelport::budget::events {

inline constexpr log_event invariant_violated{
    300, severity::error, "budget_invariant_violated",
    "A ledger entry has settled + unproved + open above its ceiling; the budget is stopped."};
inline constexpr log_event charge_above_reservation{
    301, severity::error, "charge_above_reservation",
    "An outcome charges more than was reserved for it; the charge is limited to the reservation."};
inline constexpr log_event unexpected_outcome{
    302, severity::warning, "unexpected_outcome",
    "An agent reports a run without a reservation at this holder; the run is not billed again."};
inline constexpr log_event prepaid_declared{
    303, severity::info, "prepaid_declared",
    "A configuration generation changed the prepaid amount of a budget in the ledger."};
inline constexpr log_event holder_closed{
    304, severity::warning, "holder_closed",
    "This holder incarnation was closed by another router; its grants are no longer used."};
inline constexpr log_event line_voided{
    305, severity::info, "line_voided",
    "The audit voided a bill line, because another line bills the same request."};
inline constexpr log_event tokens_unproved{
    306, severity::warning, "tokens_unproved",
    "Tokens that may have been used but cannot be billed are counted as spent."};
inline constexpr log_event shard_too_large{
    307, severity::error, "shard_too_large",
    "The platform rejects a ledger shard or bill batch as too large; more shards are needed."};
inline constexpr log_event grant_missing{
    308, severity::error, "grant_missing",
    "The ledger lacks a grant of this holder that has open reservations."};
inline constexpr log_event ledger_recovered{
    309, severity::warning, "ledger_recovered",
    "A ledger shard was written again after the store came back from an older copy."};
inline constexpr log_event grant_restored{
    310, severity::warning, "grant_restored",
    "A grant that the store had lost, or had with a smaller amount, was written again."};
inline constexpr log_event budget_overdrawn{
    311, severity::error, "budget_overdrawn",
    "After the store came back from an older copy, more tokens are used than are prepaid."};
inline constexpr log_event tokens_withheld{
    312, severity::warning, "tokens_withheld",
    "No live holder knows what was used since the copy that the store came back from; tokens of "
    "that amount count as spent."};
inline constexpr log_event bills_written_again{
    313, severity::info, "bills_written_again",
    "Bill batches that the store may have lost were written again."};

} // namespace dotterelport::budget::events

#endif
