#ifndef DOTTERELPORT_BUDGET_GRANT_HOLDER_HPP
#define DOTTERELPORT_BUDGET_GRANT_HOLDER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/budget/bill.hpp"
#include "dotterelport/request/admission_table.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::budget {

/// State of a holder for one budget: its grant, its reservations and its demand.
struct holder_account {
    std::string budget;
    /// Amount of the grant in the ledger, as last confirmed.
    tokens amount = 0;
    /// Smallest amount that the grant may have after unconfirmed writes of the ledger.
    std::optional<tokens> least_amount;
    /// Tokens billed or unproved since the grant was opened, whether or not the ledger has applied
    /// them.
    tokens accounted = 0;
    tokens reserved = 0;
    /// Sum of the upper bounds of requests that wait for available tokens.
    tokens waiting_tokens = 0;
    /// Another holder asked for the unused tokens of this grant.
    bool recalled = false;
    /// A ledger write that removes the grant was sent and may not be confirmed yet.
    bool removing = false;
    tokens largest_request = 0;
    /// Spent since the last measurement of the demand.
    tokens spent_in_period = 0;
    milliseconds period_start{0};
    double tokens_per_second = 0;
    milliseconds last_used{0};
    std::optional<milliseconds> first_used;

    /// @brief Tokens that new requests can reserve.
    [[nodiscard]] tokens available() const
    {
        const tokens usable =
            least_amount.has_value() && *least_amount < amount ? *least_amount : amount;
        return usable - accounted - reserved;
    }

    /// @brief Returns whether a new request with this upper bound can be reserved.
    [[nodiscard]] bool covers(tokens upper_tokens) const
    {
        return upper_tokens >= 0 && available() >= upper_tokens;
    }
};

/// A reservation, or a finished request that the holder remembers.
struct known_request {
    std::uint32_t account = 0;
    bool finished = false;
    tokens upper_tokens = 0;
    incarnation agent;
    /// Number of the attempt that the tokens are reserved for.
    std::uint32_t attempt = 1;
    std::string digest;
    /// Router that asked for the reservation.
    std::string router;
    /// Time when the reservation was made or last confirmed by its agent.
    milliseconds confirmed_at{0};
    /// Number of the batch that bills the request, if it has finished.
    std::uint64_t batch = 0;
    /// Key of the request that finished next, if this one has finished.
    const request_key* next_finished = nullptr;
};

/// Parameters of a reservation.
struct reservation {
    const request_key& key;
    std::string_view budget;
    tokens upper_tokens = 0;
    const incarnation& agent;
    std::string_view digest;
    std::string_view router;
    milliseconds now{0};
    /// Number of the attempt. An agent runs each attempt of a key at most once, so the tokens of an
    /// attempt are never spent by another one at the same agent.
    std::uint32_t attempt = 1;
};

/// Result of grant_holder::reserve().
enum class reserve_outcome {
    reserved,
    /// The key is reserved with another agent, attempt or router, or has finished; nothing changed.
    known,
    /// The grant has too few available tokens.
    insufficient_tokens,
};

/// Result of grant_holder::settle().
enum class settle_outcome {
    settled,
    /// The outcome was counted before, or matches no reservation.
    ignored,
};

/// The grants of one holder incarnation in one shard and the reservations under them. Tokens are
/// reserved only from confirmed grants, so that available() is never negative.
class grant_holder {
public:
    struct options {
        /// Number of reservations for which memory is allocated in advance, so that they cause no
        /// allocation.
        std::size_t expected_reservations = 1024;
        /// Number of finished requests that are remembered, to recognise retries and repeated
        /// outcomes.
        std::size_t remembered_requests = 16'384;
        /// Maximum number of lines in a bill batch; keeps the batch below the platform's limit on
        /// the size of a value.
        std::size_t lines_per_batch = 2'000;
    };

    grant_holder();
    explicit grant_holder(const options& settings);

    /// @brief Reserves the upper bound of a request. Repeating it for the same key, agent, attempt
    /// and router changes nothing.
    reserve_outcome reserve(const reservation& request);

    /// @brief Moves a reservation to another agent or attempt.
    /// @param previous_not_run whether the previous agent will certainly not run the request;
    /// otherwise the tokens stay reserved there too, until that agent reports an outcome
    reserve_outcome move(const reservation& request, bool previous_not_run);

    /// @brief Counts an agent's outcome of a request.
    settle_outcome settle(const request::outcome& outcome);

    /// @brief Releases a reservation; only for a request that will certainly not run.
    /// @return whether the key was reserved
    bool release(const request_key& key);

    /// @brief Releases the tokens reserved for an attempt at an agent that will certainly not run
    /// it.
    bool release_at(const request_key& key, const incarnation& agent, std::uint32_t attempt);

    /// @brief Counts all tokens reserved at an agent as unproved; for an agent that can no longer
    /// run or report requests.
    void agent_gone(const incarnation& agent);

    /// @brief Returns whether an agent may forget an outcome: the batch that counts it is stored,
    /// or no batch will count it.
    [[nodiscard]] bool is_durable(const request::outcome& outcome) const;

