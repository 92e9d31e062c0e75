#ifndef DOTTERELPORT_GATEWAY_SERVER_STATEMENTS_HPP
#define DOTTERELPORT_GATEWAY_SERVER_STATEMENTS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/gateway/peer_link.hpp"
#include "dotterelport/gateway/protocol.hpp"
#include "dotterelport/gateway/server_directory.hpp"
#include "dotterelport/routing/server_limits.hpp"

namespace dotterelport::gateway {

/// What a gateway tells the others about a server.
struct statement_message {
    std::string server;
    /// Start of the server's run, as registered; the statements of one run say nothing about the
    /// next.
    std::uint64_t started_ms = 0;
    /// Requests per second from all gateways together; nothing if the server states no limit.
    std::optional<double> max_rate;
    bool leaving = false;
};

json to_json(const statement_message& message);

/// @throws json::exception if the document does not have the form of a statement message
statement_message parse_statement_message(const json& document);

/// Applies what servers state about themselves in their answers, and tells the other gateways.
/// A lost message only means that a gateway learns the same from the next answer that it gets.
class server_statements {
public:
    server_statements(peer_link& link, server_directory& servers);

    /// @brief Applies what an answer states.
    /// @param started_ms start of the server's run to which the request was sent
    void received(const std::string& server, std::uint64_t started_ms,
                  const server_statement& statement);

    /// @brief Time until a request may be sent to a server; 0 if it may be sent now.
    [[nodiscard]] milliseconds time_until_permitted(const std::string& server) const;
    void sent(const std::string& server);
    /// @brief Returns whether a server states a limit.
    [[nodiscard]] bool is_limited(const std::string& server) const
    {
        return !has_restarted(server) && limits_.rate(server).has_value();
    }

    /// @brief Number of servers that are limited because they have started recently.
    [[nodiscard]] std::size_t cold_count() const { return limits_.temporary_count(steady_now()); }

    /// @brief Sets the number of gateways that share the servers' limits.
    void set_gateway_count(std::size_t count) { limits_.set_router_count(count); }

    /// @brief Sets the gateways that share what cold servers accept, including this one.
    void set_fleet(std::vector<std::string> gateways)
    {
        limits_.set_fleet(link_.node(), std::move(gateways));
    }

    /// @brief Limits the requests to a server that has started recently, or may have.
    /// @param rate requests per second that it accepts from all gateways together
    /// @param reason what shows it, for the log
    void limit_cold(const std::string& server, double rate, milliseconds remaining,
                    std::string_view reason);

    /// @brief Returns whether a server is limited because it has started recently.
    [[nodiscard]] bool is_cold(const std::string& server) const
    {
        return limits_.has_temporary_rate(server, steady_now());
    }
    /// @brief Records that a server is no longer registered. What it stated stays in force for a
    /// while: its registration may only have expired in an outage of the store.
    void removed(const std::string& server, std::uint64_t started_ms, milliseconds now);
    /// @brief Forgets what servers stated that stay removed or have started again.
    void expire(milliseconds now);
    [[nodiscard]] json dump() const;

private:
    void receive(const peer_message& message);
    /// @return whether this was not known
    bool apply(const statement_message& message, const std::string& reported_by);

    /// @brief Returns whether a server has started again since it was removed, so that what is
    /// known was stated by its previous run.
    [[nodiscard]] bool has_restarted(const std::string& server) const;
    /// @brief Ends the removal of a server that is registered again.
    void end_removal(const std::string& server);

    struct removed_server {
        std::uint64_t started_ms = 0;
        milliseconds removed_at{0};
    };

    peer_link& link_;
    server_directory& servers_;
    routing::server_limits limits_;
    std::map<std::string, removed_server> removed_;
};

} // namespace dotterelport::gateway

#endif
