#include "dotterelport/net/buffer_budget.hpp"

#include <algorithm>

namespace dotterelport::net {

std::size_t buffer_budget::limit() const
{
    const std::size_t free = limits_.total - std::min(limits_.total, used_);
    return std::max(limits_.always, std::min(limits_.per_answer, free / 2));
}

buffer_share::~buffer_share()
{
    budget_->used_ -= bytes_;
}

bool buffer_share::resize(std::size_t bytes)
{
    if (bytes > bytes_ && bytes > budget_->limit()) {
        return false;
    }
    budget_->used_ = budget_->used_ - bytes_ + bytes;
    bytes_ = bytes;
    return true;
}

} // namespace dotterelport::net
