#include "dotterelport/base/verdict.hpp"

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport {
namespace {

constexpr enum_names<verdict, 3> names{{
    {verdict::not_run, "not_run"},
    {verdict::ran, "ran"},
    {verdict::may_have_run, "may_have_run"},
}};

} // namespace

std::string_view to_string(verdict value)
{
    return name_of(names, value);
}

std::optional<verdict> parse_verdict(std::string_view name)
{
    return value_of(names, name);
}

bool may_retry(verdict value, bool idempotent)
{
    return value == verdict::not_run || (value == verdict::may_have_run && idempotent);
}

} // namespace dotterelport
