#include "node_poller.hpp"

#include "events.hpp"

namespace dotterelport::router {
namespace {

/// Each poll asks one agent, so a router asks at most 10 agents per second. With about 700 bytes
/// per status this stays below the limit of 9 KB/s for control traffic, however many agents the
/// failure domain has.
constexpr milliseconds agent_poll_interval{100};
constexpr std::size_t agents_per_poll = 1;

constexpr milliseconds router_poll_interval{1'000};
constexpr milliseconds status_timeout{1'000};

} // namespace

node_poller::node_poller(net::event_loop& loop, net::rpc_client& rpc, membership::directory& nodes,
                         agent_pool& agents)
    : rpc_(rpc), nodes_(nodes), agents_(agents),
      agents_timer_(loop, agent_poll_interval, [this] { poll_agents(); }),
      routers_timer_(loop, router_poll_interval, [this] {
          // A node counts as silent once enough time has passed without contact. The directory does
          // not announce this, so the live agents are read periodically.
          agents_.update(nodes_.live_nodes(membership::node_role::agent));
          for (const auto& router : nodes_.routers_to_probe()) {
              poll(router);
          }
      })
{}

void node_poller::poll_agents()
{
    for (const auto& agent : agents_.due_for_status(steady_now(), agents_per_poll)) {
        poll(agent);
    }
}

void node_poller::poll(const membership::node_record& node)
{
    const auto parameters = node.role == membership::node_role::agent
                                ? agents_.status_parameters(node)
                                : json::object();
    rpc_.call(node.peer_address, "status", parameters, status_timeout,
              [this, node](const net::rpc_result& result) { receive_status(node, result); });
}

void node_poller::receive_status(const membership::node_record& node, const net::rpc_result& result)
{
    nodes_.report_contact(node.id.node, result.ok());
    if (!result.ok() || !result.value.is_object()) {
        return;
    }
    agents_.update_status(node.id, result.value);
    if (result.value.value("leaving", false) &&
        result.value.value("incarnation", to_string(node.id)) == to_string(node.id)) {
        log(events::agent_leaving, {{"agent", to_string(node.id)}});
        agents_.mark_leaving(node.id);
        nodes_.report_leaving(node.id.node);
    }
}

} // namespace dotterelport::router
