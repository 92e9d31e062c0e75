#ifndef DOTTERELPORT_GATEWAY_GATEWAY_HPP
#define DOTTERELPORT_GATEWAY_GATEWAY_HPP

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/gateway/peer_link.hpp"
#include "dotterelport/gateway/protocol.hpp"
#include "dotterelport/gateway/server_directory.hpp"
#include "dotterelport/gateway/service_catalogue.hpp"
#include "dotterelport/gateway/settings.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/object_store/conditional_objects.hpp"
#include "dotterelport/object_store/object_feed.hpp"

namespace dotterelport::gateway {

/// Router that sends requests directly to backend servers, which register themselves. The only
/// state that gateways must share is in the object store: each gateway serves as long as it has a
/// configuration and a list of servers, whether or not it can reach the others.
class gateway {
public:
    /// @param self incarnation that was never used before; owns the grants of this process
    /// @throws error if an address cannot be bound
    gateway(net::event_loop& loop, const settings& initial_settings, const protocol& wire,
            object_store::conditional_objects& objects, const incarnation& self);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// @brief Puts a configuration in force if it is newer than the current one.
    void apply(std::shared_ptr<const service_catalogue> catalogue);
    [[nodiscard]] bool has_configuration() const;

    /// @brief Replaces the whole list of registered servers.
    void replace_servers(const std::vector<backend_server>& servers, bool after_outage);
    void update_server(const backend_server& server);
    void remove_server(const std::string& id, bool after_outage);

    /// @brief Registered model engines, including those that are draining.
    [[nodiscard]] std::vector<const backend_server*> model_servers() const;

    /// @brief Adds another gateway or changes its description.
    void set_peer(const peer_description& description);

    /// @brief Records that all registered gateways were passed to set_peer(). Before, no requests
    /// are sent to cold servers, as the number of gateways that share them is unknown.
    void peers_listed();

    /// @brief Replaces the failure domains that operators have evacuated.
    void replace_evacuations(const std::set<std::string>& domains);
    void begin_evacuation(const std::string& domain);
    void end_evacuation(const std::string& domain);

    /// @brief Lets the gateways of a large fleet share what they read from the store. The feed must
    /// exist as long as the event loop runs.
    void share(object_store::object_feed& feed);

    /// @brief Description under which the other gateways know this one.
    [[nodiscard]] peer_description self_description() const;

    /// @brief Records that the store is in a new era: what it acknowledged in an earlier one may be
    /// gone, and is written again as far as this gateway knows it.
    void observe_era(object_store::store_era era);

    /// @brief Applies the settings that may change while the process runs.
    void reconfigure(const settings& new_settings);

    /// @brief Finishes the requests in progress and returns the grants.
    /// @param stopped called when the process may exit
    void drain(std::function<void()> stopped);

    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] net::endpoint callers_address() const;
    [[nodiscard]] net::endpoint operators_address() const;
    [[nodiscard]] json dump() const;

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace dotterelport::gateway

#endif
