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

/// A backend server that went down while it ran a request.
struct crash {
    /// Hash of the content.
    std::string digest;
    request_key key;
    std::uint32_t attempt = 1;
    /// Agent incarnation beside the backend server.
    std::string agent;
};

/// Keeps contents that crash backend servers away from further ones: counts crashes by content
/// digest, tells the other routers, and stores quarantined digests in the platform.
class crash_guard {
public:
    /// Crashes of backend servers after which a content is refused.
    static constexpr std::size_t crash_limit = 2;

    struct context {
        net::rpc_client& rpc;
        object_store::client& platform;
        /// Peers endpoints of the other live routers.
        std::function<std::vector<net::endpoint>()> other_routers;
    };

    explicit crash_guard(context environment) : context_(std::move(environment)) {}

    /// @brief Adds the method crash_report.
    void serve(net::rpc_server& server);

    /// @brief Reads the stored digests from the platform.
    void load();

    [[nodiscard]] bool is_quarantined(const std::string& digest) const;

    /// @brief Tells whether a key had an attempt that crashed.
    [[nodiscard]] bool had_attempt(const std::string& digest, const request_key& key) const;

    /// @brief Counts a crash and tells the other routers.
    /// @param done called once they have answered or the time for it has passed, so that a retry
    /// finds them informed
    void report(const crash& seen, const std::function<void()>& done);

    [[nodiscard]] json dump() const;

private:
    struct record {
        std::size_t crashes = 0;
        /// Crashes reported so far, so that a report that arrives twice counts once.
        std::set<std::string> reports;
        /// Time of the last crash that was counted, by agent incarnation.
        std::map<std::string, milliseconds> last_crash;
        std::set<request_key> keys;
        bool stored = false;
    };

    record& note(const crash& seen);
    void store(const std::string& digest, record& value);

    context context_;
    object_store::version revision_ = 0;
    std::unordered_map<std::string, record> records_;
};

} // namespace dotterelport::router

#endif
