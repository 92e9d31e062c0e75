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

/// A backend server as it registered itself.
struct backend_server {
    /// Identity of this server; a start usually has a new one.
    std::string id;
    std::string service;
    net::endpoint address;
    std::string failure_domain;
    /// Requests that it runs at the same time.
    std::size_t capacity = 1;
    /// Finishes what it has and takes nothing new.
    bool draining = false;
    /// Wall clock of the server at its start, in ms; tells two starts under one id apart.
    std::uint64_t started_ms = 0;

    bool operator==(const backend_server&) const = default;
};

/// Backend servers that requests may be sent to. Takes whole lists and single changes.
///
/// The registrations lapse while the store that holds them is away. Those that are missing when it
/// is back are kept for a grace period, as living servers register again within it.
class server_directory {
public:
    struct options {
        /// Time for which a registration that is missing after an outage is still believed.
        milliseconds missing_grace{1'500};
    };

    /// Told about servers that left or were replaced, before they are forgotten.
    using removal_handler = std::function<void(const backend_server& server)>;

    explicit server_directory(const options& settings, removal_handler on_removed = {});

    /// @brief Takes the whole list of registrations.
    /// @param after_outage whether the store could not be read for a while before
    void replace(const std::vector<backend_server>& servers, bool after_outage, milliseconds now);

    /// @brief Takes a new or changed registration.
    void update(const backend_server& server);

    /// @brief Takes the removal of a registration.
    /// @param after_outage whether the store was away shortly before
    void remove(const std::string& id, bool after_outage, milliseconds now);

    /// @brief Records that another server answers at a server's address: it gets no more requests,
    /// whatever its registration says until it lapses.
    void mark_replaced(const std::string& id);

    /// @brief Forgets registrations whose grace period is over.
    void expire(milliseconds now);

    /// @brief Servers of a service that take new requests, in order of their ids.
    [[nodiscard]] std::vector<const backend_server*> available(std::string_view service) const;

    /// @brief All servers that fulfil a condition.
    [[nodiscard]] std::vector<const backend_server*>
    matching(const std::function<bool(const backend_server&)>& condition) const;

    [[nodiscard]] const backend_server* find(const std::string& id) const;

    /// @brief Tells whether a server may be sent new work.
    [[nodiscard]] bool is_available(const std::string& id) const;

    [[nodiscard]] std::size_t size() const { return servers_.size(); }
    [[nodiscard]] bool has_list() const { return has_list_; }
    [[nodiscard]] json dump() const;

private:
    void forget(const std::string& id);

    options options_;
    removal_handler on_removed_;
    std::map<std::string, backend_server> servers_;
    /// Ids of each service's servers.
    std::map<std::string, std::set<std::string>, std::less<>> by_service_;
    /// Registrations that are missing since an outage, with the end of their grace period.
    std::map<std::string, milliseconds> missing_;
    /// Servers at whose address another one answers.
    std::set<std::string> replaced_;
    bool has_list_ = false;
};

} // namespace dotterelport::gateway

#endif
