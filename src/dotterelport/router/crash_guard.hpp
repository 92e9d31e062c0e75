#ifndef DOTTERELPORT_ROUTER_CRASH_GUARD_HPP
#define DOTTERELPORT_ROUTER_CRASH_GUARD_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/net/rpc.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::router {

/// Crash of a backend server that was running a request.
struct crash {
    /// Hash of the content of the request.
    std::string digest;
    request_key key;
    std::uint32_t attempt = 1;
    /// Incarnation of the agent of the backend server.
    std::string agent;
};

/// Protects backend servers from request contents that crash them: counts crashes by content
/// digest, reports them to the other routers, and stores quarantined digests in the platform.
class crash_guard {
public:
    /// Number of backend server crashes after which a content is refused.
    static constexpr std::size_t crash_limit = 2;

    struct context {
        net::rpc_client& rpc;
        object_store::client& platform;
        /// Endpoints of the other live routers for peers.
        std::function<std::vector<net::endpoint>()> other_routers;
    };

    explicit crash_guard(context environment) : context_(std::move(environment)) {}

    /// @brief Adds the RPC method crash_report.
    void serve(net::rpc_server& server);

    /// @brief Reads the stored digests from the platform.
    void load();

    [[nodiscard]] bool is_quarantined(const std::string& digest) const;

    /// @brief Returns whether an attempt with this key crashed a backend server.
    [[nodiscard]] bool had_attempt(const std::string& digest, const request_key& key) const;

    /// @brief Counts a crash and reports it to the other routers.
    /// @param done called once the other routers have answered or timed out; a retry that starts
    /// then is checked against the new count at any router that answered
    void report(const crash& observed_crash, const std::function<void()>& done);

    [[nodiscard]] json dump() const;

private:
    struct record {
        std::size_t crashes = 0;
        /// Reports received so far, so that a duplicate report is not counted.
        std::set<std::string> reports;
        /// Time of the last counted crash, by agent incarnation.
        std::map<std::string, milliseconds> last_crash;
        std::set<request_key> keys;
        bool stored = false;
    };

    record& record_crash(const crash& observed_crash);
    void store(const std::string& digest, record& quarantined);

    context context_;
    object_store::version revision_ = 0;
    std::unordered_map<std::string, record> records_;
};

} // namespace dotterelport::router

#endif
