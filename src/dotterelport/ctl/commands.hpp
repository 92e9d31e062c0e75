#ifndef DOTTERELPORT_CTL_COMMANDS_HPP
#define DOTTERELPORT_CTL_COMMANDS_HPP

#include <ostream>

#include "dotterelport/ctl/options.hpp"
#include "dotterelport/ctl/session.hpp"
#include "dotterelport/net/event_loop.hpp"

namespace dotterelport::ctl {

/// Configuration: check, diff, apply, show.
exit_status check(session& run);
exit_status diff(session& run);
exit_status apply(session& run);
exit_status show(session& run);

/// Processes: status, dump.
exit_status status(session& run);
exit_status dump(session& run);

/// Accounts: budget, bill.
exit_status budget(session& run);
exit_status bill(session& run);

/// Catalogue of log events as a Markdown table.
exit_status events(session& run);

/// @brief Runs one command.
/// @param out receives the result
/// @param err receives messages about failures
exit_status run_command(net::event_loop& loop, const options& settings, std::ostream& out,
                        std::ostream& err);

} // namespace dotterelport::ctl

#endif
