#ifndef DOTTERELPORT_STANDIN_VM_LIST_HPP
#define DOTTERELPORT_STANDIN_VM_LIST_HPP

#include <optional>
#include <string>
#include <vector>

#include "dotterelport/object_store/client.hpp"

namespace dotterelport::standin {

/// The platform's list of VMs, in which each change becomes visible only after a lag.
class vm_list {
public:
    explicit vm_list(milliseconds lag) : lag_(lag) {}

    /// @brief Changes the state of a VM.
    /// @param state nullopt if the VM is gone
    void set(const std::string& vm, std::optional<object_store::vm_state> state, milliseconds now);

    /// @brief The list as a caller of the platform sees it at the given time.
    object_store::vm_listing visible(milliseconds now);

private:
    struct change {
        milliseconds visible_at;
        std::string vm;
        std::optional<object_store::vm_state> state;
    };

    milliseconds lag_;
    std::vector<change> pending_;
    object_store::vm_listing visible_list_{.available = true, .vms = {}};
};

} // namespace dotterelport::standin

#endif
