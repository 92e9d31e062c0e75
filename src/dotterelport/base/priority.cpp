#include "dotterelport/base/priority.hpp"

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport {
namespace {

constexpr enum_names<priority, priority_count> names{{
    {priority::interactive, "interactive"},
    {priority::normal, "normal"},
    {priority::batch, "batch"},
}};

} // namespace

std::string_view to_string(priority value)
{
    return name_of(names, value);
}

std::optional<priority> parse_priority(std::string_view name)
{
    return value_of(names, name);
}

} // namespace dotterelport
