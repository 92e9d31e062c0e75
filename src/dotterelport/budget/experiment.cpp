#include "experiment.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "dotterelport/budget/shared_budgets.hpp"
#include "dotterelport/object_store/store.hpp"

namespace dotterelport::budget {
namespace {

constexpr milliseconds step_length{100};
/// Interval between two flushes of a holder, in steps.
constexpr std::size_t flush_steps = 5;
/// Longest run of a request, in steps.
constexpr std::size_t longest_run = 20;

struct running_request {
    std::size_t domain = 0;
    request::outcome outcome;
};

/// One run of a workload: a holder in each failure domain around one ledger shard.
class experiment_run {
public:
    experiment_run(const experiment_workload& workload, const sizing_policy& policy,
                   std::uint64_t seed)
        : workload_(workload), policy_(policy), random_(seed), finishing_(longest_run + 1)
    {
        declaration declared{.generation = 1, .budgets = {}};
        const double steps = static_cast<double>(std::max<std::size_t>(2, workload.budgets) - 1);
        for (std::size_t i = 0; i < workload.budgets; ++i) {
            // Sizes grow geometrically, so that a few budgets are large.
            const double ratio = static_cast<double>(workload.largest_budget) /
                                 static_cast<double>(workload.smallest_budget);
            const auto size = static_cast<tokens>(static_cast<double>(workload.smallest_budget) *
                                                  std::pow(ratio, static_cast<double>(i) / steps));
            prepaid_.push_back(size);
            declared.budgets.push_back({"w", name(i), size});
        }
        committed_.resize(workload.budgets);
        const auto shared = std::make_shared<const declaration>(std::move(declared));
        for (std::size_t domain = 0; domain < workload.failure_domains; ++domain) {
            const incarnation self{"router-" + std::to_string(domain), 1};
            sessions_.push_back(std::make_unique<shard_session>(0, self, policy));
            sessions_.back()->set_declaration(shared);
        }
    }

    experiment_result run()
    {
        std::vector<double> weights(prepaid_.begin(), prepaid_.end());
        std::discrete_distribution<std::size_t> budgets(weights.begin(), weights.end());
        std::poisson_distribution<int> arrivals(workload_.requests_per_step);
        for (step_ = 0; step_ < workload_.steps; ++step_) {
            settle_finished();
            for (std::size_t domain = 0; domain < sessions_.size(); ++domain) {
                if (step_ % flush_steps == domain % flush_steps) {
                    round(domain);
                }
            }
            // All random numbers of a request are drawn whether it is served or not, so that every
            // policy gets the same requests.
            for (int count = arrivals(random_); count > 0; --count) {
                request_one(budgets(random_));
            }
        }
        for (std::size_t i = 0; i < prepaid_.size(); ++i) {
            result_.overspend += std::max<tokens>(0, used_[i] - prepaid_[i]);
        }
        return result_;
    }

private:
    static std::string name(std::size_t budget) { return "budget-" + std::to_string(budget); }

    [[nodiscard]] bool in_outage() const
    {
        return step_ >= workload_.outage_from && step_ < workload_.outage_to;
    }

    [[nodiscard]] bool in_partition() const
    {
        return step_ >= workload_.partition_from && step_ < workload_.partition_to;
    }

    [[nodiscard]] bool is_cut_off(std::size_t domain) const
    {
        return in_partition() && domain == 0;
    }

    [[nodiscard]] bool can_reach_platform(std::size_t domain) const
    {
        return !in_outage() && !is_cut_off(domain);
    }

    [[nodiscard]] milliseconds trouble(std::size_t domain) const
    {
        const auto from = in_outage() ? workload_.outage_from : workload_.partition_from;
        return can_reach_platform(domain) ? milliseconds{0}
                                          : step_length * static_cast<int>(step_ - from);
    }

    void round(std::size_t domain)
    {
        const bool reachable = can_reach_platform(domain);
        const shard_objects access{
            .read =
                [&](const std::string& key) {
                    ++result_.platform_calls;
                    return reachable ? store_.read(key) : object_store::read_result{};
                },
            .write =
                [&](const std::string& key, const std::string& value, object_store::version at) {
                    ++result_.platform_calls;
                    return reachable ? store_.write(key, value, at) : object_store::write_result{};
                }};
        run_round(*sessions_[domain], access,
                  {.now = now(),
                   .platform_trouble = trouble(domain),
                   .failure_domains = sessions_.size(),
                   .flush = true});
    }

    [[nodiscard]] milliseconds now() const { return step_length * static_cast<int>(step_ + 1); }

