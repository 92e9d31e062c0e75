#include "dotterelport/standin/call_counters.hpp"

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::standin {
namespace {

constexpr enum_names<call_kind, 6> kind_names{{
    {call_kind::read, "read"},
    {call_kind::write, "write"},
    {call_kind::remove, "remove"},
    {call_kind::list, "list"},
    {call_kind::watch, "watch"},
    {call_kind::vms, "vms"},
}};

json counter_to_json(const call_counter& counts)
{
    return {{"calls", counts.calls},
            {"bytes_in", counts.bytes_in},
            {"bytes_out", counts.bytes_out},
            {"rate_limited", counts.rate_limited},
            {"refused_in_outage", counts.refused_in_outage},
            {"lost_answers", counts.lost_answers}};
}

void add(call_counter& total, const call_counter& counts)
{
    total.calls += counts.calls;
    total.bytes_in += counts.bytes_in;
    total.bytes_out += counts.bytes_out;
    total.rate_limited += counts.rate_limited;
    total.refused_in_outage += counts.refused_in_outage;
    total.lost_answers += counts.lost_answers;
}

} // namespace

std::string_view to_string(call_kind value)
{
    return name_of(kind_names, value);
}

bool is_write(call_kind value)
{
    return value == call_kind::write || value == call_kind::remove;
}

call_counter& call_counters::at(call_kind kind, const std::string& key)
{
    return counters_[kind][key.substr(0, key.find('/'))];
}

std::uint64_t call_counters::calls(call_kind kind) const
{
    std::uint64_t total = 0;
    const auto found = counters_.find(kind);
    if (found != counters_.end()) {
        for (const auto& [segment, counter] : found->second) {
            total += counter.calls;
        }
    }
    return total;
}

json call_counters::to_json() const
{
    json result = json::object();
    for (const auto& [kind, segments] : counters_) {
        call_counter total;
        json by_segment = json::object();
        for (const auto& [segment, counter] : segments) {
            add(total, counter);
            by_segment[segment] = counter_to_json(counter);
        }
        json entry = counter_to_json(total);
        entry["by_segment"] = std::move(by_segment);
        result[std::string(to_string(kind))] = std::move(entry);
    }
    return result;
}

} // namespace dotterelport::standin
