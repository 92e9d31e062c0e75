#ifndef DOTTERELPORT_GATEWAY_SHARD_KEEPER_HPP
#define DOTTERELPORT_GATEWAY_SHARD_KEEPER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/base/verdict.hpp"
#include "dotterelport/budget/shard_session.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/object_store/conditional_objects.hpp"

namespace dotterelport::gateway {

/// Answer to a request for tokens.
enum class reservation_outcome {
    reserved,
    /// The budget as a whole does not cover the request.
    exhausted,
    /// This router's grant does not cover the request, but the budget may.
    no_grant,
};

/// @brief Name of an outcome for logs.
std::string_view to_string(reservation_outcome value);

struct shard_keeper_settings {
    /// Interval at which grants are compared with the demand.
    milliseconds round_interval{500};
    /// Interval at which the use of requests that ended is written down.
    milliseconds flush_interval{5'000};
    /// Longest time for which a request waits for a larger grant.
    milliseconds grant_wait{250};
    /// Time between rounds that waiting requests ask for.
    milliseconds urgent_spacing{60};
    /// Time for which a ledger that was read is believed to have no more room than it had.
    milliseconds ledger_life{500};
    /// Pause after a round without an answer of the store, doubled after each further one.
    milliseconds first_pause{250};
    milliseconds longest_pause{1'000};
    budget::demand_share sizing = default_sizing();

    static budget::demand_share default_sizing();
};

/// What the shards of one gateway know of the store, so that they do not all try it while it is
/// away.
struct store_health {
    int failures = 0;
    milliseconds retry_at{0};

    [[nodiscard]] bool is_away(milliseconds now) const { return failures > 0 && now < retry_at; }
    void note_answer() { failures = 0; }

    /// @param first pause after the first failure, doubled after each further one
    void note_failure(milliseconds now, milliseconds first, milliseconds longest);
};

/// The grants of this router in one shard of the ledger: reserves the most that a request can use
/// before it is sent, and settles what it used. Grants are taken from the ledger in the object
/// store, which all routers share, by conditional updates, so that no cut or outage lets them pass
/// the prepaid total.
class shard_keeper {
public:
    using reservation_handler = std::function<void(reservation_outcome)>;

    shard_keeper(net::event_loop& loop, object_store::conditional_objects& objects,
                 std::uint32_t shard, incarnation self, std::shared_ptr<store_health> health,
                 const shard_keeper_settings& settings = {});
    ~shard_keeper();
    shard_keeper(const shard_keeper&) = delete;
    shard_keeper& operator=(const shard_keeper&) = delete;

    /// @brief Takes the prepaid totals of a configuration for the workspaces of this shard.
    void declare(std::shared_ptr<const budget::declaration> declaration);

    /// @brief Reserves tokens of a workspace; answers now or after the next rounds.
    /// @param id unique among all requests of the workspace
    void reserve(const std::string& workspace, const std::string& id, tokens upper,
                 reservation_handler done);

    /// @brief Gives up waiting for a reservation, without calling its function.
    void abandon(const std::string& workspace, const std::string& id);

    /// @brief Ends a reservation.
    /// @param ran whether the request ran; one that may have run counts as one that did
    void settle(const std::string& workspace, const std::string& id, verdict ran,
                tokens prompt_tokens, tokens output_tokens);

    /// @brief Returns what is not used, and calls a function when the ledger has everything.
    void drain(std::function<void()> done);

    /// @brief Tells whether nothing is granted, reserved or waiting.
    [[nodiscard]] bool is_idle() const;

    /// @brief Routers that hold grants, this one included; at least 1.
    [[nodiscard]] std::size_t holder_count() const;

    [[nodiscard]] json dump() const;

private:
    struct waiting_reservation {
        request_key key;
        tokens upper = 0;
        milliseconds until{0};
        reservation_handler done;
        net::timer_id timer = 0;
    };

    reservation_outcome try_reserve(const request_key& key, tokens upper);
    /// @brief Tells whether the ledger lately had no room for a request.
    [[nodiscard]] bool has_no_room(const std::string& workspace, tokens upper) const;
    [[nodiscard]] bool is_exhausted(const std::string& workspace, tokens upper) const;
    void serve_waiting(bool round_complete);
    void give_up_waiting(const request_key& key);
    void set_wanted();
    void start_round();
    void perform(const budget::io_step& step);
    void round_ended();
    void schedule_round(milliseconds delay);
    void take_declaration();
    void log_first_ledger();

    net::event_loop& loop_;
    object_store::conditional_objects& objects_;
    shard_keeper_settings settings_;
    incarnation self_;
    std::shared_ptr<store_health> health_;
    budget::shard_session session_;
    /// Not written to the ledger yet, as this gateway uses no budget of the shard.
    std::shared_ptr<const budget::declaration> next_declaration_;
    std::list<waiting_reservation> waiting_;
    net::timer_id round_timer_ = 0;
    milliseconds last_flush_{0};
    milliseconds last_round_{0};
    /// End of the last round that reached the store.
    std::optional<milliseconds> ledger_read_;
    std::function<void()> drained_;
    bool ledger_logged_ = false;
    bool reached_store_ = false;
    /// Functions of calls that are under way check it.
    std::shared_ptr<shard_keeper*> alive_;
};

} // namespace dotterelport::gateway

#endif
