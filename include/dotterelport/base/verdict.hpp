#ifndef DOTTERELPORT_BASE_VERDICT_HPP
#define DOTTERELPORT_BASE_VERDICT_HPP

#include <optional>
#include <string_view>

namespace dotterelport {

/// States whether a request may have run at a backend server.
enum class verdict {
    /// The request was not sent, or the agent refused it permanently.
    not_run,
    /// The backend server ran the request to completion.
    ran,
    /// The request was sent and its outcome is not known.
    may_have_run,
};

/// Header that carries the verdict to callers.
inline constexpr std::string_view verdict_header = "X-Dotterelport-Verdict";

/// @brief Wire name of a verdict.
std::string_view to_string(verdict value);

/// @brief Parses the wire name of a verdict.
std::optional<verdict> parse_verdict(std::string_view name);

/// @brief Returns whether a request with this verdict may be sent again.
/// @param idempotent whether running the request twice does no harm
bool may_retry(verdict value, bool idempotent);

} // namespace dotterelport

#endif
