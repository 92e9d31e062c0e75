#ifndef DOTTERELPORT_ROUTER_NODE_POLLER_HPP
#define DOTTERELPORT_ROUTER_NODE_POLLER_HPP

#include "agent_pool.hpp"
#include "dotterelport/net/rpc.hpp"

namespace dotterelport::router {

/// Polls other nodes periodically: agents for their load, and the routers that this node has to
/// probe for whether they are alive.
class node_poller {
public:
    node_poller(net::event_loop& loop, net::rpc_client& rpc, membership::directory& nodes,
                agent_pool& agents);

private:
    void poll_agents();
    void poll(const membership::node_record& node);
    void receive_status(const membership::node_record& node, const net::rpc_result& result);

    net::rpc_client& rpc_;
    membership::directory& nodes_;
    agent_pool& agents_;
    net::periodic_timer agents_timer_;
    net::periodic_timer routers_timer_;
};

} // namespace dotterelport::router

#endif
