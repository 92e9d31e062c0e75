#include "dotterelport/gateway/service_catalogue.hpp"

#include <algorithm>
#include <cctype>

#include "dotterelport/base/enum_names.hpp"

namespace dotterelport::gateway {
namespace {

constexpr enum_names<route_kind, 3> kind_names{{
    {route_kind::idempotent, "idempotent"},
    {route_kind::non_idempotent, "non_idempotent"},
    {route_kind::streaming, "streaming"},
}};

/// Returns a host in the form used as a key of the routes: without the port, in lower case.
std::string normalize_host(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return result;
}

} // namespace

std::string_view to_string(route_kind value)
{
    return name_of(kind_names, value);
}

const route* service_catalogue::find_route(std::string_view host, std::string_view path) const
{
    const auto host_routes = routes_.find(normalize_host(host));
    if (host_routes == routes_.end()) {
        return nullptr;
    }
    // Every prefix ends in a slash, so only the path's own slashes can end one.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = host_routes->second.find(std::string(path.substr(0, end + 1)));
        if (found != host_routes->second.end()) {
            return found->second->services.empty() ? nullptr : found->second.get();
        }
    }
    return nullptr;
}

const service_definition* service_catalogue::find_service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

tokens service_catalogue::largest_cache() const
{
    tokens largest = 0;
    for (const auto& [name, service] : services_) {
        largest = std::max(largest, service.cache_capacity);
    }
    return largest;
}

const workspace* service_catalogue::find_workspace(std::string_view key) const
{
    const auto found = workspace_of_key_.find(std::string(key));
    return found == workspace_of_key_.end() ? nullptr : &workspaces_[found->second];
}

service_catalogue::builder& service_catalogue::builder::add(route value)
{
    return add(std::make_shared<const route>(std::move(value)));
}

service_catalogue::builder& service_catalogue::builder::add(std::shared_ptr<const route> value)
{
    ++catalogue_.route_count_;
    if (value->longest_pause > milliseconds{0}) {
        auto& limit = catalogue_.pause_limit_;
        limit =
            limit > milliseconds{0} ? std::min(limit, value->longest_pause) : value->longest_pause;
    }
    auto& host_routes = catalogue_.routes_[normalize_host(value->host)];
    const std::string prefix = value->path_prefix;
    host_routes.insert_or_assign(prefix, std::move(value));
    return *this;
}

service_catalogue::builder& service_catalogue::builder::add(service_definition value)
{
    const std::string name = value.name;
    catalogue_.services_.insert_or_assign(name, std::move(value));
    return *this;
}

service_catalogue::builder& service_catalogue::builder::add(workspace value)
{
    for (const auto& key : value.keys) {
        catalogue_.workspace_of_key_.insert_or_assign(key, catalogue_.workspaces_.size());
    }
    catalogue_.workspaces_.push_back(std::move(value));
    return require_keys();
}

service_catalogue::builder& service_catalogue::builder::require_keys()
{
    catalogue_.requires_keys_ = true;
    return *this;
}

service_catalogue::builder& service_catalogue::builder::set(const caller_limits& value)
{
    catalogue_.limits_ = value;
    return *this;
}

} // namespace dotterelport::gateway
