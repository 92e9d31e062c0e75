#ifndef DOTTERELPORT_GATEWAY_BUDGET_BROKER_HPP
#define DOTTERELPORT_GATEWAY_BUDGET_BROKER_HPP

#include <cstdint>
#include <map>
#include <string>

#include "dotterelport/gateway/budget_keeper.hpp"
#include "dotterelport/gateway/peer_link.hpp"

namespace dotterelport::gateway {

struct budget_broker_settings {
    /// Time after which a question to the owner is repeated.
    milliseconds ask_again{45};
    /// Time after which the own grants are used instead.
    milliseconds give_up{140};
    /// Pause before an unconfirmed settlement is sent again.
    milliseconds settle_again{200};
    /// Settlements are sent for this long; after that the owner has counted the upper bound.
    milliseconds settle_limit{20'000};
    /// Reservations that nobody settles are counted as spent after this time, when no request that
    /// holds one can run any more.
    milliseconds lent_limit{30'000};
};

/// Reserves tokens at the gateway that owns a shard of the ledger at the moment, so that writes of
/// different gateways seldom meet. Gateways that see each other agree on the owner by rendezvous
/// hashing; one that is cut off from it uses grants of its own. Whatever they believe, tokens are
/// only reserved under a grant, so no belief can overspend.
class budget_broker {
public:
    budget_broker(net::event_loop& loop, peer_link& link, budget_keeper& keeper,
                  const budget_broker_settings& settings = {});
    ~budget_broker();
    budget_broker(const budget_broker&) = delete;
    budget_broker& operator=(const budget_broker&) = delete;

    /// @brief Reserves tokens of a workspace; answers now or later.
    /// @return number of the reservation, for the other calls
    std::uint64_t reserve(const std::string& workspace, tokens upper,
                          budget_keeper::reservation_handler done);

    /// @brief Gives up waiting for a reservation, without calling its function.
    void abandon(std::uint64_t reservation);

    /// @brief Ends a reservation; see budget_keeper::settle().
    void settle(std::uint64_t reservation, verdict ran, tokens prompt_tokens, tokens output_tokens);

    /// @brief Counts reservations as spent that other gateways have left behind.
    void expire();

    /// @brief Tells whether other gateways hold tokens of this one's grants, or have not confirmed
    /// what was used of theirs.
    [[nodiscard]] bool is_busy() const { return !lent_.empty() || !settlements_.empty(); }

    [[nodiscard]] json dump() const;

private:
    struct own_reservation {
        std::string workspace;
        tokens upper = 0;
        /// Gateway that holds the tokens; empty for this one.
        std::string owner;
        budget_keeper::reservation_handler done;
        milliseconds asked{0};
        bool waiting = true;
        net::timer_id timer = 0;
    };

    struct settlement {
        std::string owner;
        json content;
        milliseconds since{0};
        net::timer_id timer = 0;
    };

    /// Tokens reserved here for a request of another gateway.
    struct lent_reservation {
        std::string workspace;
        std::string key;
        tokens upper = 0;
        milliseconds since{0};
    };

    [[nodiscard]] std::string owner_of(const std::string& workspace) const;
    [[nodiscard]] std::string key_of(const std::string& node, std::uint64_t number) const;
    void ask(std::uint64_t number);
    void reserve_here(std::uint64_t number);
    void finish(std::uint64_t number, reservation_outcome outcome);
    void tell_settlement(const std::string& owner, std::uint64_t number, verdict ran,
                         tokens prompt_tokens, tokens output_tokens);
    void send_settlement(std::uint64_t number);

    void asked(const peer_message& message);
    void answered(const peer_message& message);
    void settled_elsewhere(const peer_message& message);

    net::event_loop& loop_;
    peer_link& link_;
    budget_keeper& keeper_;
    budget_broker_settings settings_;
    std::uint64_t last_number_;
    std::map<std::uint64_t, own_reservation> reservations_;
    std::map<std::uint64_t, settlement> settlements_;
    std::map<std::string, lent_reservation> lent_;
};

} // namespace dotterelport::gateway

#endif
