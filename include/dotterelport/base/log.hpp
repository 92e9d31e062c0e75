#ifndef DOTTERELPORT_BASE_LOG_HPP
#define DOTTERELPORT_BASE_LOG_HPP

#include <string>
#include <string_view>

#include "dotterelport/base/json.hpp"

namespace dotterelport {

/// Severity of a log event.
enum class severity {
    debug,
    info,
    warning,
    error,
};

/// @brief Name of a severity as written in log lines and settings.
std::string_view to_string(severity value);

/// Entry of the event catalogue in docs/events.md. Numbers are never reused.
struct log_event {
    int number;
    severity level;
    std::string_view name;
    std::string_view meaning;
};

/// @brief Sets up logging for the process.
/// @param file path of the log file, "-" for standard error, or "stdout" for non-blocking standard
/// output, which drops lines while its reader is too slow
/// @param min_severity lowest severity that is written
/// @param process name written with each line
void configure_logging(const std::string& file, severity min_severity, const std::string& process);

/// @brief Writes one event as a line of JSON.
/// @param fields object with the details of the event; its members are added to the line
void log(const log_event& event, const json& fields = json::object());

} // namespace dotterelport

#endif