    [[nodiscard]] const known_request* find(const request_key& key) const;

    /// @brief Reservations that were last confirmed before a time, and whose agents should be asked
    /// about them.
    [[nodiscard]] std::vector<std::pair<request_key, incarnation>>
    reserved_before(milliseconds time, std::size_t limit) const;
    /// @brief Handles the answer of an agent that was asked to refuse the request of an old
    /// reservation: releases the reservation if the request was refused and keeps it if the request
    /// runs. If the key has finished at the agent and no outcome has arrived for a long time, the
    /// run was for another holder's reservation, and the tokens of this one become unproved.
    /// @return whether tokens were released
    bool apply_key_state(const request_key& key, const incarnation& agent, request::key_state state,
                         milliseconds now);

    /// @brief Moves open bill lines into the next batch; returns nothing if there are none.
    std::optional<bill_batch> seal(std::uint32_t shard, const incarnation& self);
    /// @brief Records that the batches up to a number are stored on the platform.
    void mark_durable(std::uint64_t batch);
    [[nodiscard]] std::uint64_t last_batch() const { return last_batch_; }
    [[nodiscard]] std::uint64_t durable_batch() const { return durable_batch_; }
    [[nodiscard]] bool has_open_lines() const;
    /// @brief Tokens of a budget in lines and unproved uses that no batch has yet.
    [[nodiscard]] tokens open_charges(std::string_view budget) const;

    /// @brief Account of a budget; created if it does not exist.
    holder_account& account(std::string_view budget);
    [[nodiscard]] const holder_account* find_account(std::string_view budget) const;
    [[nodiscard]] std::vector<holder_account>& accounts() { return accounts_; }
    [[nodiscard]] const std::vector<holder_account>& accounts() const { return accounts_; }

    [[nodiscard]] std::size_t reservation_count() const { return reservation_count_; }
    [[nodiscard]] tokens total_reserved() const;

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept;
    };

    /// Not noexcept, so that the standard library stores hashes in the nodes instead of computing
    /// them again for every node that it passes.
    struct key_hash {
        std::size_t operator()(const request_key& key) const
        {
            return std::hash<request_key>{}(key);
        }
    };

    using request_table = std::unordered_map<request_key, known_request, key_hash>;

    /// An attempt other than the current one of its key: its request was moved to another attempt,
    /// or it may have run.
    struct other_attempt {
        std::uint32_t account = 0;
        incarnation agent;
        /// Tokens that are still reserved; 0 once the outcome is known.
        tokens upper = 0;
        milliseconds since{0};
        std::uint32_t attempt = 0;
        /// Number of the batch that counts the outcome; 0 while the outcome is not known.
        std::uint64_t batch = 0;
    };

    using attempt_table = std::unordered_multimap<request_key, other_attempt>;

    reserve_outcome insert(const reservation& request);
    /// @brief Makes an earlier attempt the current one, whose run is billed; the previous current
    /// attempt is kept in other_attempts_.
    void make_current(attempt_table::iterator other);
    std::uint32_t account_index(std::string_view budget);
    void recycle(request_table::iterator entry);
    void remember_finished(request_table::iterator entry);
    /// @return number of the batch that will have the line
    std::uint64_t add_line(const request::outcome& outcome, std::uint32_t account, tokens charged);
    void add_unproved(const request_key& key, std::uint32_t account, const incarnation& agent,
                      std::uint32_t attempt, tokens amount);
    void move_to_unproved(request_table::iterator entry);
    void move_to_unproved(attempt_table::iterator other);
    void mark_confirmed(const request_key& key, const incarnation& agent, milliseconds now);
    settle_outcome settle_other(const request::outcome& outcome);
    [[nodiscard]] const other_attempt* find_settled_other(const request::outcome& outcome) const;
    /// @brief Finds an attempt whose outcome is not known.
    [[nodiscard]] attempt_table::iterator
    find_open_other(const request_key& key, const incarnation& agent, std::uint32_t attempt);
    /// @brief Finds any attempt at an agent whose outcome is not known.
    [[nodiscard]] attempt_table::iterator find_open_other(const request_key& key,
                                                          const incarnation& agent);
    void release_other(attempt_table::iterator other);
    /// @return whether anything was reserved
    bool release_all_at(const request_key& key, const incarnation& agent);

    options options_;
    std::vector<holder_account> accounts_;
    std::unordered_map<std::string, std::uint32_t, text_hash, std::equal_to<>> account_of_;
    request_table requests_;
    /// Nodes extracted from requests_, which are reused together with the memory of their strings.
    std::vector<request_table::node_type> free_nodes_;
    attempt_table other_attempts_;
    const request_key* first_finished_ = nullptr;
    known_request* last_finished_ = nullptr;
    std::size_t finished_count_ = 0;
    std::size_t reservation_count_ = 0;
    std::vector<bill_line> lines_;
    /// Number of lines in use; later elements of lines_ keep their memory for the next batch.
    std::size_t line_count_ = 0;
    std::vector<unproved_use> unproved_;
    std::uint64_t last_batch_ = 0;
    std::uint64_t durable_batch_ = 0;
};

} // namespace dotterelport::budget

#endif
