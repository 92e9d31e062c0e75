#include "dotterelport/ctl/nodes.hpp"

#include "dotterelport/base/error.hpp"

namespace dotterelport::ctl {

std::vector<membership::node_record> read_nodes(session& context)
{
    const auto listing = context.list(std::string(membership::node_prefix));
    std::vector<membership::node_record> nodes;
    nodes.reserve(listing.objects.size());
    for (const auto& object : listing.objects) {
        try {
            auto record = membership::parse_node_record(object.value);
            if (membership::node_key(record.id.node) == object.key) {
                nodes.push_back(std::move(record));
            }
        } catch (const format_error&) {
            // Skipped without a message, because the daemons log such objects.
        }
    }
    return nodes;
}

} // namespace dotterelport::ctl
