#ifndef DOTTERELPORT_GATEWAY_SERVICE_CATALOGUE_HPP
#define DOTTERELPORT_GATEWAY_SERVICE_CATALOGUE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::gateway {

/// Whether the requests of a route may run more than once.
enum class route_kind {
    /// A request may run more than once.
    idempotent,
    /// A request runs at most once.
    non_idempotent,
    /// The answer is a stream of events; a request runs at most once unless the route is resumable.
    streaming,
};

/// @brief Name of a route kind for logs.
std::string_view to_string(route_kind value);

/// Names of regions.
using region_list = std::vector<std::string>;

/// A service to which a route sends requests, with its share of them.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Rule that assigns requests to services by host and path.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    /// If empty, the route is closed: its requests match no other route and are refused.
    std::vector<weighted_service> services;
    /// Time limit for the complete answer to a request; 0 if the route has none.
    milliseconds timeout{0};
    /// Time within which callers expect the answer or the first event; 0 if the route has none.
    milliseconds target_latency{0};
    /// Streams: longest time between two events that callers accept; 0 if the route has none.
    milliseconds longest_pause{0};
    /// Maximum number of backend servers to which one request may be sent.
    std::uint32_t max_attempts = 1;
    /// 0 is the most urgent.
    int priority = 0;
    /// Callers need no key.
    bool anonymous = false;
    bool resumable = false;
    /// Regions whose backend servers may run the requests; any if there is no list.
    std::optional<region_list> regions = std::nullopt;

    /// @brief Returns whether a request may run more than once.
    [[nodiscard]] bool may_repeat() const
    {
        return kind == route_kind::idempotent || (kind == route_kind::streaming && resumable);
    }
};

/// Configured properties of the backend servers of a service.
struct service_definition {
    std::string name;
    std::string health_path;
    /// Maximum number of connections that a backend server accepts from all callers together.
    std::size_t max_connections = 0;
    /// Model engines only: memory for prompts and answers, in tokens; 0 for other services.
    tokens cache_capacity = 0;
    /// Model engines only: maximum number of requests in one batch.
    std::size_t batch_size = 0;
    /// Model engines only: tokens in one event of a stream.
    tokens tokens_per_event = 1;
    /// Requests per second that a backend server accepts from all gateways together while it is
    /// cold; 0 if it needs no such limit.
    double cold_rate = 0;
    /// Time for which a backend server is cold after its start.
    milliseconds cold_time{0};
    /// The configuration defines the service in a way that cannot be read; its requests are
    /// refused.
    bool is_closed = false;
};

/// A workspace with its keys and its prepaid tokens.
struct workspace {
    std::string name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<int> priority;
    /// Total number of tokens that the workspace may use; empty if it is unlimited.
    std::optional<tokens> prepaid;
    /// Regions whose backend servers may run the workspace's requests; any if there is no list.
    std::optional<region_list> regions = std::nullopt;
};

/// Limits on what a caller may send and how long it may take.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4U << 20U;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// A complete configuration: routes, services, workspaces and limits. Immutable once built.
class service_catalogue {
public:
    class builder;

    [[nodiscard]] std::uint64_t version() const { return version_; }

    /// @brief Finds the route with the longest prefix of a path; nothing if that route is closed.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    [[nodiscard]] const service_definition* find_service(std::string_view name) const;

    /// @brief Largest prompt cache of any service, in tokens.
    [[nodiscard]] tokens largest_cache() const;

    /// @brief Shortest of the longest pauses that the routes of streams accept; 0 if none has one.
    [[nodiscard]] milliseconds pause_limit() const { return pause_limit_; }

    /// @brief Finds the workspace that holds a key.
    [[nodiscard]] const workspace* find_workspace(std::string_view key) const;

    /// @brief Returns whether requests need the key of a workspace, except on anonymous routes.
    [[nodiscard]] bool requires_keys() const { return requires_keys_; }

    [[nodiscard]] const std::vector<workspace>& workspaces() const { return workspaces_; }
    [[nodiscard]] const caller_limits& limits() const { return limits_; }
    [[nodiscard]] std::size_t route_count() const { return route_count_; }

private:
    std::uint64_t version_ = 0;
    std::size_t route_count_ = 0;
    bool requires_keys_ = false;
    milliseconds pause_limit_{0};
    /// Routes by host and path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, std::shared_ptr<const route>>>
        routes_;
    std::map<std::string, service_definition, std::less<>> services_;
    std::vector<workspace> workspaces_;
    std::unordered_map<std::string, std::size_t> workspace_of_key_;
    caller_limits limits_;
};

/// Builds a service_catalogue.
class service_catalogue::builder {
public:
    explicit builder(std::uint64_t version) { catalogue_.version_ = version; }

    builder& add(route value);
    /// @brief Adds a route that another catalogue may have too.
    builder& add(std::shared_ptr<const route> value);
    builder& add(service_definition value);
    /// @brief Adds a workspace, which implies require_keys().
    builder& add(workspace value);
    /// @brief Makes requests need a key, also if no workspace is added.
    builder& require_keys();
    builder& set(const caller_limits& value);

    [[nodiscard]] service_catalogue build() { return std::move(catalogue_); }

private:
    service_catalogue catalogue_;
};

} // namespace dotterelport::gateway

#endif
