#include "dotterelport/ctl/nodes.hpp"

#include "dotterelport/base/error.hpp"

namespace dotterelport::ctl {

std::vector<membership::node_record> read_nodes(session& run)
{
    const auto listing = run.list(std::string(membership::node_prefix));
    std::vector<membership::node_record> nodes;
    nodes.reserve(listing.objects.size());
    for (const auto& item : listing.objects) {
        try {
            auto record = membership::parse_node_record(item.value);
            if (membership::node_key(record.id.node) == item.key) {
                nodes.push_back(std::move(record));
            }
        } catch (const format_error&) {
            // The daemons log such objects.
        }
    }
    return nodes;
}

} // namespace dotterelport::ctl
