#include "dotterelport/standin/engine_batch.hpp"

namespace dotterelport::standin {

void engine_batch::add(sequence_id id, priority level)
{
    waiting_.emplace(level, id);
}

void engine_batch::remove(sequence_id id)
{
    running_.erase(id);
    std::erase_if(waiting_, [id](const auto& entry) { return entry.second == id; });
}

double engine_batch::begin_step(const std::function<tokens(sequence_id)>& start_sequence)
{
    tokens prefill_tokens = 0;
    while (running_.size() < settings_.slots && !waiting_.empty()) {
        const sequence_id id = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        running_.insert(id);
        prefill_tokens += start_sequence(id);
    }
    return settings_.token_ms +
           settings_.token_ms_per_sequence * static_cast<double>(running_.size()) +
           settings_.prefill_ms_per_token * static_cast<double>(prefill_tokens);
}

std::vector<engine_batch::sequence_id> engine_batch::running() const
{
    return {running_.begin(), running_.end()};
}

} // namespace dotterelport::standin
