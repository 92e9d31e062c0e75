#include "dotterelport/gateway/attempt_policy.hpp"

#include <array>

namespace dotterelport::gateway {
namespace {

/// A repeat with less time than this would only add load.
constexpr milliseconds least_time_for_repeat{30};

/// Connections tried for one request; the next failure is taken to lie on this side.
constexpr std::uint32_t max_failed_connects = 3;

bool may_send_again(const attempt_report& report, request::retry_budget& retries)
{
    if (report.timed_out || report.time_left < least_time_for_repeat ||
        report.sends >= report.max_sends || report.failed_connects >= max_failed_connects ||
        !may_retry(report.outcome, report.may_repeat)) {
        return false;
    }
    // The first send after failed connects is no repeat.
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
    return report_failure{report.timed_out ? gateway_timeout : bad_gateway};
}

std::string_view to_string(const attempt_decision& decision)
{
    constexpr std::array<std::string_view, 4> names{"send_again", "refuse_not_run",
                                                    "report_failure", "break_off"};
    return names[decision.index()];
}

} // namespace dotterelport::gateway
