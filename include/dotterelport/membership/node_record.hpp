#ifndef DOTTERELPORT_MEMBERSHIP_NODE_RECORD_HPP
#define DOTTERELPORT_MEMBERSHIP_NODE_RECORD_HPP

#include <set>
#include <string>
#include <string_view>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/net/endpoint.hpp"

namespace dotterelport::membership {

/// Role of a node.
enum class node_role {
    router,
    agent,
};

/// State of a node's record in the platform. The state of a record only advances in this order.
enum class node_state {
    live,
    leaving,
    /// Another router is closing this incarnation's grants.
    closing,
    /// This incarnation has ended and none of its grants is open.
    closed,
};

/// @brief Wire name of a state.
std::string_view to_string(node_state value);

/// @brief Wire name of a role.
std::string_view to_string(node_role value);

/// Record of a node in the platform, object "node/<name>".
struct node_record {
    incarnation id;
    node_role role = node_role::router;
    node_state state = node_state::live;
    std::string vm;
    std::string region;
    std::string failure_domain;
    /// Agents only: the service of the backend server.
    std::string service;
    net::endpoint peer_address;
    /// Routers only: agent incarnations that may run work under this incarnation's grants.
    std::set<incarnation> agents;
    /// Random value of the process that registered; distinguishes its writes from those of another
    /// process with the same name.
    std::string registration_token;
};

/// Prefix of the objects that hold node records.
inline constexpr std::string_view node_prefix = "node/";

/// @brief Object that holds the record of a node's current incarnation.
std::string node_key(const std::string& node);

/// @brief Object that holds the record of an earlier incarnation of a router until its grants are
/// closed.
std::string earlier_incarnation_key(const incarnation& earlier);

json to_json(const node_record& value);

/// @throws format_error if the text is not a node record
node_record parse_node_record(const std::string& text);

} // namespace dotterelport::membership

#endif
