#ifndef DOTTERELPORT_CTL_LEDGER_READER_HPP
#define DOTTERELPORT_CTL_LEDGER_READER_HPP

#include <map>
#include <string>
#include <vector>

#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/ctl/session.hpp"

namespace dotterelport::ctl {

/// Account of one budget as shown to operators.
struct account_summary {
    std::string name;
    std::string workspace;
    tokens prepaid = 0;
    tokens ceiling = 0;
    tokens settled = 0;
    tokens open = 0;
    /// Part of the open tokens that is reserved for running requests. If the holder of a grant does
    /// not answer, all open tokens of the grant are included.
    tokens reserved = 0;
    tokens unproved = 0;
    bool stopped = false;
};

/// Reserved tokens by holder incarnation and budget name, of the routers that answered.
using reservations_by_holder = std::map<incarnation, std::map<std::string, tokens>>;

/// @brief Adds the reservations in a router's dump.
void add_reservations(const json& dump, reservations_by_holder& reservations);

/// @brief Combines the accepted configuration, the ledger and the reservations into one account for
/// each budget, sorted by budget name. Budgets that are not in the ledger yet have only a prepaid
/// amount and a ceiling.
std::vector<account_summary> combine_accounts(const config::document& configuration,
                                              const std::vector<budget::ledger_shard>& shards,
                                              const reservations_by_holder& reservations);

/// @brief Reads the accounts of all budgets.
std::vector<account_summary> read_accounts(session& context);

} // namespace dotterelport::ctl

#endif
