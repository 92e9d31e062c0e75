#ifndef DOTTERELPORT_BUDGET_SCHEDULE_MODEL_HPP
#define DOTTERELPORT_BUDGET_SCHEDULE_MODEL_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelport/budget/bill_audit.hpp"
#include "dotterelport/budget/holder_closing.hpp"
#include "dotterelport/budget/shard_session.hpp"
#include "dotterelport/object_store/store.hpp"
#include "dotterelport/request/admission_table.hpp"

namespace dotterelport::budget {

/// Simulation for randomised tests: holders with sessions, agents, closers and an auditor that
/// share one ledger shard. All decisions are made by the production code; the model only delivers
/// messages, loses answers and stops processes. Throws std::logic_error when an invariant does not
/// hold.
class schedule_model {
public:
    explicit schedule_model(const sizing_policy& policy);

    /// @brief Performs the step that a number selects.
    void step(std::uint32_t choice);

    /// @brief Completes all pending work without further faults and checks the bill.
    void finish();

private:
    struct holder {
        incarnation id;
        std::unique_ptr<shard_session> session;
        std::optional<io_step> pending;
        bool paused = false;
    };
    /// State of a router incarnation on the platform and in the VM list.
    struct record {
        std::set<incarnation> agents;
        bool closing = false;
        bool closed = false;
    };
    struct agent {
        incarnation id;
        request::admission_table table;
        std::vector<request::outcome> outcomes;
    };
    struct delayed_write {
        std::string key;
        std::string value;
        object_store::version if_version;
    };
    struct closer {
        incarnation target;
        holder_closing state;
    };

    std::uint32_t draw(std::uint32_t limit);
    void check();
    void check_bill();

    void issue_request(holder& model_holder);
    void deliver_admission();
    void lose_admission();
    void finish_run(agent& model_agent, bool agent_killed);
    void push_outcomes(agent& model_agent);
    void step_session(holder& model_holder, bool faults);
    object_store::read_result read(const std::string& key, bool faults);
    object_store::write_result write(const std::string& key, const std::string& value,
                                     object_store::version if_version, bool faults);
    void apply_delayed();
    void replace_holder(holder& model_holder);
    void replace_agent(agent& model_agent);
    void begin_closing(const incarnation& target);
    void step_closing(closer& model_closer, std::uint32_t closing_step, bool faults);
    void run_audit(bool restart, bool faults);
    void change_prepaid();
    void check_old_reservations(holder& model_holder);
    [[nodiscard]] agent* find_agent(const incarnation& id);
    [[nodiscard]] ledger_shard read_ledger() const;
    const ledger_shard& ledger();

    sizing_policy policy_;
    std::uint64_t random_ = 0;
    milliseconds now_{0};
    object_store::store store_;
    std::vector<holder> holders_;
    std::map<incarnation, record> records_;
    std::vector<agent> agents_;
    std::vector<request::admission> admissions_in_flight_;
    std::vector<delayed_write> delayed_writes_;
    std::vector<closer> closers_;
    std::unique_ptr<bill_audit> audit_;
    declaration declared_;
    std::optional<ledger_shard> checked_ledger_;
    object_store::version checked_revision_ = 0;
    std::map<std::string, std::uint32_t> attempts_;
    /// Tokens that agents actually used, by budget.
    std::map<std::string, tokens> used_;
    tokens highest_prepaid_ = 0;
    /// Keys of requests that ran and whose outcome was not lost with its agent.
    std::multiset<request_key> ran_;
};

} // namespace dotterelport::budget

#endif
