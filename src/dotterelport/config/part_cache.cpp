#include "dotterelport/config/part_cache.hpp"

#include <algorithm>
#include <set>

namespace dotterelport::config {

std::vector<std::string> part_cache::missing(const manifest& value) const
{
    std::set<std::string> hashes;
    for (const auto& hash : value.parts) {
        if (!hash.empty() && !entries_.contains(hash)) {
            hashes.insert(hash);
        }
    }
    return {hashes.begin(), hashes.end()};
}

void part_cache::add(const part_contents& contents)
{
    for (const auto& [hash, content] : contents) {
        auto parsed = std::make_shared<part>(parse_part(content, part_key(hash)));
        entries_.insert_or_assign(hash, entry{content, std::move(parsed)});
    }
}

document part_cache::build(const manifest& value) const
{
    std::vector<std::shared_ptr<const part>> parts;
    for (const auto& hash : value.parts) {
        parts.push_back(hash.empty() ? nullptr : entries_.at(hash).parsed);
    }
    return join(parts);
}

void part_cache::retain(const manifest& value)
{
    const std::set<std::string> kept(value.parts.begin(), value.parts.end());
    std::erase_if(entries_, [&](const auto& item) { return !kept.contains(item.first); });
}

const std::string* part_cache::find(const std::string& hash) const
{
    const auto found = entries_.find(hash);
    return found == entries_.end() ? nullptr : &found->second.content;
}

} // namespace dotterelport::config
