#include "dotterelport/standin/vm_list.hpp"

namespace dotterelport::standin {

void vm_list::set(const std::string& vm, std::optional<object_store::vm_state> state,
                  milliseconds now)
{
    pending_.push_back({now + lag_, vm, state});
}

object_store::vm_listing vm_list::visible(milliseconds now)
{
    auto due = pending_.begin();
    for (; due != pending_.end() && due->visible_at <= now; ++due) {
        if (due->state) {
            visible_list_.vms.insert_or_assign(due->vm, *due->state);
        } else {
            visible_list_.vms.erase(due->vm);
        }
    }
    pending_.erase(pending_.begin(), due);
    return visible_list_;
}

} // namespace dotterelport::standin
