#ifndef DOTTERELPORT_BUDGET_SHARD_SESSION_HPP
#define DOTTERELPORT_BUDGET_SHARD_SESSION_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
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
    /// The store came back from an older copy, and the ledger in it is not recovered yet.
    recovering,
};

/// Which unused tokens of a grant a round returns.
enum class idle_return {
    /// Those above the usual tolerance, and those of grants that were not used for a while.
    usual,
    /// All above the target for the present demand.
    above_target,
    /// All that are not reserved.
    all,
};

/// Conditions under which a round runs.
struct round_environment {
    milliseconds now{0};
    /// Time for which platform calls have been failing or slow; 0 otherwise.
    milliseconds platform_trouble{0};
    std::size_t failure_domains = 1;
    /// Whether to write open bill lines; otherwise a later round writes them.
    bool flush = true;
    idle_return returned = idle_return::usual;
    /// Whether to read the ledger also if nothing has to be written, to find out whether the
    /// platform answers.
    bool must_read = false;
    /// Whether a ledger that the store has lost a part of may be written from the newest copy that
    /// is known: the other holders had the time to send theirs.
    bool may_recover = true;
    /// The same without a copy that has all writes. Tokens that may have been used since are
    /// withheld then.
    bool may_recover_unknown = true;
    /// Whether this holder is one of those that receive a copy after each write.
    bool receives_copies = true;
};

/// A ledger shard as a holder last read or wrote it.
struct ledger_copy {
    object_store::store_era era = 0;
    object_store::version ledger_version = 0;
    ledger_shard ledger;
    /// Whether it comes from a holder that wrote the ledger last or receives a copy after each
    /// write. Other holders may have read the ledger long ago.
    bool has_all_writes = true;
    /// Era of the store in which this holder received it.
    object_store::store_era received_in = 0;

    /// @brief Returns whether it has all writes still. A holder that receives no copies any more
    /// missed later writes, unless others sent it after the store came back.
    [[nodiscard]] bool is_complete(object_store::store_era current_era, bool receives_copies) const
    {
        return has_all_writes &&
               (receives_copies || (era < current_era && received_in == current_era));
    }

    /// @brief Returns whether it was written after another state of the ledger.
    [[nodiscard]] bool is_newer_than(object_store::store_era other_era,
                                     object_store::version other_version) const
    {
        return era != other_era ? era > other_era : ledger_version > other_version;
    }

    /// @brief Returns whether it is newer than another copy, or the same with all writes or
    /// received in a later era.
    [[nodiscard]] bool is_better_than(const ledger_copy& other) const
    {
        return is_newer_than(other.era, other.ledger_version) ||
               (era == other.era && ledger_version == other.ledger_version && has_all_writes &&
                (!other.has_all_writes || received_in > other.received_in));
    }
};

/// Coordinates one holder incarnation with one shard: decides which objects to read and write, and
/// keeps the holder's accounts consistent with the ledger, also when answers are lost. Does no I/O
/// itself: the caller performs each io_step and passes its result to resume().
///
/// The store may come back from an older copy, in a new era. Then the session reads the ledger
/// again and writes what the store has lost: the newest copy of the ledger that any live holder
/// has, and its own bill batches and grants.
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

    /// @brief Records the era of the store, which is also taken from the results of steps.
    void observe_era(object_store::store_era era);
    /// @brief Takes the ledger as another holder last knew it.
    void add_copy(ledger_copy copy);
    /// @brief Newest state of the ledger that is known; nothing before the first read.
    /// @param receives_copies whether this holder receives a copy after each write
    [[nodiscard]] std::optional<ledger_copy> newest_copy(bool receives_copies) const;
    /// @brief Returns whether the ledger was not read or recovered yet in this era.
    [[nodiscard]] bool needs_recovery() const { return current_era_ != era_; }

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
        rewriting_batch,
    };

    struct proposal {
        std::size_t account = 0;
        tokens amount = 0;
        bool removed = false;
    };

    /// A bill batch that is stored on the platform.
    struct written_batch {
        bill_batch batch;
        std::string text;
        milliseconds written_at{0};
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
    /// @return null if no batch has to be written again
    [[nodiscard]] const written_batch* next_rewrite() const;
    std::optional<io_step> rewrite_batch(const written_batch& item);
    std::optional<io_step> on_batch_rewritten(const object_store::write_result& result);
    /// @brief Continues a round with a ledger that was read for the first time in this era.
    std::optional<io_step> recover(ledger_shard stored, object_store::version ledger_version,
                                   bool found);
    /// @brief Adds this holder's bill batches and grants to a ledger that may lack them.
    /// @return whether the ledger lacked anything
    bool restore_own(ledger_shard& base);
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

    /// Newest era of the store.
    object_store::store_era era_ = 0;
    /// Era in which the ledger was last read or written.
    object_store::store_era current_era_ = 0;
    std::optional<ledger_shard> ledger_;
    /// Era and version of ledger_.
    object_store::store_era ledger_era_ = 0;
    object_store::version ledger_version_ = 0;
    /// State of the ledger that another holder knew.
    std::optional<ledger_copy> received_copy_;
    /// The recovered ledger has to be written.
    bool is_recovered_unwritten_ = false;
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
    /// Batches that the store may lose if it comes back from an older copy.
    std::deque<written_batch> recent_batches_;
    /// Numbers of the recent batches that have to be written again; none if the first is higher.
    std::uint64_t first_rewrite_ = 1;
    std::uint64_t last_rewrite_ = 0;
    /// Number of the batch that is being written again.
    std::uint64_t rewriting_ = 0;
    object_store::store_era rewrite_era_ = 0;
    std::optional<void_batch> voids_;
    std::uint64_t audit_cursor_ = 0;
};

} // namespace dotterelport::budget

#endif
