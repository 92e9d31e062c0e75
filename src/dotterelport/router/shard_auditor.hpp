#ifndef DOTTERELPORT_ROUTER_SHARD_AUDITOR_HPP
#define DOTTERELPORT_ROUTER_SHARD_AUDITOR_HPP

#include <cstdint>
#include <memory>

#include "dotterelport/budget/bill_audit.hpp"
#include "dotterelport/router/budget_service.hpp"
#include "shard_owner.hpp"

namespace dotterelport::router {

/// Audits the bill of one shard: lists new batches, writes a batch of voided lines for duplicates,
/// and passes it to the shard's owner, which counts it in the ledger.
class shard_auditor : public std::enable_shared_from_this<shard_auditor> {
public:
    shard_auditor(const budget_service::context& environment, std::uint32_t shard);

    /// @brief Starts an audit of new batches unless one is running; called periodically.
    void tick(const std::shared_ptr<shard_owner>& owner);

private:
    void read_ledger(const object_store::listing& listed,
                     const std::shared_ptr<shard_owner>& owner);
    void audit(const object_store::listing& listed, const budget::ledger_shard& ledger,
               const std::shared_ptr<shard_owner>& owner);
    void write_voids(const budget::void_batch& voids, const std::shared_ptr<shard_owner>& owner);
    void read_back(const std::string& key, const std::shared_ptr<shard_owner>& owner);

    budget_service::context context_;
    std::uint32_t shard_;
    budget::bill_audit audit_;
    bool busy_ = false;
};

} // namespace dotterelport::router

#endif
