#ifndef DOTTERELPORT_CONFIG_DOCUMENT_HPP
#define DOTTERELPORT_CONFIG_DOCUMENT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/priority.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::config {

/// Kind of a service.
enum class service_kind {
    /// Model engines, reached by the chat-completions protocol.
    model,
    /// A plain HTTP service.
    application,
};

/// A call that an application accepts.
struct route {
    std::string method;
    /// Exact path, or a prefix when it ends in "*".
    std::string path;
    bool idempotent = false;
    /// Overrides the priority of the workspace.
    std::optional<dotterelport::priority> priority;
};

/// A service behind the routers.
struct service {
    std::string name;
    service_kind kind = service_kind::model;
    std::vector<std::string> models;
    /// Limit and default for the tokens that one request may generate.
    tokens max_output_tokens = 0;
    /// Price of one call of an application.
    tokens tokens_per_call = 0;
    std::vector<route> routes;
    /// Path at which the application answers whether a call ran; "{key}" is replaced by the request
    /// key. Empty if there is none.
    std::string lookup_path;
};

/// Prepaid tokens of a workspace for some of its services.
struct budget {
    std::string name;
    /// Names of services; "*" covers all.
    std::vector<std::string> services;
    /// All tokens ever prepaid. A top-up raises this number.
    tokens prepaid = 0;
};

/// A customer of the fleet.
struct workspace {
    std::string name;
    std::vector<std::string> services;
    dotterelport::priority priority = dotterelport::priority::normal;
    /// SHA-256 of each bearer key, 64 hexadecimal digits.
    std::vector<std::string> key_hashes;
    std::vector<budget> budgets;
};

/// Settings of the fleet as a whole.
struct fleet_settings {
    std::uint32_t budget_shards = 4;
    /// Longest time from an outcome until its bill line is in the platform.
    milliseconds flush_interval{500};
};

/// A whole configuration as an operator writes it.
struct document {
    std::vector<service> services;
    std::vector<workspace> workspaces;
    fleet_settings settings;
};

/// @brief Parses and checks a configuration.
/// @param source file name or other origin for error messages
/// @throws format_error with the JSON path and what was expected
document parse_document(std::string_view text, const std::string& source);

/// @brief Canonical JSON form; parse_document() accepts it.
json to_json(const document& value);

} // namespace dotterelport::config

#endif
