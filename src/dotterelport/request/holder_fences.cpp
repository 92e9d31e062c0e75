#include "dotterelport/request/holder_fences.hpp"

#include <algorithm>

namespace dotterelport::request {

void holder_fences::fence(const incarnation& holder)
{
    const auto [entry, is_new] = epochs_.try_emplace(holder.node, holder.epoch);
    entry->second = std::max(entry->second, holder.epoch);
}

bool holder_fences::is_fenced(const incarnation& holder) const
{
    const auto found = epochs_.find(holder.node);
    return found != epochs_.end() && holder.epoch <= found->second;
}

} // namespace dotterelport::request
