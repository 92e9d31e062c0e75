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
constexpr std::size_t flush_interval_steps = 5;
/// Longest run of a request, in steps.
constexpr std::size_t longest_run_steps = 20;

struct running_request {
    std::size_t domain = 0;
    request::outcome outcome;
};

/// One run of a workload: a holder in each failure domain around one ledger shard.
class experiment_run {
public:
    experiment_run(const experiment_workload& workload, const sizing_policy& policy,
                   std::uint64_t seed)
        : workload_(workload), policy_(policy), random_(seed),
          finishing_by_step_(longest_run_steps + 1)
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
            declared.budgets.push_back({"w", budget_name(i), size});
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
                if (step_ % flush_interval_steps == domain % flush_interval_steps) {
                    run_domain_round(domain);
                }
            }
            // All random numbers of a request are drawn whether it is served or not, so that every
            // policy gets the same requests.
            for (int count = arrivals(random_); count > 0; --count) {
                simulate_request(budgets(random_));
            }
        }
        for (std::size_t i = 0; i < prepaid_.size(); ++i) {
            result_.overspend += std::max<tokens>(0, used_[i] - prepaid_[i]);
        }
        return result_;
    }

private:
    static std::string budget_name(std::size_t budget)
    {
        return "budget-" + std::to_string(budget);
    }

    [[nodiscard]] bool in_outage() const
    {
        return step_ >= workload_.outage_from_step && step_ < workload_.outage_to_step;
    }

    [[nodiscard]] bool in_partition() const
    {
        return step_ >= workload_.partition_from_step && step_ < workload_.partition_to_step;
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
        const auto from = in_outage() ? workload_.outage_from_step : workload_.partition_from_step;
        return can_reach_platform(domain) ? milliseconds{0}
                                          : step_length * static_cast<int>(step_ - from);
    }

    void run_domain_round(std::size_t domain)
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

    bool reserve_at(std::size_t domain, const request::outcome& expected_outcome,
                    tokens upper_tokens)
    {
        return sessions_[domain]->holder().reserve({.key = expected_outcome.key,
                                                    .budget = expected_outcome.budget,
                                                    .upper_tokens = upper_tokens,
                                                    .agent = expected_outcome.agent,
                                                    .digest = "",
                                                    .router = "",
                                                    .now = now()}) == reserve_outcome::reserved;
    }

    /// @brief Tries to reserve in the same order as the router: own grant, ledger, loan from
    /// another holder, recall of other grants.
    std::optional<std::size_t> reserve(std::size_t domain, const request::outcome& expected_outcome,
                                       tokens upper_tokens)
    {
        const auto reserve_after_round = [&] {
            auto& account = sessions_[domain]->holder().account(expected_outcome.budget);
            account.waiting_tokens = upper_tokens;
            run_domain_round(domain);
            sessions_[domain]->holder().account(expected_outcome.budget).waiting_tokens = 0;
            return reserve_at(domain, expected_outcome, upper_tokens);
        };
        if (reserve_at(domain, expected_outcome, upper_tokens) || reserve_after_round()) {
            return domain;
        }
        if (!allows_lending(policy_)) {
            return std::nullopt;
        }
        const auto can_reach_peer = [&](std::size_t peer) {
            return peer != domain && !is_cut_off(domain) && !is_cut_off(peer);
        };
        for (std::size_t peer = 0; peer < sessions_.size(); ++peer) {
            if (can_reach_peer(peer) && reserve_at(peer, expected_outcome, upper_tokens)) {
                return peer;
            }
        }
        for (std::size_t peer = 0; peer < sessions_.size(); ++peer) {
            if (can_reach_peer(peer) && can_reach_platform(domain)) {
                sessions_[peer]->holder().account(expected_outcome.budget).recalled = true;
                run_domain_round(peer);
            }
        }
        return reserve_after_round() ? std::optional(domain) : std::nullopt;
    }

    void simulate_request(std::size_t budget)
    {
        std::uniform_real_distribution<double> unit_fraction(0, 1);
        std::uniform_int_distribution<tokens> size(workload_.smallest_request,
                                                   workload_.largest_request);
        // Each budget has its own busiest failure domain.
        const bool busiest = unit_fraction(random_) < workload_.busiest_domain_share;
        const auto domain_offset = static_cast<std::size_t>(
            unit_fraction(random_) * static_cast<double>(sessions_.size() - 1));
        const std::size_t domain = (budget + (busiest ? 0 : 1 + domain_offset)) % sessions_.size();
        const tokens upper = size(random_);
        const auto charged =
            static_cast<tokens>(static_cast<double>(upper) * (0.3 + 0.7 * unit_fraction(random_)));
        const auto run_steps =
            1 + static_cast<std::size_t>(unit_fraction(random_) * (longest_run_steps - 1));

        request::outcome outcome;
        outcome.key = {"w", std::to_string(++result_.requests)};
        outcome.budget = budget_name(budget);
        outcome.agent = {"agent", 1};
        outcome.charged = charged;
        const auto serving_domain = reserve(domain, outcome, upper);
        if (serving_domain.has_value()) {
            ++result_.served;
            committed_[budget] += upper;
            used_[budget] += charged;
            finishing_by_step_[(step_ + run_steps) % finishing_by_step_.size()].push_back(
                {.domain = *serving_domain, .outcome = outcome});
            reserved_upper_[outcome.key.key] = {budget, upper};
            return;
        }
        // Available tokens of the budget as a whole: neither used nor reserved in any failure
        // domain.
        if (prepaid_[budget] - committed_[budget] >= upper) {
            ++result_.false_refusals;
            result_.false_refusals_in_faults += in_outage() || in_partition() ? 1U : 0U;
        } else {
            ++result_.correct_refusals;
        }
    }

    void settle_finished()
    {
        auto& due = finishing_by_step_[step_ % finishing_by_step_.size()];
        for (const auto& item : due) {
            sessions_[item.domain]->holder().settle(item.outcome);
            const auto [budget, upper] = reserved_upper_[item.outcome.key.key];
            committed_[budget] -= upper - item.outcome.charged;
            reserved_upper_.erase(item.outcome.key.key);
        }
        due.clear();
    }

    experiment_workload workload_;
    sizing_policy policy_;
    std::mt19937_64 random_;
    object_store::store store_;
    std::vector<std::unique_ptr<shard_session>> sessions_;
    std::vector<tokens> prepaid_;
    /// Used or reserved tokens, by budget.
    std::vector<tokens> committed_;
    std::map<std::size_t, tokens> used_;
    std::map<std::string, std::pair<std::size_t, tokens>> reserved_upper_;
    std::vector<std::vector<running_request>> finishing_by_step_;
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
