#ifndef DOTTERELPORT_ROUTER_INTAKE_HPP
#define DOTTERELPORT_ROUTER_INTAKE_HPP

#include <random>

#include "dotterelport/config/snapshot.hpp"
#include "dotterelport/net/http.hpp"
#include "job.hpp"

namespace dotterelport::router {

/// Largest request body of a caller.
inline constexpr std::size_t max_caller_body_bytes = 1U << 20U;

/// Start of the paths of plain services, followed by the name of the service and its path.
inline constexpr std::string_view services_prefix = "/v1/services/";

/// Request header with a caller's own limit in milliseconds.
inline constexpr std::string_view deadline_header = "X-Dotterelport-Deadline-Ms";

/// Request header with the sequence number of the first chunk wanted from a stream that is joined.
inline constexpr std::string_view offset_header = "X-Dotterelport-Offset";

/// Response header with the key in use, generated when the caller gave none.
inline constexpr std::string_view request_key_header = "X-Dotterelport-Request-Key";

/// What the checking stages work with.
struct intake_context {
    const config::snapshot& configuration;
    const net::http_request& request;
    /// Present time since the process started.
    milliseconds now;
    /// Draws keys for requests without one.
    std::mt19937_64& random;
};

/// @brief Workspace that a request's bearer key belongs to.
/// @throws caller_error
const config::workspace& authenticate(const config::snapshot& configuration,
                                      const net::http_request& request);

/// @brief Checks a request to /v1/chat/completions: authenticate, parse, authorise, key.
/// @throws caller_error
job take_chat(const intake_context& context);

/// @brief Checks a request to a plain service: authenticate, parse, authorise, key.
/// @throws caller_error
job take_call(const intake_context& context);

/// @brief Answer to GET /v1/models: the models that the workspace may reach.
/// @throws caller_error
json list_models(const config::snapshot& configuration, const net::http_request& request);

/// @brief Checks again, under a newer configuration, that a request may be sent, and charges it to
/// the budget that covers it now.
/// @throws caller_error
void authorise_again(const config::snapshot& configuration, job& request);

} // namespace dotterelport::router

#endif