    bool reserve_at(std::size_t domain, const request::outcome& wanted, tokens upper)
    {
        return sessions_[domain]->holder().reserve({.key = wanted.key,
                                                    .budget = wanted.budget,
                                                    .upper = upper,
                                                    .agent = wanted.agent,
                                                    .digest = "",
                                                    .router = "",
                                                    .now = now()}) == reserve_outcome::reserved;
    }

    /// @brief Seeks room in the order of the router: own grant, ledger, loan, recall.
    std::optional<std::size_t> reserve(std::size_t domain, const request::outcome& wanted,
                                       tokens upper)
    {
        const auto with_ledger = [&] {
            auto& account = sessions_[domain]->holder().account(wanted.budget);
            account.wanted = upper;
            round(domain);
            sessions_[domain]->holder().account(wanted.budget).wanted = 0;
            return reserve_at(domain, wanted, upper);
        };
        if (reserve_at(domain, wanted, upper) || with_ledger()) {
            return domain;
        }
        if (!moves_tokens(policy_)) {
            return std::nullopt;
        }
        const auto reaches = [&](std::size_t peer) {
            return peer != domain && !is_cut_off(domain) && !is_cut_off(peer);
        };
        for (std::size_t peer = 0; peer < sessions_.size(); ++peer) {
            if (reaches(peer) && reserve_at(peer, wanted, upper)) {
                return peer;
            }
        }
        for (std::size_t peer = 0; peer < sessions_.size(); ++peer) {
            if (reaches(peer) && can_reach_platform(domain)) {
                sessions_[peer]->holder().account(wanted.budget).recalled = true;
                round(peer);
            }
        }
        return with_ledger() ? std::optional(domain) : std::nullopt;
    }

    void request_one(std::size_t budget)
    {
        std::uniform_real_distribution<double> part(0, 1);
        std::uniform_int_distribution<tokens> size(workload_.smallest_request,
                                                   workload_.largest_request);
        // Each budget has its own busiest failure domain.
        const bool busiest = part(random_) < workload_.busiest_domain_share;
        const auto other =
            static_cast<std::size_t>(part(random_) * static_cast<double>(sessions_.size() - 1));
        const std::size_t domain = (budget + (busiest ? 0 : 1 + other)) % sessions_.size();
        const tokens upper = size(random_);
        const auto charged =
            static_cast<tokens>(static_cast<double>(upper) * (0.3 + 0.7 * part(random_)));
        const auto length = 1 + static_cast<std::size_t>(part(random_) * (longest_run - 1));

        request::outcome outcome;
        outcome.key = {"w", std::to_string(++result_.requests)};
        outcome.budget = name(budget);
        outcome.agent = {"agent", 1};
        outcome.charged = charged;
        const auto holder = reserve(domain, outcome, upper);
        if (holder.has_value()) {
            ++result_.served;
            committed_[budget] += upper;
            used_[budget] += charged;
            finishing_[(step_ + length) % finishing_.size()].push_back(
                {.domain = *holder, .outcome = outcome});
            upper_of_[outcome.key.key] = {budget, upper};
            return;
        }
        // Room of the budget as a whole: what is neither used nor reserved anywhere.
        if (prepaid_[budget] - committed_[budget] >= upper) {
            ++result_.false_refusals;
            result_.false_refusals_in_faults += in_outage() || in_partition() ? 1U : 0U;
        } else {
            ++result_.right_refusals;
        }
    }

    void settle_finished()
    {
        auto& due = finishing_[step_ % finishing_.size()];
        for (const auto& item : due) {
            sessions_[item.domain]->holder().settle(item.outcome);
            const auto [budget, upper] = upper_of_[item.outcome.key.key];
            committed_[budget] -= upper - item.outcome.charged;
            upper_of_.erase(item.outcome.key.key);
        }
        due.clear();
    }

    experiment_workload workload_;
    sizing_policy policy_;
    std::mt19937_64 random_;
    object_store::store store_;
    std::vector<std::unique_ptr<shard_session>> sessions_;
    std::vector<tokens> prepaid_;
    /// Used or reserved, by budget.
    std::vector<tokens> committed_;
    std::map<std::size_t, tokens> used_;
    std::map<std::string, std::pair<std::size_t, tokens>> upper_of_;
    std::vector<std::vector<running_request>> finishing_;
    std::size_t step_ = 0;
    experiment_result result_;
};

} // namespace

experiment_result run_experiment(const experiment_workload& workload, const sizing_policy& policy,
                                 std::uint64_t seed)
{
    return experiment_run(workload, policy, seed).run();
}

} // namespace dotterelport::budget
