#ifndef DOTTERELPORT_CONFIG_DIFF_HPP
#define DOTTERELPORT_CONFIG_DIFF_HPP

#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/config/document.hpp"

namespace dotterelport::config {

/// How an element of a configuration differs.
enum class change_kind {
    added,
    removed,
    changed,
};

std::string_view to_string(change_kind value);

/// A difference between two configurations.
struct change {
    change_kind kind = change_kind::changed;
    /// "service", "workspace", "budget" or "settings".
    std::string element;
    std::string name;
    /// Null if added.
    json before;
    /// Null if removed.
    json after;
};

/// @brief Lists the differences between two configurations by element and name. Budgets are listed
/// as elements of their own that name their workspace, and are left out of the workspace.
std::vector<change> diff(const document& before, const document& after);

/// @brief Describes a change in one line per member that differs.
std::string describe(const change& value);

} // namespace dotterelport::config

#endif
