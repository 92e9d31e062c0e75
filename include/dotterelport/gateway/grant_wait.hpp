#ifndef DOTTERELPORT_GATEWAY_GRANT_WAIT_HPP
#define DOTTERELPORT_GATEWAY_GRANT_WAIT_HPP

#include <cstddef>
#include <optional>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::gateway {

/// Number of gateways from which a fleet bridges the absence of the store and of owners of ledger
/// shards with more messages; smaller fleets are served as before.
inline constexpr std::size_t least_large_fleet = 8;

/// What a gateway knows of its own grants when it refuses a request for lack of tokens.
struct grant_prospect {
    /// The store did not answer the last calls.
    bool is_store_away = false;
    /// The ledger had too few tokens for the request when it was last read.
    bool is_ledger_short = false;
    /// Time until the store is called next.
    milliseconds until_attempt{0};
};

/// Circumstances of a request that was refused because no grant covers it.
struct grant_refusal {
    bool is_large_fleet = false;
    /// No other gateway of the group was heard recently, although there are some.
    bool is_isolated = false;
    /// Time that the owner of the ledger shard stated; empty if it was not reached.
    std::optional<milliseconds> stated_by_owner = std::nullopt;
    grant_prospect own = {};
};

/// @brief Time after which tokens may be available to a request like the refused one.
milliseconds grant_retry_after(const grant_refusal& refusal);

} // namespace dotterelport::gateway

#endif
