#include "dotterelport/ctl/bill_reader.hpp"

#include <algorithm>
#include <set>
#include <tuple>

#include "dotterelport/config/snapshot.hpp"

namespace dotterelport::ctl {
namespace {

using line_location = std::tuple<request_key, incarnation, std::uint64_t>;

/// @brief Returns the segment that follows "bill/" and "void/" in the object keys of the
/// workspace's shard; empty if no workspace is selected.
std::string shard_segment(session& context)
{
    const auto& workspace = context.settings().workspace;
    if (workspace.empty()) {
        return "";
    }
    const auto settings = context.read_configuration().content.settings;
    return std::to_string(config::shard_of(workspace, settings)) + "/";
}

} // namespace

bill_content combine_bill(const std::vector<budget::bill_batch>& batches,
                          const std::vector<budget::void_batch>& void_batches,
                          const std::string& workspace)
{
    const auto is_wanted = [&](const request_key& key) {
        return workspace.empty() || key.workspace == workspace;
    };
    std::set<line_location> voided;
    for (const auto& batch : void_batches) {
        for (const auto& line : batch.lines) {
            voided.emplace(line.key, line.holder, line.batch);
        }
    }
    bill_content result;
    for (const auto& batch : batches) {
        for (const auto& line : batch.lines) {
            if (is_wanted(line.key)) {
                const bool is_void = voided.contains({line.key, batch.holder, batch.number});
                result.lines.push_back({line, batch.holder, batch.number, is_void});
            }
        }
        std::copy_if(batch.unproved.begin(), batch.unproved.end(),
                     std::back_inserter(result.unproved),
                     [&](const auto& use) { return is_wanted(use.key); });
    }
    std::stable_sort(
        result.lines.begin(), result.lines.end(), [](const auto& left, const auto& right) {
            return std::tie(left.line.key, left.is_void) < std::tie(right.line.key, right.is_void);
        });
    return result;
}

bill_content read_bill(session& context)
{
    const std::string segment = shard_segment(context);
    // Bill batches are read before void batches, so that a line that is voided in between is shown
    // as void.
    std::vector<budget::bill_batch> batches;
    for (const auto& object : context.list("bill/" + segment).objects) {
        batches.push_back(budget::parse_bill_batch(object.value));
    }
    std::vector<budget::void_batch> void_batches;
    for (const auto& object : context.list("void/" + segment).objects) {
        void_batches.push_back(budget::parse_void_batch(object.value));
    }
    return combine_bill(batches, void_batches, context.settings().workspace);
}

} // namespace dotterelport::ctl
