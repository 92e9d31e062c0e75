#ifndef DOTTERELPORT_ROUTING_BALANCER_HPP
#define DOTTERELPORT_ROUTING_BALANCER_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/routing/load_view.hpp"
#include "dotterelport/routing/policy.hpp"
#include "dotterelport/routing/prefix_view.hpp"

namespace dotterelport::routing {

/// Chooses backend servers for one router by a policy, based on its views of load and caches.
/// Servers are identified by the node name of their agent.
class balancer {
public:
    struct settings {
        routing::policy policy = affinity_policy{};
        load_settings load;
        std::uint64_t seed = 1;
    };

    balancer();
    explicit balancer(const settings& values);

    /// @brief Updates the views from the members "load" and "cache" of an agent's status.
    void update_status(const std::string& server, const json& status, milliseconds now);
    void record_report(const std::string& server, const load_report& report, milliseconds now);

    /// @brief Deletes the state of a server that left, or whose next incarnation registered.
    void forget(const std::string& server);

    /// @brief Chooses one of the servers that can serve a request.
    /// @return nothing if there are no servers
    std::optional<std::string> choose(const choice_request& request,
                                      std::span<const std::string> servers, milliseconds now);

    /// @brief Records that a request is sent. Must be followed by one of finished(), failed() and
    /// cancelled().
    /// @param id number that is unique among this router's requests
    void sent(const std::string& server, std::uint64_t id, const choice_request& request,
              milliseconds now);
    void answered(const std::string& server, std::uint64_t id, milliseconds now);
    /// @param units tokens generated, or 1 for a call
    void finished(const std::string& server, std::uint64_t id, double units, milliseconds now);
    void failed(const std::string& server, std::uint64_t id, milliseconds now);
    void cancelled(const std::string& server, std::uint64_t id, milliseconds now);

    /// @brief Whether any server has free capacity for a request of a class. Lower classes leave
    /// part of each server's capacity free, so that interactive requests can start at once.
    [[nodiscard]] bool has_capacity(std::span<const std::string> servers, priority request_priority,
                                    milliseconds now) const;

    /// @brief Whether any server has free capacity for a request of normal class.
    [[nodiscard]] bool has_capacity(std::span<const std::string> servers, milliseconds now) const
    {
        return has_capacity(servers, priority::normal, now);
    }

    [[nodiscard]] const load_view& loads() const { return loads_; }
    [[nodiscard]] prefix_view& prefixes() { return prefixes_; }
    [[nodiscard]] json dump(milliseconds now) const;

private:
    policy policy_;
    load_view loads_;
    prefix_view prefixes_;
    random_generator random_;
};

} // namespace dotterelport::routing

#endif
