#ifndef DOTTERELPORT_GATEWAY_SHARD_KEEPER_HPP
#define DOTTERELPORT_GATEWAY_SHARD_KEEPER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/base/verdict.hpp"
#include "dotterelport/budget/shard_session.hpp"
#include "dotterelport/gateway/grant_wait.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/object_store/conditional_objects.hpp"

namespace dotterelport::gateway {

/// Result of a request for tokens.
enum class reservation_outcome {
    reserved,
    /// The budget as a whole does not cover the request.
    exhausted,
    /// This router's grant does not cover the request, but the budget may.
    no_grant,
};

/// @brief Name of an outcome for logs.
std::string_view to_string(reservation_outcome value);

/// What becomes of a request for tokens that arrives now.
enum class reservation_forecast {
    reserved,
    exhausted,
    no_grant,
    /// It waits until a larger grant is obtained, at most for shard_keeper_settings::grant_wait.
    waits,
};

/// @brief Name of a forecast for operators.
std::string_view to_string(reservation_forecast value);

struct shard_keeper_settings {
    /// Interval between rounds, which adapt the grants to the demand.
    milliseconds round_interval{500};
    /// Interval at which the usage of finished requests is written to the ledger.
    milliseconds flush_interval{5'000};
    /// Longest time for which a request waits for a larger grant.
    milliseconds grant_wait{250};
    /// Minimum interval between rounds that are started early for waiting requests.
    milliseconds min_round_interval{60};
    /// Maximum age of a ledger read for it to be used to refuse requests that exceed the remaining
    /// tokens, without another read.
    milliseconds max_ledger_age{500};
    /// Time after the store came back from an older copy at which the owner of the shard writes the
    /// ledger again: until then, other gateways send what they know. Gateways that do not own it
    /// wait longer, and still longer without a copy that is newer than the store's.
    milliseconds recovery_delay{700};
    milliseconds recovery_delay_others{1'500};
    milliseconds recovery_delay_unknown{3'000};
    /// Backoff after the second round in a row without an answer of the store, doubled after each
    /// further one up to max_backoff. The round after the first one follows at once.
    milliseconds initial_backoff{250};
    milliseconds max_backoff{1'000};
    /// Longest time between two calls of the store by one gateway of a large fleet while the store
    /// is away, so that its return is noticed within that time.
    milliseconds probe_interval{120};
    budget::demand_share sizing = default_sizing();

    static budget::demand_share default_sizing();
};

/// Backoff state for the object store. The shards of one gateway share it, so that they do not all
/// retry while the store is unavailable.
struct store_health {
    int failures = 0;
    /// Rounds that failed since the last answer; failures also counts rounds that are in progress.
    int failed_rounds = 0;
    /// Time until which requests are refused without a call.
    milliseconds retry_at{0};
    /// Time from which a round may find out whether the store is back; at most retry_at.
    milliseconds probe_at{0};
    bool is_large_fleet = false;
    /// Called when the store answers again after two failed calls or more.
    std::function<void()> on_return;

    [[nodiscard]] bool is_backing_off(milliseconds now) const
    {
        return failures > 0 && now < retry_at;
    }
    [[nodiscard]] bool may_probe(milliseconds now) const
    {
        return failures == 0 || now >= probe_at;
    }
    /// @return whether an outage has ended
    bool record_answer()
    {
        failures = 0;
        return std::exchange(failed_rounds, 0) > 1;
    }

    /// @param initial_backoff backoff after the second failure, doubled after each further one
    /// @param max_backoff upper limit of the backoff
    void record_failure(milliseconds now, milliseconds initial_backoff, milliseconds max_backoff);
};

/// When the ledger may be written again after the store came back from an older copy.
struct recovery_times {
    milliseconds with_copy{0};
    milliseconds without_copy{0};
    /// Whether this gateway receives a copy of the ledger after each write.
    bool receives_copies = true;
};

/// Manages the grants of this router in one shard of the ledger: reserves the maximum that a
/// request can use before it is sent, and settles the actual usage afterwards. The ledger in the
/// object store is shared by all routers. Grants are obtained from it by conditional updates, so
/// that they never exceed the prepaid total, even during a network partition or an outage.
class shard_keeper {
public:
    using reservation_handler = std::function<void(reservation_outcome)>;

    shard_keeper(net::event_loop& loop, object_store::conditional_objects& objects,
                 std::uint32_t shard, incarnation self, std::shared_ptr<store_health> health,
                 const shard_keeper_settings& settings = {});
    ~shard_keeper();
    shard_keeper(const shard_keeper&) = delete;
    shard_keeper& operator=(const shard_keeper&) = delete;

    /// @brief Sets the prepaid totals of this shard's workspaces from a configuration.
    void declare(std::shared_ptr<const budget::declaration> declaration);

    /// @brief Reserves tokens of a workspace. Calls `done` immediately, after a later round or when
    /// `grant_wait` has passed.
    /// @param id unique among all requests of the workspace
    void reserve(const std::string& workspace, const std::string& id, tokens upper_tokens,
                 reservation_handler done);

    /// @brief What reserve() would do now.
    [[nodiscard]] reservation_forecast forecast(const std::string& workspace,
                                                tokens upper_tokens) const;

    /// @brief Cancels a reservation that is still waiting, without calling its handler.
    void abandon(const std::string& workspace, const std::string& id);

    /// @brief Settles a reservation.
    /// @param ran whether the request ran; a request that may have run is charged like one that ran
    void settle(const std::string& workspace, const std::string& id, verdict ran,
                tokens prompt_tokens, tokens output_tokens);

    /// @brief What is known of the grants when a request of a workspace is refused.
    [[nodiscard]] grant_prospect prospect(const std::string& workspace, tokens upper_tokens) const;

    /// @brief Begins a new era of the store, in which the ledger is recovered first.
    /// @param times called in each round, as a gateway may hear the others only after the first
    /// answer of the store
    void begin_era(object_store::store_era era, std::function<recovery_times()> times);
    /// @brief Takes the ledger as another gateway last knew it.
    void add_copy(budget::ledger_copy copy);
    /// @brief Newest known state of the ledger; nothing before the first read.
    [[nodiscard]] std::optional<budget::ledger_copy> newest_copy(bool receives_copies) const
    {
        return session_.newest_copy(receives_copies);
    }
    /// @brief Sets a function that is called when this gateway has written the ledger.
    void on_ledger_written(std::function<void()> handler)
    {
        on_ledger_written_ = std::move(handler);
    }

    /// @brief Writes the usage of finished requests and returns idle tokens, as the store is back.
    /// @param returned how many of the idle tokens
    void flush(milliseconds delay, budget::idle_return returned);
    /// @brief Smallest number of tokens that a used budget of this shard has left; nothing if no
    /// budget is used.
    [[nodiscard]] std::optional<tokens> least_remaining() const;

    /// @brief Returns the unused grants. Calls `done` once all changes are in the ledger.
    void drain(std::function<void()> done);

    /// @brief Returns whether nothing is granted, reserved or waiting in this shard.
    [[nodiscard]] bool is_idle() const;

    /// @brief Number of routers that hold grants, including this one; at least 1.
    [[nodiscard]] std::size_t holder_count() const;

    [[nodiscard]] json dump() const;

private:
    struct waiting_reservation {
        request_key key;
        tokens upper_tokens = 0;
        milliseconds deadline{0};
        reservation_handler done;
        net::timer_id timer = 0;
        /// The round in progress obtains tokens for it. A request that arrives later waits for the
        /// next round.
        bool is_in_round = false;
    };

    reservation_outcome try_reserve(const request_key& key, tokens upper_tokens);
    /// @brief What becomes of a request that the grant does not cover.
    [[nodiscard]] reservation_forecast forecast_without_grant(const std::string& workspace,
                                                              tokens upper_tokens) const;
    /// @brief Returns whether a recent read showed that the ledger cannot grant enough for a
    /// request.
    [[nodiscard]] bool lacks_capacity(const std::string& workspace, tokens upper_tokens) const;
    /// @brief Returns whether proved usage and this router's own reservations leave too few of the
    /// tokens that the newest known configuration declares.
    [[nodiscard]] bool is_exhausted(const std::string& workspace, tokens upper_tokens) const;
    /// @brief Returns whether the ledger was last read or written before the declaration in force.
    [[nodiscard]] bool is_ledger_outdated() const;
    /// @brief Prepaid total in the newest of the ledger and the declaration in force.
    [[nodiscard]] tokens prepaid_of(const std::string& workspace,
                                    const budget::ledger_entry& entry) const;
    void serve_waiting(bool round_complete);
    void time_out_waiting(const request_key& key);
    void update_demand();
    void start_round();
    void perform(const budget::io_step& step);
    void round_ended();
    void schedule_round(milliseconds delay);
    void pass_declaration();
    void log_first_ledger();

    net::event_loop& loop_;
    object_store::conditional_objects& objects_;
    shard_keeper_settings settings_;
    incarnation self_;
    std::shared_ptr<store_health> health_;
    budget::shard_session session_;
    /// Totals of the configuration in force.
    std::shared_ptr<const budget::declaration> declaration_;
    /// The totals are not passed to the session yet, because this gateway uses no budget of the
    /// shard.
    bool is_declaration_pending_ = false;
    std::list<waiting_reservation> waiting_;
    net::timer_id round_timer_ = 0;
    milliseconds last_flush_{0};
    milliseconds last_round_{0};
    /// End of the last complete round.
    std::optional<milliseconds> last_ledger_read_;
    std::function<void()> on_drained_;
    bool ledger_logged_ = false;
    bool round_reached_store_ = false;
    bool ledger_written_ = false;
    /// Rounds that flush without regard to the interval. The first may only write a batch that was
    /// sealed during the outage.
    int early_flushes_ = 0;
    /// The flush was requested during a round, which does not count as one.
    bool flushes_after_round_ = false;
    budget::idle_return returned_ = budget::idle_return::usual;
    std::function<recovery_times()> recovery_;
    std::function<void()> on_ledger_written_;
    /// Callbacks of pending store calls hold a weak pointer to it to detect that this object was
    /// destroyed.
    std::shared_ptr<shard_keeper*> alive_;
};

} // namespace dotterelport::gateway

#endif
