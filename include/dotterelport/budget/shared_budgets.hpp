#ifndef DOTTERELPORT_BUDGET_SHARED_BUDGETS_HPP
#define DOTTERELPORT_BUDGET_SHARED_BUDGETS_HPP

#include <functional>
#include <string>

#include "dotterelport/budget/shard_session.hpp"

namespace dotterelport::budget {

/// Object store that an embedding program provides. The calls may fail or lose answers as the
/// result types describe; writes are conditional on the version.
struct shard_objects {
    std::function<object_store::read_result(const std::string& key)> read;
    std::function<object_store::write_result(const std::string& key, const std::string& value,
                                             object_store::version if_version)>
        write;
};

/// Prepaid budgets shared by several processes through an object store, for programs without the
/// daemons. Each process holds its own grants and spends from them without contacting the store or
/// another process.
///
/// Each instance needs an incarnation that was never used before.
class shared_budgets {
public:
    /// @param shard ledger object to share, "budget/<shard>"
    shared_budgets(shard_objects store, std::uint32_t shard, incarnation self,
                   const sizing_policy& policy);

    /// @brief Sets the prepaid amounts; only a newer generation changes them.
    void declare(declaration value, milliseconds now);

    /// @brief Reserves the upper bound of a request; runs a round with the ledger if the grant has
    /// too few available tokens.
    reserve_outcome reserve(const reservation& request);

    /// @brief Bills the tokens that a request used and releases the remainder of its reservation.
    void settle(const request::outcome& outcome) { session_.holder().settle(outcome); }

    /// @brief Releases a reservation; only if the request will certainly not run.
    void release(const request_key& key) { session_.holder().release(key); }

    /// @brief Writes open bill lines and adjusts the grants; to be called periodically.
    round_outcome flush(milliseconds now);

    /// @brief Returns unused grants; to be called before the process ends.
    round_outcome drain(milliseconds now);

    [[nodiscard]] const shard_session& session() const { return session_; }

private:
    shard_objects store_;
    shard_session session_;
};

/// @brief Runs a round of a session against a store.
round_outcome run_round(shard_session& session, const shard_objects& store,
                        const round_environment& environment);

} // namespace dotterelport::budget

#endif
