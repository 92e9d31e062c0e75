#ifndef DOTTERELPORT_ROUTER_RESERVATION_FLOW_HPP
#define DOTTERELPORT_ROUTER_RESERVATION_FLOW_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "budget_service_impl.hpp"

namespace dotterelport::router {

/// One reservation at the owner of a shard. Looks up a caller's key in the other failure domains,
/// makes sure that the agent is in this router's record, and tries to reserve the tokens in this
/// order: own grant, ledger, loan from a peer, recall of the peers' unused grants.
class reservation_flow : public std::enable_shared_from_this<reservation_flow> {
public:
    reservation_flow(budget_service::impl& service, std::shared_ptr<shard_owner> owner,
                     reserve_message message, std::function<void(const reserve_result&)> done);

    void start();

private:
    /// Answers to a call that is sent to all peers at the same time.
    struct peer_answers {
        std::size_t pending = 0;
        /// The flow has continued; later answers are ignored.
        bool completed = false;
    };

    [[nodiscard]] reserve_result own_result(reserve_status status, const incarnation& agent) const;
    void look_up_at_peers();
    void ensure_agent();
    void ask_ledger(bool after_recall);
    void handle_ledger_answer(owner_answer answer, bool after_recall);
    void lend_from_own_grant();
    void borrow(std::size_t next_peer);
    void recall();
    void refuse();
    void finish_known();
    void finish(const reserve_result& result);

    std::shared_ptr<budget_service::impl> service_;
    std::shared_ptr<shard_owner> owner_;
    reserve_message message_;
    std::function<void(const reserve_result&)> done_;
    std::vector<membership::node_record> peers_;
    bool ledger_reached_ = false;
    /// Holders whose unused tokens were considered: this router and peers that answered a recall.
    std::set<incarnation> consulted_holders_;
};

} // namespace dotterelport::router

#endif
