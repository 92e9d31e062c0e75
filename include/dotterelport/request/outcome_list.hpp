#ifndef DOTTERELPORT_REQUEST_OUTCOME_LIST_HPP
#define DOTTERELPORT_REQUEST_OUTCOME_LIST_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dotterelport/request/messages.hpp"

namespace dotterelport::request {

/// Limit of unsettled outcomes of an agent; beyond it the agent takes no new work.
inline constexpr std::size_t max_unsettled_outcomes = 100'000;

/// Outcomes that their holders have not yet reported durable.
class outcome_list {
public:
    /// Outcomes of one holder, and the number up to which they were taken.
    struct batch {
        std::vector<outcome> outcomes;
        std::uint64_t last_number = 0;
    };

    /// @param holder_address peers endpoint of the holder
    void add(const outcome& value, const std::string& holder_address);

    /// @brief Holders with outcomes.
    [[nodiscard]] std::vector<incarnation> holders() const;
    [[nodiscard]] std::string address_of(const incarnation& holder) const;

    /// @brief Oldest outcomes of a holder.
    /// @param after only outcomes with a higher number
    [[nodiscard]] batch take(const incarnation& holder, std::size_t max_count,
                             std::uint64_t after = 0) const;

    /// @brief Removes outcomes that are durable.
    /// @param last_number number of the batch that was answered; outcomes of the same keys that
    /// were added later stay
    /// @return number of outcomes removed
    std::size_t remove(const incarnation& holder, const std::vector<request_key>& keys,
                       std::uint64_t last_number);

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct holder_entry {
        std::string address;
        /// By number of addition.
        std::map<std::uint64_t, outcome> outcomes;
    };

    std::map<incarnation, holder_entry> holders_;
    std::uint64_t last_number_ = 0;
    std::size_t size_ = 0;
};

} // namespace dotterelport::request

#endif
