#ifndef DOTTERELPORT_STANDIN_ENGINE_BATCH_HPP
#define DOTTERELPORT_STANDIN_ENGINE_BATCH_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dotterelport/base/priority.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::standin {

/// Continuous batching: in each step every running sequence produces one token. Free slots are
/// assigned to waiting sequences by priority, then by arrival.
class engine_batch {
public:
    struct options {
        std::size_t slots = 16;
        /// Duration of a step: a fixed time, and an additional time per running sequence.
        double token_ms = 8.0;
        double token_ms_per_sequence = 0.5;
        double prefill_ms_per_token = 0.05;
    };

    using sequence_id = std::uint64_t;

    explicit engine_batch(const options& settings) : settings_(settings) {}

    void add(sequence_id id, priority level);

    /// @brief Removes a running or waiting sequence.
    void remove(sequence_id id);

    /// @brief Fills free slots and starts a step.
    /// @param start_sequence called for each sequence that is assigned a slot; returns the number
    /// of tokens to prefill
    /// @return duration of the step in milliseconds
    double begin_step(const std::function<tokens(sequence_id)>& start_sequence);

    /// @brief Sequences that produce a token at the end of the step.
    [[nodiscard]] std::vector<sequence_id> running() const;
    [[nodiscard]] std::size_t running_count() const { return running_.size(); }
    [[nodiscard]] std::size_t waiting_count() const { return waiting_.size(); }
    [[nodiscard]] bool is_empty() const { return running_.empty() && waiting_.empty(); }

private:
    options settings_;
    /// Identifiers increase in order of arrival, so the pairs are sorted in order of service.
    std::set<std::pair<priority, sequence_id>> waiting_;
    std::set<sequence_id> running_;
};

} // namespace dotterelport::standin

#endif
