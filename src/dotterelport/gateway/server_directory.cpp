#include "dotterelport/gateway/server_directory.hpp"

#include <utility>

namespace dotterelport::gateway {

server_directory::server_directory(const options& settings, removal_handler on_removed)
    : options_(settings), on_removed_(std::move(on_removed))
{}

void server_directory::replace(const std::vector<backend_server>& servers, bool after_outage,
                               milliseconds now)
{
    has_list_ = true;
    std::set<std::string> listed;
    for (const auto& server : servers) {
        listed.insert(server.id);
        update(server);
    }
    std::vector<std::string> removed;
    for (const auto& [id, server] : servers_) {
        if (listed.contains(id)) {
            continue;
        }
        if (after_outage && !server.draining) {
            missing_.try_emplace(id, now + options_.missing_grace);
        } else if (!missing_.contains(id)) {
            removed.push_back(id);
        }
    }
    for (const auto& id : removed) {
        forget(id);
    }
}

void server_directory::update(const backend_server& server)
{
    missing_.erase(server.id);
    const auto found = servers_.find(server.id);
    if (found != servers_.end()) {
        const bool is_same_run = found->second.started_ms == server.started_ms &&
                                 found->second.address == server.address &&
                                 found->second.service == server.service;
        if (is_same_run) {
            found->second = server;
            return;
        }
        forget(server.id);
    }
    by_service_[server.service].insert(server.id);
    servers_.emplace(server.id, server);
}

void server_directory::remove(const std::string& id, bool after_outage, milliseconds now)
{
    const auto* server = find(id);
    if (after_outage && server != nullptr && !server->draining) {
        missing_.try_emplace(id, now + options_.missing_grace);
        return;
    }
    forget(id);
}

void server_directory::forget(const std::string& id)
{
    missing_.erase(id);
    replaced_.erase(id);
    leaving_.erase(id);
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    const backend_server server = std::move(found->second);
    servers_.erase(found);
    const auto service_ids = by_service_.find(server.service);
    service_ids->second.erase(id);
    if (service_ids->second.empty()) {
        by_service_.erase(service_ids);
    }
    if (on_removed_) {
        on_removed_(server);
    }
}

void server_directory::mark_replaced(const std::string& id)
{
    if (servers_.contains(id)) {
        replaced_.insert(id);
    }
}

bool server_directory::mark_leaving(const std::string& id)
{
    const auto* server = find(id);
    return server != nullptr && !server->draining && leaving_.insert(id).second;
}

bool server_directory::accepts_requests(const backend_server& server) const
{
    return !server.draining && !replaced_.contains(server.id) && !leaving_.contains(server.id);
}

void server_directory::expire(milliseconds now)
{
    std::vector<std::string> expired;
    for (const auto& [id, end] : missing_) {
        if (now >= end) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        forget(id);
    }
}

std::vector<const backend_server*> server_directory::available(std::string_view service) const
{
    std::vector<const backend_server*> result;
    const auto found = by_service_.find(service);
    if (found == by_service_.end()) {
        return result;
    }
    for (const auto& id : found->second) {
        const auto& server = servers_.at(id);
        if (accepts_requests(server)) {
            result.push_back(&server);
        }
    }
    return result;
}

std::vector<const backend_server*>
server_directory::matching(const std::function<bool(const backend_server&)>& condition) const
{
    std::vector<const backend_server*> result;
    for (const auto& [id, server] : servers_) {
        if (condition(server)) {
            result.push_back(&server);
        }
    }
    return result;
}

const backend_server* server_directory::find(const std::string& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

bool server_directory::is_available(const std::string& id) const
{
    const auto* server = find(id);
    return server != nullptr && accepts_requests(*server);
}

json server_directory::dump() const
{
    json result = json::object();
    for (const auto& [id, server] : servers_) {
        result[id] = {{"service", server.service},
                      {"address", net::to_string(server.address)},
                      {"failure_domain", server.failure_domain},
                      {"draining", server.draining},
                      {"leaving", leaving_.contains(id)},
                      {"missing_since_outage", missing_.contains(id)}};
    }
    return result;
}

} // namespace dotterelport::gateway
