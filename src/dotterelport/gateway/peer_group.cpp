#include "dotterelport/gateway/peer_group.hpp"

#include <algorithm>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::gateway {

std::set<std::string> peer_group(const std::string& self,
                                 const std::map<std::string, std::string>& domains,
                                 std::size_t max_size)
{
    std::set<std::string> result;
    const auto own_domain = domains.find(self);
    const bool is_split = domains.size() > max_size && own_domain != domains.end();
    for (const auto& [node, domain] : domains) {
        if (node != self && (!is_split || domain == own_domain->second)) {
            result.insert(node);
        }
    }
    const std::size_t size = result.size() + 1;
    if (!is_split || size <= max_size) {
        return result;
    }
    const std::size_t parts = (size + max_size - 1) / max_size;
    const std::size_t own_part = hash64(self) % parts;
    std::erase_if(result,
                  [&](const std::string& node) { return hash64(node) % parts != own_part; });
    return result;
}

} // namespace dotterelport::gateway
