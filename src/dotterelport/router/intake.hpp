#ifndef DOTTERELPORT_ROUTER_INTAKE_HPP
#define DOTTERELPORT_ROUTER_INTAKE_HPP

#include <random>

#include "checked_request.hpp"
#include "dotterelport/config/snapshot.hpp"
#include "dotterelport/net/http.hpp"

namespace dotterelport::router {

/// Maximum size of the body of a request from a caller.
inline constexpr std::size_t max_caller_body_bytes = 1U << 20U;

/// Path prefix of plain services; the name of the service and the path within it follow.
inline constexpr std::string_view services_prefix = "/v1/services/";

/// Request header with the caller's time limit in milliseconds.
inline constexpr std::string_view deadline_header = "X-Dotterelport-Deadline-Ms";

/// Request header with the sequence number of the first chunk wanted from a stream that is joined.
inline constexpr std::string_view offset_header = "X-Dotterelport-Offset";

/// Response header with the key of the request, which is generated if the caller sent none.
inline constexpr std::string_view request_key_header = "X-Dotterelport-Request-Key";

/// Input of the functions that check a request.
struct intake_context {
    const config::snapshot& configuration;
    const net::http_request& request;
    /// Current time since the process started.
    milliseconds now;
    /// Generates the keys of requests that have none.
    std::mt19937_64& random;
};

/// @brief Workspace to which the bearer key of a request belongs.
/// @throws caller_error
const config::workspace& authenticate(const config::snapshot& configuration,
                                      const net::http_request& request);

/// @brief Checks a request to /v1/chat/completions: authenticate, parse, authorise, key.
/// @throws caller_error
checked_request check_chat_request(const intake_context& context);

/// @brief Checks a request to a plain service: authenticate, parse, authorise, key.
/// @throws caller_error
checked_request check_service_call(const intake_context& context);

/// @brief Answer to GET /v1/models: the models that the workspace may use.
/// @throws caller_error
json list_models(const config::snapshot& configuration, const net::http_request& request);

/// @brief Checks whether the configuration still allows a request, and replaces its budget by the
/// one that the configuration assigns to it.
/// @throws caller_error
void authorise_again(const config::snapshot& configuration, checked_request& request);

} // namespace dotterelport::router

#endif
