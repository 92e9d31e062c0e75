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
#include "dotterelport/gateway/domain_evacuations.hpp"
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
    /// Orders the registrations of one run of the server: a newer one never has a smaller number.
    std::uint64_t sequence = 0;
    /// Time for which the server accepts few requests because it has just started, counted from
    /// when it wrote the registration.
    milliseconds cold_time_left{0};

    bool operator==(const backend_server&) const = default;
};

/// Registered backend servers, updated by whole lists and by single changes.
///
/// Registrations expire while the store that holds them is unavailable. Registrations that are
/// missing after such an outage are kept for a grace period, in which running servers register
/// again.
///
/// The store may come back from an older copy. It then lists servers as ready that have reported
/// draining since, or have left. Only lists hold such registrations: changes are made after the
/// return. The registrations of a server have an order, by start and sequence, and an older one
/// does not undo a newer one. A listed server that is known to have left is unconfirmed, and gets
/// no requests until it registers again, or its registration has lasted longer than that of a dead
/// server would.
class server_directory {
public:
    struct options {
        /// Time for which a registration that is missing after an outage is still used.
        milliseconds missing_grace{1'500};
        /// Time for which an unconfirmed registration is not used; longer than the platform keeps
        /// the registration of a server that no longer renews it.
        milliseconds confirmation_time{6'000};
        /// Time for which removed servers are remembered; longer than the age of a copy that the
        /// store comes back from.
        milliseconds removed_memory{60'000};
        /// Number of removed servers that are remembered.
        std::size_t max_removed = 1'000;
    };

    /// Called with each server that was removed, or replaced by a new start under its id.
    using removal_handler = std::function<void(const backend_server& server)>;

    explicit server_directory(const options& settings, removal_handler on_removed = {});

    /// @brief Replaces the whole list of registrations.
    /// @param after_outage whether the store was unavailable shortly before
    void replace(const std::vector<backend_server>& servers, bool after_outage, milliseconds now);

    /// @brief Records that the store is in a new era: the lists that follow may be of an older
    /// copy.
    void begin_era(milliseconds now) { suspect_until_ = now + options_.confirmation_time; }

    /// @brief Adds or changes a registration.
    void update(const backend_server& server, milliseconds now);

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

    /// @brief Failure domains whose servers get no requests.
    [[nodiscard]] domain_evacuations& evacuations() { return evacuations_; }
    [[nodiscard]] const domain_evacuations& evacuations() const { return evacuations_; }

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
    /// @brief Why a registered server gets no new requests; empty if it gets them.
    [[nodiscard]] std::string_view unavailable_reason(const backend_server& server) const;

    /// @brief Number of removed servers that are remembered.
    [[nodiscard]] std::size_t removed_count() const { return removed_.size(); }
    [[nodiscard]] bool has_list() const { return has_list_; }
    [[nodiscard]] json dump() const;

private:
    /// Where a registration was read.
    enum class source {
        list,
        change,
    };

    /// A server that was removed.
    struct removed_server {
        backend_server last;
        bool leaving = false;
        milliseconds removed_at{0};
    };

    void record(const backend_server& server, source from, milliseconds now);
    /// @brief Changes the registration of a known run of a server.
    void renew(backend_server& known, const backend_server& server, source from, milliseconds now);
    /// @brief Adds a run of a server that is not registered.
    void add(const backend_server& server, source from, milliseconds now);
    /// @brief Whether a registration may be older than what is known of a removed server.
    [[nodiscard]] bool is_outdated(const backend_server& server, source from,
                                   milliseconds now) const;
    void distrust(const backend_server& server, milliseconds now);
    void forget(const std::string& id, milliseconds now);
    void remember(const backend_server& server, milliseconds now);
    [[nodiscard]] bool accepts_requests(const backend_server& server) const
    {
        return unavailable_reason(server).empty();
    }

    options options_;
    domain_evacuations evacuations_;
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
    /// End of the time for which each unconfirmed registration is not used.
    std::map<std::string, milliseconds> unconfirmed_;
    std::map<std::string, removed_server> removed_;
    /// End of the time in which lists may have registrations of servers that have left.
    milliseconds suspect_until_{0};
    bool has_list_ = false;
};

} // namespace dotterelport::gateway

#endif
