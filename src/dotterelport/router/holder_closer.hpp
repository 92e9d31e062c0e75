#ifndef DOTTERELPORT_ROUTER_HOLDER_CLOSER_HPP
#define DOTTERELPORT_ROUTER_HOLDER_CLOSER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "budget_service_impl.hpp"
#include "dotterelport/budget/holder_closing.hpp"

namespace dotterelport::router {

/// Closes the grants of a dead router incarnation: fences that incarnation at its agents and, in
/// every shard, writes what budget::holder_closing decides until its grants are removed.
class holder_closer : public std::enable_shared_from_this<holder_closer> {
public:
    holder_closer(budget_service::impl& service, const incarnation& target);

    /// @brief Continues the closing; called periodically.
    void tick();

    [[nodiscard]] bool is_finished() const { return finished_; }
    [[nodiscard]] json dump() const;

private:
    /// Progress of the closing in one shard.
    struct shard_progress {
        explicit shard_progress(budget::holder_closing closing) : state(std::move(closing)) {}

        budget::holder_closing state;
        bool listed = false;
        bool busy = false;
        /// The ledger no longer has a grant of the holder.
        bool grants_removed = false;
    };

    void begin();
    void fence_agents();
    void receive_fence_answer(const incarnation& agent, const json& answer);
    void acknowledge(const incarnation& agent);
    void list_batches(std::uint32_t shard);
    void read_ledger(std::uint32_t shard);
    void process_ledger(std::uint32_t shard, const object_store::read_result& result);
    void write_ledger(std::uint32_t shard, const budget::ledger_shard& next,
                      object_store::version expected);
    void write_batch(std::uint32_t shard, const budget::bill_batch& batch);
    void finish_if_done();

    std::weak_ptr<budget_service::impl> service_;
    budget_service::context context_;
    incarnation target_;
    bool beginning_ = false;
    bool finishing_ = false;
    bool finished_ = false;
    std::set<incarnation> agents_;
    std::set<incarnation> pending_fences_;
    /// Outcomes in the agents' last answers. An agent keeps an outcome until it is acknowledged,
    /// which happens once it is billed.
    std::map<incarnation, std::vector<request::outcome>> reported_outcomes_;
    std::map<std::uint32_t, shard_progress> shards_;
};

} // namespace dotterelport::router

#endif
