#include "dotterelport/gateway/budget_keeper.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::gateway {

std::uint32_t ledger_shard_of(const std::string& workspace)
{
    return static_cast<std::uint32_t>(hash64(workspace) % ledger_shards);
}

budget_keeper::budget_keeper(net::event_loop& loop, object_store::conditional_objects& objects,
                             incarnation self, const shard_keeper_settings& settings)
    : loop_(loop), objects_(objects), self_(std::move(self)), settings_(settings)
{}

void budget_keeper::declare(const service_catalogue& catalogue)
{
    generation_ = catalogue.version();
    std::map<std::uint32_t, budget::declaration> declared;
    for (std::uint32_t shard = 0; shard < ledger_shards; ++shard) {
        declared[shard].generation = catalogue.version();
    }
    for (const auto& item : catalogue.workspaces()) {
        if (item.prepaid) {
            declared[ledger_shard_of(item.name)].budgets.push_back(
                {.workspace = item.name, .budget = item.name, .prepaid = *item.prepaid});
        }
    }
    for (auto& [shard, declaration] : declared) {
        const auto shared = std::make_shared<const budget::declaration>(std::move(declaration));
        declarations_[shard] = shared;
        const auto active = shards_.find(shard);
        if (active != shards_.end()) {
            active->second->declare(shared);
        }
    }
}

shard_keeper& budget_keeper::shard_of(const std::string& workspace)
{
    return activate(ledger_shard_of(workspace));
}

shard_keeper& budget_keeper::activate(std::uint32_t number)
{
    auto& shard = shards_[number];
    if (shard == nullptr) {
        shard = std::make_unique<shard_keeper>(loop_, objects_, number, self_, health_, settings_);
        const auto declared = declarations_.find(number);
        if (declared != declarations_.end()) {
            shard->declare(declared->second);
        }
        shard->on_ledger_written([this, number] {
            if (on_ledger_written_) {
                on_ledger_written_(number);
            }
        });
        const auto copy = received_copies_.find(number);
        if (copy != received_copies_.end()) {
            shard->add_copy(copy->second);
        }
        shard->begin_era(era_, [this, number] { return recovery_of(number); });
    }
    return *shard;
}

recovery_times budget_keeper::recovery_of(std::uint32_t shard) const
{
    const bool is_owner = is_owner_ && is_owner_(shard);
    const milliseconds with_copy =
        era_began_ + (is_owner ? settings_.recovery_delay : settings_.recovery_delay_others);
    return {.with_copy = with_copy,
            .without_copy = std::max(with_copy, era_began_ + settings_.recovery_delay_unknown),
            .receives_copies = !receives_copies_ || receives_copies_(shard)};
}

void budget_keeper::begin_era(object_store::store_era era,
                              std::function<bool(std::uint32_t)> is_owner,
                              std::function<bool(std::uint32_t)> receives_copies)
{
    era_ = era;
    era_began_ = steady_now();
    is_owner_ = std::move(is_owner);
    receives_copies_ = std::move(receives_copies);
    for (const auto& item : shards_) {
        item.second->begin_era(era, [this, number = item.first] { return recovery_of(number); });
    }
    for (const auto& [number, copy] : received_copies_) {
        if (copy.era < era) {
            activate(number);
        }
    }
}

void budget_keeper::add_copy(std::uint32_t shard, budget::ledger_copy copy)
{
    copy.received_in = era_;
    const auto known = received_copies_.find(shard);
    if (known != received_copies_.end() && !copy.is_better_than(known->second)) {
        return;
    }
    const auto& added = received_copies_.insert_or_assign(shard, std::move(copy)).first->second;
    const auto active = shards_.find(shard);
    if (active != shards_.end()) {
        active->second->add_copy(added);
    } else if (added.era < era_) {
        activate(shard);
    }
}

std::optional<budget::ledger_copy> budget_keeper::newest_copy(std::uint32_t shard,
                                                              bool receives_copies) const
{
    const auto active = shards_.find(shard);
    if (active != shards_.end()) {
        return active->second->newest_copy(receives_copies);
    }
    const auto received = received_copies_.find(shard);
    if (received == received_copies_.end()) {
        return std::nullopt;
    }
    auto result = received->second;
    result.has_all_writes = result.is_complete(era_, receives_copies);
    return result;
}

void budget_keeper::reserve(const std::string& workspace, const std::string& id,
                            tokens upper_tokens, reservation_handler done)
{
    shard_of(workspace).reserve(workspace, id, upper_tokens, std::move(done));
}

void budget_keeper::abandon(const std::string& workspace, const std::string& id)
{
    shard_of(workspace).abandon(workspace, id);
}

void budget_keeper::settle(const std::string& workspace, const std::string& id, verdict ran,
                           tokens prompt_tokens, tokens output_tokens)
{
    shard_of(workspace).settle(workspace, id, ran, prompt_tokens, output_tokens);
}

grant_prospect budget_keeper::prospect(const std::string& workspace, tokens upper_tokens)
{
    return shard_of(workspace).prospect(workspace, upper_tokens);
}

reservation_forecast budget_keeper::forecast(const std::string& workspace,
                                             tokens upper_tokens) const
{
    const auto active = shards_.find(ledger_shard_of(workspace));
    if (active != shards_.end()) {
        return active->second->forecast(workspace, upper_tokens);
    }
    // A shard that was not used has no grant, and its ledger was not read.
    return health_->is_backing_off(steady_now()) ? reservation_forecast::no_grant
                                                 : reservation_forecast::waits;
}

std::optional<grant_prospect> budget_keeper::known_prospect(const std::string& workspace,
                                                            tokens upper_tokens) const
{
    const auto active = shards_.find(ledger_shard_of(workspace));
    return active == shards_.end()
               ? std::nullopt
               : std::optional(active->second->prospect(workspace, upper_tokens));
}

void budget_keeper::follow_store(std::function<bool(std::uint32_t)> is_owner,
                                 std::function<void()> on_return)
{
    owns_now_ = std::move(is_owner);
    health_->on_return = std::move(on_return);
}

void budget_keeper::store_returned()
{
    // Without a delay, all shards of a gateway would wait for the store at once, and the order
    // would have no effect.
    constexpr milliseconds spacing{4};
    // The next call decides whether the store answers this gateway too.
    health_->retry_at = steady_now();
    health_->probe_at = health_->retry_at;
    std::vector<std::pair<tokens, std::uint32_t>> order;
    for (const auto& [number, shard] : shards_) {
        const auto remaining = shard->least_remaining();
        if (remaining) {
            order.emplace_back(*remaining, number);
        }
    }
    std::sort(order.begin(), order.end());
    milliseconds delay{0};
    for (const auto& [remaining, number] : order) {
        const bool is_owner = !owns_now_ || owns_now_(number);
        shards_.at(number)->flush(delay, is_owner ? budget::idle_return::above_target
                                                  : budget::idle_return::all);
        delay += spacing;
    }
}

void budget_keeper::drain(std::function<void()> done)
{
    // `done` is called when the last shard releases its copy of the pointer.
    const auto on_last_release =
        std::shared_ptr<void>(nullptr, [done = std::move(done)](void*) { done(); });
    for (const auto& [number, shard] : shards_) {
        shard->drain([on_last_release] {});
    }
}

json budget_keeper::dump() const
{
    json result = json::object();
    for (const auto& [number, shard] : shards_) {
        result[std::to_string(number)] = shard->dump();
    }
    return result;
}

} // namespace dotterelport::gateway
