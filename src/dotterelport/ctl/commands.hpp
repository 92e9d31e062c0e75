#ifndef DOTTERELPORT_CTL_COMMANDS_HPP
#define DOTTERELPORT_CTL_COMMANDS_HPP

#include <ostream>

#include "dotterelport/ctl/options.hpp"
#include "dotterelport/ctl/session.hpp"
#include "dotterelport/net/event_loop.hpp"

namespace dotterelport::ctl {

/// Configuration: check, diff, apply, show.
exit_status check(session& context);
exit_status diff(session& context);
exit_status apply(session& context);
exit_status show(session& context);

/// Processes: status, dump.
exit_status status(session& context);
exit_status dump(session& context);

/// Where a gateway would send a request now, and why.
exit_status explain(session& context);

/// Accounts: budget, bill.
exit_status budget(session& context);
exit_status bill(session& context);

/// Catalogue of log events as a Markdown table.
exit_status events(session& context);

/// @brief Runs one command.
/// @param out stream for the result
/// @param err stream for error messages
exit_status run_command(net::event_loop& loop, const options& settings, std::ostream& out,
                        std::ostream& err);

} // namespace dotterelport::ctl

#endif
