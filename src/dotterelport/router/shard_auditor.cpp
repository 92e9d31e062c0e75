#include "shard_auditor.hpp"

#include <utility>

#include "budget_events.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::router {

shard_auditor::shard_auditor(const budget_service::context& environment, std::uint32_t shard)
    : context_(environment), shard_(shard), audit_(shard)
{}

void shard_auditor::tick(const std::shared_ptr<shard_owner>& owner)
{
    if (std::exchange(busy_, true)) {
        return;
    }
    context_.platform.list(budget::bill_prefix(shard_), audit_.cursor(),
                           [self = shared_from_this(), owner](const object_store::listing& listed) {
                               if (listed.available &&
                                   (!listed.objects.empty() || self->audit_.has_findings())) {
                                   self->read_ledger(listed, owner);
                               } else {
                                   self->busy_ = false;
                               }
                           });
}

void shard_auditor::read_ledger(const object_store::listing& listed,
                                const std::shared_ptr<shard_owner>& owner)
{
    // The ledger is read after the listing, so that it counts every batch that was counted at the
    // time of the listing.
    context_.platform.read(budget::shard_object_key(shard_), [self = shared_from_this(), listed,
                                                              owner](
                                                                 const object_store::read_result&
                                                                     read) {
        if (read.status != object_store::read_status::found) {
            self->busy_ = false;
            return;
        }
        try {
            self->audit(listed, budget::parse_ledger_shard(read.value.value), owner);
        } catch (const error& failure) {
            log(events::object_unreadable, {{"shard", self->shard_}, {"message", failure.what()}});
            self->busy_ = false;
        }
    });
}

void shard_auditor::audit(const object_store::listing& listed, const budget::ledger_shard& ledger,
                          const std::shared_ptr<shard_owner>& owner)
{
    audit_.read(listed.objects, ledger);
    audit_.forget_counted(ledger);
    const auto voids = audit_.result(ledger);
    if (voids.has_value()) {
        write_voids(*voids, owner);
        return;
    }
    owner->session().set_audit_cursor(audit_.cursor());
    busy_ = false;
}

void shard_auditor::write_voids(const budget::void_batch& voids,
                                const std::shared_ptr<shard_owner>& owner)
{
    const auto key = budget::void_object_key(shard_, voids.number);
    context_.platform.write(
        key, budget::to_json(voids).dump(), 0,
        [self = shared_from_this(), key, owner](const object_store::write_result& result) {
            if (result.status == object_store::write_status::unavailable ||
                result.status == object_store::write_status::too_large) {
                log(events::audit_failed, {{"shard", self->shard_}});
                self->busy_ = false;
                return;
            }
            // Another auditor may have written other lines under this number; the stored lines
            // count.
            self->read_back(key, owner);
        });
}

void shard_auditor::read_back(const std::string& key, const std::shared_ptr<shard_owner>& owner)
{
    context_.platform.read(key, [self = shared_from_this(),
                                 owner](const object_store::read_result& read) {
        self->busy_ = false;
        if (read.status != object_store::read_status::found) {
            log(events::audit_failed, {{"shard", self->shard_}});
            return;
        }
        try {
            owner->session().add_voids(budget::parse_void_batch(read.value.value));
            owner->tick();
        } catch (const error& failure) {
            log(events::object_unreadable, {{"shard", self->shard_}, {"message", failure.what()}});
        }
    });
}

} // namespace dotterelport::router
