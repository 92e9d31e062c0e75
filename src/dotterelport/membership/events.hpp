#ifndef DOTTERELPORT_MEMBERSHIP_EVENTS_HPP
#define DOTTERELPORT_MEMBERSHIP_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of the membership module, numbers 200 to 249.
namespace dotterelport::membership {

inline constexpr log_event event_registered{200, severity::info, "node_registered",
                                            "This incarnation is registered in the platform."};
inline constexpr log_event event_registration_delayed{
    201, severity::warning, "registration_delayed",
    "The node record could not be read or written; registration is retried."};
inline constexpr log_event event_incarnation_lost{
    202, severity::warning, "incarnation_lost",
    "Another process changed this node's record: this incarnation is closed."};
inline constexpr log_event event_own_record_unreadable{
    203, severity::error, "own_record_unreadable",
    "The object under this node's key is not a node record. Registration is retried until an "
    "operator removes the object."};
inline constexpr log_event event_records_unreadable{
    204, severity::error, "records_unreadable",
    "Objects under node/ are not node records and are ignored."};
inline constexpr log_event event_node_silent{205, severity::warning, "node_silent",
                                             "A node stopped answering and is no longer live."};
inline constexpr log_event event_node_answering{206, severity::info, "node_heard",
                                                "A silent node answers again."};
inline constexpr log_event event_closing_started{
    207, severity::info, "closing_started",
    "The record of a router incarnation is set to closing."};
inline constexpr log_event event_closing_finished{208, severity::info, "closing_finished",
                                                  "A router incarnation is recorded as closed."};

} // namespace dotterelport::membership

#endif
