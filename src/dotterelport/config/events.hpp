#ifndef DOTTERELPORT_CONFIG_EVENTS_HPP
#define DOTTERELPORT_CONFIG_EVENTS_HPP

#include "dotterelport/base/log.hpp"

/// Log events of the config module, numbers 100 to 149.
namespace dotterelport::config {

inline constexpr log_event event_in_force{100, severity::info, "configuration_in_force",
                                          "A higher generation of the configuration is in force."};
inline constexpr log_event event_manifest_unreadable{
    101, severity::error, "manifest_unreadable",
    "The platform or a router returned something other than a manifest; it is ignored."};
inline constexpr log_event event_parts_unreadable{
    102, severity::error, "parts_unreadable",
    "A part of a generation cannot be parsed; the generation is ignored."};
inline constexpr log_event event_parts_delayed{
    103, severity::warning, "parts_delayed",
    "Parts of a generation could not be fetched; the fetch is retried."};
inline constexpr log_event event_not_confirmed{
    104, severity::warning, "configuration_not_confirmed",
    "Neither the platform nor a router has confirmed the current generation since the process "
    "started; the process stays not ready."};

} // namespace dotterelport::config

#endif
