#include "dotterelport/gateway/server_directory.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/gateway/events.hpp"

namespace dotterelport::gateway {
namespace {

bool is_same_run(const backend_server& left, const backend_server& right)
{
    return left.started_ms == right.started_ms && left.address == right.address &&
           left.service == right.service;
}

/// @brief Whether a server started before another run under its id.
bool is_earlier_run(const backend_server& server, const backend_server& other)
{
    return server.started_ms != 0 && server.started_ms < other.started_ms;
}

void log_outdated(const backend_server& server, const backend_server& known,
                  bool awaits_confirmation)
{
    log(events::registration_outdated, {{"server", server.id},
                                        {"started_ms", server.started_ms},
                                        {"sequence", server.sequence},
                                        {"known_started_ms", known.started_ms},
                                        {"known_sequence", known.sequence},
                                        {"known_draining", known.draining},
                                        {"awaits_confirmation", awaits_confirmation}});
}

} // namespace

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
        record(server, source::list, now);
    }
    std::vector<std::string> removed;
    for (const auto& [id, server] : servers_) {
        if (listed.contains(id)) {
            continue;
        }
        if (after_outage && !server.draining && !unconfirmed_.contains(id)) {
            missing_.try_emplace(id, now + options_.missing_grace);
        } else if (!missing_.contains(id)) {
            removed.push_back(id);
        }
    }
    for (const auto& id : removed) {
        forget(id, now);
    }
}

void server_directory::update(const backend_server& server, milliseconds now)
{
    record(server, source::change, now);
}

void server_directory::record(const backend_server& server, source from, milliseconds now)
{
    missing_.erase(server.id);
    const auto found = servers_.find(server.id);
    if (found != servers_.end()) {
        if (is_same_run(found->second, server)) {
            renew(found->second, server, from, now);
            return;
        }
        forget(server.id, now);
    }
    add(server, from, now);
}

void server_directory::renew(backend_server& known, const backend_server& server, source from,
                             milliseconds now)
{
    const bool is_older = server.sequence < known.sequence;
    const bool reopens = known.draining && !server.draining && server.sequence <= known.sequence;
    // Without the time of its start, a smaller sequence may also be that of a new run.
    const bool may_be_new_run = is_older && server.started_ms == 0;
    if (from == source::list && server.sequence <= known.sequence &&
        unconfirmed_.contains(server.id)) {
        // The list may be of another copy, so that it is unknown how long the registration lasted.
        distrust(server, now);
    }
    if ((is_older || reopens) && !may_be_new_run) {
        log_outdated(server, known, false);
        return;
    }
    if (reopens) {
        log_outdated(server, known, true);
        distrust(server, now);
    } else if (from == source::change && !is_outdated(server, from, now)) {
        unconfirmed_.erase(server.id);
    }
    known = server;
}

void server_directory::add(const backend_server& server, source from, milliseconds now)
{
    by_service_[server.service].insert(server.id);
    servers_.emplace(server.id, server);
    const auto found = removed_.find(server.id);
    if (found == removed_.end()) {
        return;
    }
    const auto& [last, leaving, removed_at] = found->second;
    if (leaving && is_same_run(last, server)) {
        leaving_.insert(server.id);
    }
    if (is_outdated(server, from, now)) {
        log_outdated(server, last, true);
        distrust(server, now);
    }
}

bool server_directory::is_outdated(const backend_server& server, source from,
                                   milliseconds now) const
{
    const auto found = removed_.find(server.id);
    if (found == removed_.end()) {
        return false;
    }
    const auto& last = found->second.last;
    if (from == source::list) {
        // A server renews its registration without a change that a watch reports, so a larger
        // sequence in a list does not show that it registered after its removal.
        return now < suspect_until_ && (is_same_run(last, server) || is_earlier_run(server, last));
    }
    const bool reopens = last.draining && !server.draining;
    return is_same_run(last, server) && server.started_ms != 0 &&
           (server.sequence < last.sequence || (reopens && server.sequence == last.sequence));
}

void server_directory::distrust(const backend_server& server, milliseconds now)
{
    unconfirmed_[server.id] = now + options_.confirmation_time;
}

void server_directory::remove(const std::string& id, bool after_outage, milliseconds now)
{
    const auto* server = find(id);
    if (after_outage && server != nullptr && !server->draining && !unconfirmed_.contains(id)) {
        missing_.try_emplace(id, now + options_.missing_grace);
        return;
    }
    forget(id, now);
}

void server_directory::forget(const std::string& id, milliseconds now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    const backend_server server = std::move(found->second);
    remember(server, now);
    missing_.erase(id);
    replaced_.erase(id);
    leaving_.erase(id);
    unconfirmed_.erase(id);
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

void server_directory::remember(const backend_server& server, milliseconds now)
{
    removed_server entry{
        .last = server, .leaving = leaving_.contains(server.id), .removed_at = now};
    const auto found = removed_.find(server.id);
    if (found != removed_.end()) {
        // The registration of an unconfirmed server may be older than the one before.
        auto& before = found->second;
        if (is_earlier_run(server, before.last)) {
            before.removed_at = now;
            return;
        }
        if (is_same_run(server, before.last)) {
            entry.last.sequence = std::max(entry.last.sequence, before.last.sequence);
            entry.leaving = entry.leaving || before.leaving;
        }
    }
    removed_.insert_or_assign(server.id, std::move(entry));
    if (removed_.size() > options_.max_removed) {
        removed_.erase(std::min_element(removed_.begin(), removed_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.removed_at < right.second.removed_at;
                                        }));
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

std::string_view server_directory::unavailable_reason(const backend_server& server) const
{
    if (!evacuations_.is_known()) {
        return "evacuations_unknown";
    }
    if (evacuations_.contains(server.failure_domain)) {
        return "evacuated";
    }
    if (server.draining) {
        return "draining";
    }
    if (replaced_.contains(server.id)) {
        return "replaced";
    }
    if (leaving_.contains(server.id)) {
        return "leaving";
    }
    return unconfirmed_.contains(server.id) ? "unconfirmed" : "";
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
        forget(id, now);
    }
    std::erase_if(unconfirmed_, [now](const auto& item) { return now >= item.second; });
    std::erase_if(removed_, [&](const auto& item) {
        return now - item.second.removed_at > options_.removed_memory;
    });
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
                      {"unconfirmed", unconfirmed_.contains(id)},
                      {"missing_since_outage", missing_.contains(id)}};
    }
    return result;
}

} // namespace dotterelport::gateway
