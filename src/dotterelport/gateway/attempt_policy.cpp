#include "dotterelport/gateway/attempt_policy.hpp"

#include <array>

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::gateway {
namespace {

/// A retry with less time left than this would only add load.
constexpr milliseconds min_time_for_retry{30};

/// Failed connections after which a request is given up: that many failures are attributed to this
/// gateway's own network rather than to the servers.
constexpr std::uint32_t max_failed_connects = 3;

constexpr enum_names<attempt_end, 19> attempt_end_names{{
    {attempt_end::answered, "answered"},
    {attempt_end::server_error, "server_error"},
    {attempt_end::server_refused, "server_refused"},
    {attempt_end::server_replaced, "server_replaced"},
    {attempt_end::not_connected, "not_connected"},
    {attempt_end::reset, "reset"},
    {attempt_end::truncated, "truncated"},
    {attempt_end::malformed, "malformed"},
    {attempt_end::too_large, "too_large"},
    {attempt_end::unsigned_answer, "unsigned_answer"},
    {attempt_end::unclear, "unclear"},
    {attempt_end::stalled, "stalled"},
    {attempt_end::timeout, "timeout"},
    {attempt_end::caller_gone, "caller_gone"},
    {attempt_end::superseded, "superseded"},
    {attempt_end::no_server, "no_server"},
    {attempt_end::servers_limited, "servers_limited"},
    {attempt_end::engines_full, "engines_full"},
    {attempt_end::quarantined, "quarantined"},
}};

bool may_send_again(const attempt_report& report, request::retry_budget& retries)
{
    if (report.end == attempt_end::timeout || report.end == attempt_end::no_server ||
        report.end == attempt_end::servers_limited || report.end == attempt_end::engines_full ||
        report.end == attempt_end::quarantined || report.time_left < min_time_for_retry ||
        report.sends >= report.max_sends || report.failed_connects >= max_failed_connects ||
        !may_retry(report.outcome, report.may_repeat)) {
        return false;
    }
    // Nothing was sent on failed connections, so the first send after them is not a retry.
    return report.sends == 0 || retries.try_retry();
}

} // namespace

attempt_decision decide_after_attempt(const attempt_report& report, request::retry_budget& retries)
{
    if (may_send_again(report, retries)) {
        return send_again{};
    }
    if (report.has_output) {
        return break_off{};
    }
    if (report.outcome == verdict::not_run) {
        return refuse_not_run{};
    }
    constexpr int bad_gateway = 502;
    constexpr int gateway_timeout = 504;
    return report_failure{report.end == attempt_end::timeout ? gateway_timeout : bad_gateway};
}

std::string_view to_string(attempt_end value)
{
    return name_of(attempt_end_names, value);
}

std::string_view to_string(const attempt_decision& decision)
{
    constexpr std::array<std::string_view, 4> names{"send_again", "refuse_not_run",
                                                    "report_failure", "break_off"};
    return names[decision.index()];
}

} // namespace dotterelport::gateway
