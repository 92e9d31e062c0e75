#include "dotterelport/standin/run_counters.hpp"

namespace dotterelport::standin {
namespace {

json entry_to_json(const run_counters::entry& value)
{
    return {{"runs", value.runs},
            {"finished", value.finished},
            {"cancelled", value.cancelled},
            {"prompt_tokens", value.prompt_tokens},
            {"completion_tokens", value.completion_tokens}};
}

} // namespace

json run_counters::to_json() const
{
    json keys = json::object();
    entry total;
    for (const auto& [key, value] : entries_) {
        keys[key] = entry_to_json(value);
        total.runs += value.runs;
        total.finished += value.finished;
        total.cancelled += value.cancelled;
        total.prompt_tokens += value.prompt_tokens;
        total.completion_tokens += value.completion_tokens;
    }
    return {{"keys", std::move(keys)}, {"total", entry_to_json(total)}};
}

} // namespace dotterelport::standin
