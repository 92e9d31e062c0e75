#include "dotterelport/ctl/bill_reader.hpp"

#include <algorithm>
#include <set>
#include <tuple>

#include "dotterelport/config/snapshot.hpp"

namespace dotterelport::ctl {
namespace {

using line_place = std::tuple<request_key, incarnation, std::uint64_t>;

/// @brief Part of the object keys below "bill/" and "void/" that a workspace's lines are under.
std::string shard_segment(session& run)
{
    const auto& workspace = run.settings().workspace;
    if (workspace.empty()) {
        return "";
    }
    const auto settings = run.read_configuration().content.settings;
    return std::to_string(config::shard_of(workspace, settings)) + "/";
}

} // namespace

bill_content combine_bill(const std::vector<budget::bill_batch>& batches,
                          const std::vector<budget::void_batch>& voids,
                          const std::string& workspace)
{
    const auto is_wanted = [&](const request_key& key) {
        return workspace.empty() || key.workspace == workspace;
    };
    std::set<line_place> voided;
    for (const auto& batch : voids) {
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

bill_content read_bill(session& run)
{
    const std::string segment = shard_segment(run);
    // The lines are read first: a line that is taken back meanwhile is then shown as void.
    std::vector<budget::bill_batch> batches;
    for (const auto& item : run.list("bill/" + segment).objects) {
        batches.push_back(budget::parse_bill_batch(item.value));
    }
    std::vector<budget::void_batch> voids;
    for (const auto& item : run.list("void/" + segment).objects) {
        voids.push_back(budget::parse_void_batch(item.value));
    }
    return combine_bill(batches, voids, run.settings().workspace);
}

} // namespace dotterelport::ctl
