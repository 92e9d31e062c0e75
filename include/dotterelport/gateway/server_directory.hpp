#ifndef DOTTERELPORT_GATEWAY_SERVER_DIRECTORY_HPP
#define DOTTERELPORT_GATEWAY_SERVER_DIRECTORY_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/net/endpoint.hpp"

namespace dotterelport::gateway {

/// Registration of a backend server.
struct backend_server {
    /// Identity of the server; usually new at each start.
    std::string id;
    std::string service;
    net::endpoint address;
    std::string failure_domain;
    /// Maximum number of requests that the server runs at the same time.
    std::size_t capacity = 1;
    /// The server finishes its requests and accepts no new ones.
    bool draining = false;
    /// Wall clock of the server at its start, in ms; distinguishes two starts under the same id.
    std::uint64_t started_ms = 0;

    bool operator==(const backend_server&) const = default;
};

/// Registered backend servers, updated by whole lists and by single changes.
///
/// Registrations expire while the store that holds them is unavailable. Registrations that are
/// missing after such an outage are kept for a grace period, in which running servers register
/// again.
class server_directory {
public:
    struct options {
        /// Time for which a registration that is missing after an outage is still used.
        milliseconds missing_grace{1'500};
    };

    /// Called with each server that was removed, or replaced by a new start under its id.
    using removal_handler = std::function<void(const backend_server& server)>;

    explicit server_directory(const options& settings, removal_handler on_removed = {});

    /// @brief Replaces the whole list of registrations.
    /// @param after_outage whether the store was unavailable shortly before
    void replace(const std::vector<backend_server>& servers, bool after_outage, milliseconds now);

    /// @brief Adds or changes a registration.
    void update(const backend_server& server);

    /// @brief Removes a registration, after the grace period if it follows an outage.
    /// @param after_outage whether the store was unavailable recently
    void remove(const std::string& id, bool after_outage, milliseconds now);

    /// @brief Records that a different server answers at a server's address: the recorded server
    /// gets no more requests, even while its registration still exists.
    void mark_replaced(const std::string& id);

    /// @brief Records that a server has stated that it leaves: it gets no more requests, even while
    /// its registration does not say so.
    /// @return whether this was not known
    bool mark_leaving(const std::string& id);

    /// @brief Removes registrations whose grace period has ended.
    void expire(milliseconds now);

    /// @brief Servers of a service that accept new requests, in order of their ids.
    [[nodiscard]] std::vector<const backend_server*> available(std::string_view service) const;

    /// @brief All servers that fulfil a condition.
    [[nodiscard]] std::vector<const backend_server*>
    matching(const std::function<bool(const backend_server&)>& condition) const;

    [[nodiscard]] const backend_server* find(const std::string& id) const;

    /// @brief Returns whether new requests may be sent to a server.
    [[nodiscard]] bool is_available(const std::string& id) const;

    [[nodiscard]] std::size_t size() const { return servers_.size(); }
    [[nodiscard]] bool has_list() const { return has_list_; }
    [[nodiscard]] json dump() const;

private:
    void forget(const std::string& id);
    [[nodiscard]] bool accepts_requests(const backend_server& server) const;

    options options_;
    removal_handler on_removed_;
    std::map<std::string, backend_server> servers_;
    /// Ids of each service's servers.
    std::map<std::string, std::set<std::string>, std::less<>> by_service_;
    /// End of the grace period of each registration that is missing since an outage.
    std::map<std::string, milliseconds> missing_;
    /// Servers at whose address a different server answers.
    std::set<std::string> replaced_;
    /// Servers that have stated that they leave.
    std::set<std::string> leaving_;
    bool has_list_ = false;
};

} // namespace dotterelport::gateway

#endif
