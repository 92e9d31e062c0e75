#ifndef DOTTERELPORT_GATEWAY_BUDGET_BROKER_HPP
#define DOTTERELPORT_GATEWAY_BUDGET_BROKER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "dotterelport/gateway/budget_keeper.hpp"
#include "dotterelport/gateway/link_delay.hpp"
#include "dotterelport/gateway/peer_link.hpp"

namespace dotterelport::gateway {

struct budget_broker_settings {
    /// Interval at which a reserve message is sent again to an owner that has not answered.
    milliseconds reserve_resend_interval{45};
    /// Time without an answer of the owner after which this gateway uses its own grants.
    milliseconds owner_timeout{140};
    /// The same, once the owner has answered that it waits for a larger grant.
    milliseconds waiting_owner_timeout{450};
    /// Number of owners' timeouts in a row after which this gateway uses its own grants at once, in
    /// a large fleet. Its link may be too full for datagrams; waiting for them delays each request.
    int max_timeouts = 3;
    /// Writes usage and returns idle tokens as soon as the store has returned. Off until a test of
    /// it that fails at times has been traced (store_return_test, tag !mayfail).
    bool flushes_on_return = false;
    /// Interval at which an owner is asked all the same then.
    milliseconds ask_interval{500};
    /// Interval at which an unconfirmed settlement is sent again.
    milliseconds settle_resend_interval{200};
    /// Time after which a reservation that another gateway has not settled is charged in full; no
    /// request that holds one can still run by then. Settlements are sent until then.
    milliseconds lent_timeout{30'000};
    /// Time without a repeated reserve message after which the request of another gateway counts
    /// as gone while it waits here; some messages may be lost.
    milliseconds asker_timeout{150};
    /// Time for which ended reservations of other gateways are remembered, as messages about them
    /// may be delayed.
    milliseconds ended_memory{10'000};
    /// Number of gateways that get a copy of each ledger shard: those that own it next. Fewer
    /// deaths than that at the moment when the store comes back from an older copy lose nothing.
    std::size_t copies = 3;
    /// Interval at which the owner of a shard sends its state also if it has not changed, as the
    /// other gateways may have started again.
    milliseconds copy_interval{3'000};
    /// Time for which further messages that the store has returned are ignored, as several gateways
    /// may notice it.
    milliseconds return_memory{1'000};
};

/// How a request for tokens that arrives now is handled.
struct broker_forecast {
    /// Gateway that is asked; empty if this one reserves the tokens.
    std::string owner;
    /// At this gateway; nothing if another one is asked, whose answer is not known.
    std::optional<reservation_forecast> own;
    /// Retry-After of a refusal with `no_grant`; nothing if none is expected. If an owner is asked,
    /// it refused the last request, and this is what it stated.
    std::optional<milliseconds> retry_after;
};

/// Reserves tokens at the gateway that currently owns a shard of the ledger, so that writes of
/// different gateways rarely conflict. Gateways that can reach each other choose the same owner by
/// rendezvous hashing; a gateway that cannot reach the owner uses its own grants. Tokens are only
/// reserved under a grant, so gateways that disagree about the owner cannot overspend a budget.
class budget_broker {
public:
    budget_broker(net::event_loop& loop, peer_link& link, budget_keeper& keeper,
                  const budget_broker_settings& settings = {});
    ~budget_broker();
    budget_broker(const budget_broker&) = delete;
    budget_broker& operator=(const budget_broker&) = delete;

    /// @brief Reserves tokens of a workspace. Calls `done` before it returns or later.
    /// @return number of the reservation, for abandon() and settle()
    std::uint64_t reserve(const std::string& workspace, tokens upper_tokens,
                          budget_keeper::reservation_handler done);

    /// @brief Time after which a request of a workspace that was refused with `no_grant` may be
    /// reserved.
    [[nodiscard]] milliseconds retry_after(const std::string& workspace, tokens upper_tokens);

    /// @brief What reserve() would do now. Asks no owner.
    [[nodiscard]] broker_forecast forecast(const std::string& workspace, tokens upper_tokens) const;

    /// @brief Cancels a reservation that is still waiting, without calling its handler.
    void abandon(std::uint64_t reservation);

    /// @brief Settles a reservation; see shard_keeper::settle().
    void settle(std::uint64_t reservation, verdict ran, tokens prompt_tokens, tokens output_tokens);

    /// @brief Begins a new era of the store: tells the owners of the ledger shards what this
    /// gateway knows of them, as the store may have lost it.
    void begin_era(object_store::store_era era);

    /// @brief Sends what this gateway knows of the ledger to others, before it stops.
    void hand_over();

    /// @brief Charges in full the reservations that other gateways have not settled in time, and
    /// sends copies of the own ledger shards that are due.
    void expire();

    /// @brief Returns whether other gateways hold reservations under this gateway's grants, or have
    /// not confirmed settlements that this gateway sent.
    [[nodiscard]] bool is_busy() const { return !lent_.empty() || !settlements_.empty(); }

    /// @brief Delay of the own network link, as owners' response times show it; 0 while no other
    /// gateway is heard, as the link may be cut.
    [[nodiscard]] milliseconds network_delay() const;

    [[nodiscard]] json dump() const;

private:
    struct own_reservation {
        std::string workspace;
        tokens upper_tokens = 0;
        /// Gateway that holds the tokens; empty for this one.
        std::string owner;
        budget_keeper::reservation_handler done;
        milliseconds requested_at{0};
        bool waiting = true;
        /// The owner has answered that it waits for a larger grant.
        bool owner_waits = false;
        net::timer_id timer = 0;
    };

    /// Time at which an owner expects tokens of a workspace.
    struct owner_statement {
        std::string owner;
        milliseconds expected_at{0};
    };

    /// Owner and number of a reservation.
    using settlement_key = std::pair<std::string, std::uint64_t>;

    struct settlement {
        json content;
        milliseconds started_at{0};
        net::timer_id timer = 0;
    };

    /// Tokens reserved here for a request of another gateway.
    struct lent_reservation {
        std::string workspace;
        tokens upper_tokens = 0;
        milliseconds lent_at{0};
    };

    /// Reservation of another gateway that waits here for a larger grant.
    struct waiting_reservation {
        std::string workspace;
        /// When the last reserve message for it was received.
        milliseconds asked_at{0};
    };

    /// Reservation of another gateway that ended here.
    struct ended_reservation {
        milliseconds ended_at{0};
        /// Answer if no tokens were reserved; empty if the reservation was settled or cancelled.
        std::optional<json> refusal;
    };

    [[nodiscard]] std::string owner_of(const std::string& workspace) const;
    /// @brief Returns whether owners are not asked, as they did not answer lately. Sets the time of
    /// the next attempt to ask one.
    [[nodiscard]] bool is_unheard();
    [[nodiscard]] bool has_too_many_timeouts() const
    {
        return is_large_fleet() && timeouts_ >= settings_.max_timeouts;
    }
    /// @brief Returns whether a request for tokens is handled here, whatever its number.
    /// @param is_unheard whether owners are not asked
    [[nodiscard]] bool is_reserved_here(const std::string& owner, bool is_unheard) const
    {
        return owner == link_.node() || is_unheard;
    }
    /// @brief When the owner of a workspace's shard expects tokens, if it refused the last request.
    [[nodiscard]] const owner_statement* statement_of(const std::string& workspace) const;
    /// @brief Circumstances of a refusal, without what the owner or this gateway knows.
    [[nodiscard]] grant_refusal unexplained_refusal() const;
    [[nodiscard]] std::string key_of(const std::string& node, std::uint64_t number) const;
    /// @brief Asks the current owner, or reserves here if that is this gateway.
    void choose_owner(std::uint64_t number);
    void request_from_owner(std::uint64_t number);
    void reserve_locally(std::uint64_t number);
    /// @brief Records when an owner that refused a reservation expects tokens.
    void note_statement(const std::string& workspace, const peer_message& message);
    [[nodiscard]] bool is_large_fleet() const
    {
        return link_.peer_count() + 1 >= least_large_fleet;
    }
    void finish(std::uint64_t number, reservation_outcome outcome);
    void start_settlement(const std::string& owner, std::uint64_t number, verdict ran,
                          tokens prompt_tokens, tokens output_tokens);
    void send_settlement(const settlement_key& key);

    /// @brief Sends the newest known state of a shard to the gateways that own it, or own it next.
    /// @param has_all_writes whether the state read or written by this gateway has all writes of
    /// the ledger; a received one states that itself
    void send_copy(std::uint32_t shard, bool has_all_writes);
    /// @brief Returns whether other gateways send a copy to this one after each write of a shard.
    [[nodiscard]] bool receives_copies(std::uint32_t shard) const;

    void receive_copy(const peer_message& message);
    void receive_reserve(const peer_message& message);
    /// @brief Ends the wait of a reservation of another gateway, and releases tokens that no
    /// request waits for any more.
    /// @return whether to answer the other gateway
    bool lend(const std::string& workspace, const std::string& key, tokens upper_tokens,
              reservation_outcome outcome, const json& answer);
    /// @brief Releases tokens that another gateway reserved for a request that no longer needs
    /// them.
    void release_unclaimed(const std::string& node, std::uint64_t number, int outcome);
    /// @brief Returns whether the number of a reservation was chosen by this run of the gateway.
    [[nodiscard]] bool is_own_number(std::uint64_t number) const
    {
        return number > first_number_ && number <= last_number_;
    }
    void receive_reserved(const peer_message& message);
    /// @brief Flushes the budgets and tells the other gateways of a large fleet.
    void store_returned();
    void receive_store_returned(const peer_message& message);
    void receive_settle(const peer_message& message);
    /// @brief Uses another owner for the reservations that wait for a stopping one.
    void receive_leaving(const peer_message& message);

    net::event_loop& loop_;
    peer_link& link_;
    budget_keeper& keeper_;
    budget_broker_settings settings_;
    /// Reservations of this run have higher numbers.
    std::uint64_t first_number_;
    std::uint64_t last_number_;
    std::map<std::uint64_t, own_reservation> reservations_;
    std::map<settlement_key, settlement> settlements_;
    std::map<std::string, lent_reservation> lent_;
    std::map<std::string, waiting_reservation> waiting_here_;
    std::map<std::string, ended_reservation> ended_here_;
    /// By workspace; only of owners that refused the last reservation.
    std::map<std::string, owner_statement> statements_;
    milliseconds copies_sent_at_{0};
    /// When this gateway last learnt that the store had returned.
    std::optional<milliseconds> store_returned_at_;
    /// Response times of owners.
    link_delay link_delay_;
    /// Owners' timeouts since the last answer of one.
    int timeouts_ = 0;
    /// Time from which an owner is asked all the same.
    milliseconds ask_at_{0};
};

} // namespace dotterelport::gateway

#endif
