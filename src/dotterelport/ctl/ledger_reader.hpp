#ifndef DOTTERELPORT_CTL_LEDGER_READER_HPP
#define DOTTERELPORT_CTL_LEDGER_READER_HPP

#include <map>
#include <string>
#include <vector>

#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/ctl/session.hpp"

namespace dotterelport::ctl {

/// Accounts of one budget as operators see them.
struct budget_account {
    std::string name;
    std::string workspace;
    tokens prepaid = 0;
    tokens ceiling = 0;
    tokens settled = 0;
    tokens open = 0;
    /// Part of open that running requests hold. All of a grant whose holder does not answer counts.
    tokens reserved = 0;
    tokens unproved = 0;
    bool stopped = false;
};

/// Reservations by holder incarnation and budget, of the routers that answered.
using holder_reservations = std::map<incarnation, std::map<std::string, tokens>>;

/// @brief Extracts the reservations from a router's dump.
void add_reservations(const json& dump, holder_reservations& reservations);

/// @brief Combines the accepted configuration, the ledger and the reservations, by budget name.
/// Budgets that are not in the ledger yet have only a prepaid amount.
std::vector<budget_account> combine_accounts(const config::document& configuration,
                                             const std::vector<budget::ledger_shard>& shards,
                                             const holder_reservations& reservations);

/// @brief Reads all accounts.
std::vector<budget_account> read_accounts(session& run);

} // namespace dotterelport::ctl

#endif
