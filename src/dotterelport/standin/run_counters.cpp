#include "dotterelport/standin/run_counters.hpp"

namespace dotterelport::standin {
namespace {

json entry_to_json(const run_counters::entry& counts)
{
    return {{"runs", counts.runs},
            {"finished", counts.finished},
            {"cancelled", counts.cancelled},
            {"prompt_tokens", counts.prompt_tokens},
            {"completion_tokens", counts.completion_tokens}};
}

} // namespace

json run_counters::to_json() const
{
    json keys = json::object();
    entry total;
    for (const auto& [key, counts] : entries_) {
        keys[key] = entry_to_json(counts);
        total.runs += counts.runs;
        total.finished += counts.finished;
        total.cancelled += counts.cancelled;
        total.prompt_tokens += counts.prompt_tokens;
        total.completion_tokens += counts.completion_tokens;
    }
    return {{"keys", std::move(keys)}, {"total", entry_to_json(total)}};
}

} // namespace dotterelport::standin
