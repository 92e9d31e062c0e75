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

/// A read or conditional write that a session needs next.
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
    /// The platform has everything, and grants are as large as the ledger allows.
    complete,
    /// The platform did not answer; the next round goes on.
    unavailable,
    /// Another router closed this holder incarnation.
    closed,
};

/// What a round needs to know about its surroundings.
struct round_environment {
    milliseconds now{0};
    milliseconds platform_trouble{0};
    std::size_t failure_domains = 1;
    /// Write open bill lines; otherwise they wait for a later round.
    bool flush = true;
};

/// One holder incarnation's dealings with one shard: decides which objects to read and write, and
/// keeps the holder's accounts in step with the ledger, also when answers are lost. Does no I/O
/// itself: the caller performs each io_step and passes on its result.
class shard_session {
public:
    shard_session(std::uint32_t shard, incarnation holder, const sizing_policy& policy,
                  const grant_holder::options& settings = {});

    /// @brief Starts a round.
    /// @return the first step, or nothing if the round is over (or one is running)
    std::optional<io_step> start(const round_environment& environment);

    /// @brief Goes on with the result of a step.
    /// @return the next step, or nothing if the round is over
    std::optional<io_step> resume(const object_store::read_result& result);
    std::optional<io_step> resume(const object_store::write_result& result);

    [[nodiscard]] bool in_round() const { return phase_ != phase::idle; }
    /// @brief Result of the last round.
    [[nodiscard]] round_outcome last_outcome() const { return outcome_; }
    [[nodiscard]] bool is_closed() const { return closed_; }

    /// @brief Sets what the configuration in force declares.
    void set_declaration(std::shared_ptr<const declaration> value);
    /// @brief Returns unused grants from now on, and opens none but for waiting requests.
    void set_draining() { draining_ = true; }
    /// @brief Counts the result of an audit with the next write.
    void add_voids(void_batch value) { voids_ = std::move(value); }
    /// @brief Notes that batches up to a revision were audited; written with other changes only.
    void set_audit_cursor(std::uint64_t cursor) { audit_cursor_ = cursor; }

    /// @brief Tells whether nothing is reserved, open or waiting to be written.
    [[nodiscard]] bool is_settled() const;

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
    std::optional<io_step> batch_is_durable();
    std::optional<io_step> read_shard();
    std::optional<io_step> plan();
    std::optional<io_step> write_shard(const ledger_shard& next);
    std::optional<io_step> batch_written(const object_store::write_result& result);
    std::optional<io_step> shard_written(const object_store::write_result& result);
    [[nodiscard]] bool has_work() const;
    /// @return false if the ledger shows that this holder was closed
    bool adopt(const ledger_shard& value, object_store::version at);
    void resolve_proposals();
    /// @return false if a waiting request stays without room
    bool size_grant(ledger_shard& next, std::size_t index);
    [[nodiscard]] tokens wanted_open(const ledger_entry& entry, const holder_account& owner,
                                     tokens open_now) const;
    void measure_demand(holder_account& owner) const;

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
    /// Version that a write with a lost answer was conditional on.
    std::optional<object_store::version> unresolved_;

    std::optional<bill_batch> sealed_;
    std::string sealed_text_;
    /// Batches that the platform has and the ledger does not count yet.
    std::vector<bill_batch> unapplied_;
    std::optional<void_batch> voids_;
    std::uint64_t audit_cursor_ = 0;
};

} // namespace dotterelport::budget

#endif
