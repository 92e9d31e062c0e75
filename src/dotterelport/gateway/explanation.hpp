#ifndef DOTTERELPORT_GATEWAY_EXPLANATION_HPP
#define DOTTERELPORT_GATEWAY_EXPLANATION_HPP

#include <optional>
#include <string>
#include <vector>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/gateway/budget_broker.hpp"
#include "dotterelport/net/http.hpp"
#include "request_decisions.hpp"

namespace dotterelport::gateway {

/// A request that operators ask about.
struct explained_request {
    std::string method;
    std::string host;
    /// Path without the query.
    std::string path;
    /// Empty for a request without a key.
    std::string workspace;
    /// Parts of the prompt; the last one is the request's own, the others are shared.
    std::vector<routing::prompt_part> parts;
    tokens prompt_tokens = 0;
    tokens max_output_tokens = 0;
    /// Time for which the caller waits.
    std::optional<milliseconds> deadline;
};

/// Thrown for a route or a workspace that is not configured.
class unknown_item : public error {
public:
    using error::error;
};

/// Thrown for a query that has a missing or malformed parameter.
class invalid_query : public error {
public:
    using error::error;
};

/// @brief Reads the parameters of a query to the operators' server.
/// @throws invalid_query if a parameter is missing or malformed
explained_request parse_explained_request(const net::http_request& query);

/// @brief Reports where a request would be sent now, and why. Changes nothing.
/// @param catalogue configuration in force
/// @param is_overloaded whether this gateway refuses all requests at this moment
/// @throws unknown_item if the request has no route, or its workspace does not exist
json explain(const decision_context& context, const budget_broker& budgets,
             const service_catalogue& catalogue, const explained_request& request,
             bool is_overloaded, milliseconds now);

} // namespace dotterelport::gateway

#endif
