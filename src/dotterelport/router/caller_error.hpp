#ifndef DOTTERELPORT_ROUTER_CALLER_ERROR_HPP
#define DOTTERELPORT_ROUTER_CALLER_ERROR_HPP

#include <string>
#include <string_view>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/verdict.hpp"
#include "dotterelport/net/http.hpp"

namespace dotterelport::router {

/// Codes of the errors that callers receive.
enum class error_code {
    invalid_request,
    invalid_key,
    budget_exhausted,
    workspace_not_allowed,
    unknown_model,
    unknown_route,
    replay_gone,
    body_too_large,
    key_reused,
    quarantined,
    busy,
    rate_limited,
    backend_crashed,
    backend_error,
    budget_unavailable,
    platform_unavailable,
    not_ready,
    leaving,
    deadline,
};

/// @brief Name of a code on the wire.
std::string_view to_string(error_code code);

/// @brief HTTP status of a code.
int status_of(error_code code);

/// Error that a caller receives. The stages that check a request throw it.
class caller_error : public error {
public:
    caller_error(error_code code, const std::string& message,
                 dotterelport::verdict outcome = dotterelport::verdict::not_run)
        : error(message), code_(code), verdict_(outcome)
    {}

    [[nodiscard]] error_code code() const { return code_; }
    [[nodiscard]] dotterelport::verdict verdict() const { return verdict_; }

private:
    error_code code_;
    dotterelport::verdict verdict_;
};

/// @brief Body of an error answer in the format of the chat-completions protocol.
json to_json(const caller_error& failure);

/// @brief Headers of an error answer: content type, verdict and, for temporary errors, Retry-After.
net::header_list headers_of(const caller_error& failure);

} // namespace dotterelport::router

#endif
