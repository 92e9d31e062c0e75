#ifndef DOTTERELPORT_REQUEST_OUTCOME_LIST_HPP
#define DOTTERELPORT_REQUEST_OUTCOME_LIST_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dotterelport/request/messages.hpp"

namespace dotterelport::request {

/// Number of unsettled outcomes at which an agent refuses new work.
inline constexpr std::size_t max_unsettled_outcomes = 100'000;

/// Outcomes that their holders have not yet confirmed as durable. Outcomes are numbered in the
/// order in which they are added.
class outcome_list {
public:
    /// Outcomes of one holder and the number of the last one, 0 if there are none.
    struct batch {
        std::vector<outcome> outcomes;
        std::uint64_t last_number = 0;
    };

    /// @param holder_address endpoint at which the holder listens for peers
    void add(const outcome& new_outcome, const std::string& holder_address);

    /// @brief Holders with outcomes.
    [[nodiscard]] std::vector<incarnation> holders() const;
    [[nodiscard]] std::string address_of(const incarnation& holder) const;

    /// @brief Copies the oldest outcomes of a holder, which stay in the list.
    /// @param after_number only outcomes with a higher number are copied
    [[nodiscard]] batch oldest(const incarnation& holder, std::size_t max_count,
                               std::uint64_t after_number = 0) const;

    /// @brief Removes outcomes that are durable.
    /// @param last_number number of the last outcome of the batch that the holder confirmed;
    /// outcomes of the same keys that were added later stay
    /// @return number of outcomes removed
    std::size_t remove(const incarnation& holder, const std::vector<request_key>& keys,
                       std::uint64_t last_number);

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct holder_entry {
        std::string address;
        /// By number.
        std::map<std::uint64_t, outcome> outcomes;
    };

    std::map<incarnation, holder_entry> holders_;
    std::uint64_t last_number_ = 0;
    std::size_t size_ = 0;
};

} // namespace dotterelport::request

#endif
