#ifndef DOTTERELPORT_BUDGET_SHARD_SESSION_HPP
#define DOTTERELPORT_BUDGET_SHARD_SESSION_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/budget/grant_holder.hpp"
#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/budget/sizing.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::budget {

/// Read or conditional write that the caller of a session has to perform next.
struct io_step {
    enum class kind {
        read,
        write,
    };

    kind operation = kind::read;
    std::string key;
    std::string value;
    object_store::version if_version = 0;
};

/// How a round of a session ended.
enum class round_outcome {
    /// All changes are stored on the platform, and grants are as large as the ledger allows.
    complete,
    /// The platform did not answer; the next round continues the work.
    unavailable,
    /// Another router closed this holder incarnation.
    closed,
};

/// Conditions under which a round runs.
struct round_environment {
    milliseconds now{0};
    /// Time for which platform calls have been failing or slow; 0 otherwise.
    milliseconds platform_trouble{0};
    std::size_t failure_domains = 1;
    /// Whether to write open bill lines; otherwise a later round writes them.
    bool flush = true;
};

/// Coordinates one holder incarnation with one shard: decides which objects to read and write, and
/// keeps the holder's accounts consistent with the ledger, also when answers are lost. Does no I/O
/// itself: the caller performs each io_step and passes its result to resume().
class shard_session {
public:
    shard_session(std::uint32_t shard, incarnation holder, const sizing_policy& policy,
                  const grant_holder::options& settings = {});

    /// @brief Starts a round.
    /// @return the first step, or nothing if the round is over (or one is running)
    std::optional<io_step> start(const round_environment& environment);

    /// @brief Continues the round with the result of a step.
    /// @return the next step, or nothing if the round is over
    std::optional<io_step> resume(const object_store::read_result& result);
    std::optional<io_step> resume(const object_store::write_result& result);

    [[nodiscard]] bool in_round() const { return phase_ != phase::idle; }
    /// @brief Result of the last round.
    [[nodiscard]] round_outcome last_outcome() const { return outcome_; }
    [[nodiscard]] bool is_closed() const { return closed_; }

    /// @brief Sets the budgets that the configuration in force declares.
    void set_declaration(std::shared_ptr<const declaration> new_declaration);
    /// @brief From now on, returns unused grants and opens grants only for waiting requests.
    void set_draining() { draining_ = true; }
    /// @brief Applies the result of an audit with the next write of the ledger.
    void add_voids(void_batch batch) { voids_ = std::move(batch); }
    /// @brief Records that batches up to a revision were audited; the cursor is written only
    /// together with other changes.
    void set_audit_cursor(std::uint64_t cursor) { audit_cursor_ = cursor; }

    /// @brief Returns whether no reservation, grant or open bill line exists and nothing waits to
    /// be written.
    [[nodiscard]] bool is_drained() const;

    [[nodiscard]] grant_holder& holder() { return holder_; }
    [[nodiscard]] const grant_holder& holder() const { return holder_; }
    [[nodiscard]] const incarnation& self() const { return self_; }
    [[nodiscard]] std::uint32_t shard() const { return shard_; }
    /// @brief Ledger as last read or written; null before that.
    [[nodiscard]] const ledger_shard* ledger() const;

    /// @brief Accounts of this holder, for /dump and the CLI.
    [[nodiscard]] json dump() const;

private:
    enum class phase {
        idle,
        writing_batch,
        reading_batch,
        reading_shard,
        writing_shard,
    };

    struct proposal {
        std::size_t account = 0;
        tokens amount = 0;
        bool removed = false;
    };

    std::optional<io_step> finish(round_outcome outcome);
    std::optional<io_step> close();
    std::optional<io_step> write_batch();
    std::optional<io_step> on_batch_durable();
    std::optional<io_step> read_shard();
    std::optional<io_step> plan();
    std::optional<io_step> write_shard(const ledger_shard& next);
    std::optional<io_step> on_batch_written(const object_store::write_result& result);
    std::optional<io_step> on_shard_written(const object_store::write_result& result);
    [[nodiscard]] bool has_work() const;
    /// @return false if the ledger shows that this holder was closed
    bool adopt(const ledger_shard& stored_ledger, object_store::version ledger_version);
    void resolve_proposals();
    /// @return false if the grant remains too small for the reserved and waiting requests
    bool size_grant(ledger_shard& next, std::size_t index);
    [[nodiscard]] tokens target_open_tokens(const ledger_entry& entry,
                                            const holder_account& budget_account,
                                            tokens open_now) const;
    void measure_demand(holder_account& budget_account) const;

    std::uint32_t shard_;
    incarnation self_;
    sizing_policy policy_;
    grant_holder holder_;
    std::shared_ptr<const declaration> declaration_;
    round_environment environment_;
    phase phase_ = phase::idle;
    round_outcome outcome_ = round_outcome::complete;
    bool closed_ = false;
    bool draining_ = false;

    std::optional<ledger_shard> ledger_;
    object_store::version ledger_version_ = 0;
    /// The ledger was read or written in this round.
    bool fresh_ = false;
    std::optional<ledger_shard> next_ledger_;
    std::vector<proposal> proposals_;
    /// Ledger version that a write whose answer was lost was conditional on.
    std::optional<object_store::version> unconfirmed_version_;

    std::optional<bill_batch> sealed_;
    std::string sealed_text_;
    /// Batches that are stored on the platform but not yet applied to the ledger.
    std::vector<bill_batch> unapplied_;
    std::optional<void_batch> voids_;
    std::uint64_t audit_cursor_ = 0;
};

} // namespace dotterelport::budget

#endif
