#ifndef DOTTERELPORT_NET_RPC_HPP
#define DOTTERELPORT_NET_RPC_HPP

#include <functional>
#include <memory>
#include <string>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/http_server.hpp"

namespace dotterelport::net {

/// Thrown by an RPC method to answer with an error.
class rpc_error : public error {
public:
    /// @param reason short name that the calling process can act on, such as "wrong_incarnation"
    explicit rpc_error(const std::string& reason) : error(reason) {}
};

/// Path on the peers port that serves JSON-RPC 2.0.
inline constexpr const char* rpc_path = "/rpc";

/// Serves JSON-RPC 2.0 on an HTTP server, at rpc_path. Parameters are always an object.
class rpc_server {
public:
    using method = std::function<json(const json& parameters)>;
    using reply = std::function<void(const json& result)>;
    using deferred_method = std::function<void(const json& parameters, reply done)>;

    explicit rpc_server(http_server& server);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// @brief Adds a method that answers at once; served through libjsonrpccpp.
    void add(const std::string& name, method function);

    /// @brief Adds a method that may answer later, which libjsonrpccpp cannot do.
    void add_deferred(const std::string& name, deferred_method function);

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

/// Result of an RPC.
struct rpc_result {
    enum class status {
        success,
        /// Nothing was sent.
        not_sent,
        /// The method may have run; no valid answer arrived.
        unknown,
        /// The method answered with an error.
        refused,
    };

    status outcome = status::not_sent;
    /// Set on success.
    json value;
    /// Reason if refused, otherwise a description for logs.
    std::string message;

    [[nodiscard]] bool ok() const { return outcome == status::success; }
};

/// Calls JSON-RPC 2.0 methods of other processes.
class rpc_client {
public:
    explicit rpc_client(http_client& client) : client_(client) {}

    /// @brief Calls a method.
    /// @param timeout limit for the whole call
    void call(const endpoint& to, const std::string& method, const json& parameters,
              milliseconds timeout, std::function<void(const rpc_result&)> done);

private:
    http_client& client_;
};

} // namespace dotterelport::net

#endif
