#ifndef DOTTERELPORT_OBJECT_STORE_EVENTS_HPP
#define DOTTERELPORT_OBJECT_STORE_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of feeds from the object store (880 to 899).
namespace dotterelport::object_store::events {

inline constexpr log_event feed_lost{880, severity::warning, "feed_lost",
                                     "Objects of a kind can no longer be read; the last known "
                                     "objects stay in use."};
inline constexpr log_event feed_regained{881, severity::info, "feed_regained",
                                         "Objects of a kind can be read again."};
inline constexpr log_event feed_history_gone{
    882, severity::info, "feed_history_gone",
    "The store no longer has the changes that a watch needs; the objects are listed again."};
inline constexpr log_event path_changed{
    884, severity::warning, "store_path_changed",
    "Calls to the store now go through a relay, or directly again."};
inline constexpr log_event relay_started{885, severity::info, "relay_started",
                                         "The relay forwards connections to the store."};
inline constexpr log_event relay_stopped{886, severity::info, "relay_stopped",
                                         "The relay received a signal to stop."};
inline constexpr log_event object_ignored{
    883, severity::warning, "object_ignored",
    "An object does not have the required form and is ignored; the error names the field."};
inline constexpr log_event item_closed{
    890, severity::error, "configuration_item_closed",
    "A route, service or tenant of the configuration cannot be read; its requests are refused."};
inline constexpr log_event configuration_missing{
    891, severity::error, "configuration_missing",
    "The store no longer has the configuration; the one in force stays in force."};
inline constexpr log_event era_changed{
    887, severity::warning, "store_era_changed",
    "The store came back from an older copy: what it acknowledged shortly before may be gone."};
inline constexpr log_event feed_era_gone{
    889, severity::info, "feed_era_gone",
    "The store came back in a newer era than the one of the known objects; they are listed again."};
inline constexpr log_event answer_of_earlier_era{
    888, severity::warning, "answer_of_earlier_era",
    "An answer from before the store came back from an older copy is ignored."};
inline constexpr log_event relay_clients_limited{
    892, severity::warning, "relay_clients_limited",
    "The relay reached its limit of connections and closed some that were not in use."};

} // namespace dotterelport::object_store::events

#endif
