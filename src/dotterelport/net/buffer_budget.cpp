#include "dotterelport/net/buffer_budget.hpp"

#include <algorithm>
#include <utility>

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

bool buffer_share::append(std::string& text, std::string_view data)
{
    const std::size_t size = text.size() + data.size();
    if (size > text.capacity()) {
        const std::size_t capacity =
            std::max(size, std::min(text.capacity() * 2, budget_->limit()));
        if (!resize(capacity)) {
            return false;
        }
        // reserve() of a text with content may allocate twice its old capacity.
        std::string grown;
        grown.reserve(capacity);
        grown.append(text);
        text = std::move(grown);
    }
    text.append(data);
    return true;
}

} // namespace dotterelport::net
