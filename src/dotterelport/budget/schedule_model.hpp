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

/// Small world for randomised tests: holders with sessions, agents, closers and an auditor around
/// one ledger shard. Every rule is the production code's; the model only moves messages, loses
/// answers and stops processes. Throws std::logic_error when an invariant does not hold.
class schedule_model {
public:
    explicit schedule_model(const sizing_policy& policy);

    /// @brief Does one step that the number chooses.
    void step(std::uint32_t choice);

    /// @brief Lets everything finish without further faults, and checks the bill.
    void finish();

private:
    struct holder {
        incarnation id;
        std::unique_ptr<shard_session> session;
        std::optional<io_step> pending;
        bool paused = false;
    };
    /// What the platform and the VM list know about a router incarnation.
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

    void issue(holder& at);
    void deliver_admission();
    void lose_admission();
    void finish_run(agent& at, bool kill);
    void push_outcomes(agent& at);
    void step_session(holder& at, bool faults);
    object_store::read_result read(const std::string& key, bool faults);
    object_store::write_result write(const std::string& key, const std::string& value,
                                     object_store::version if_version, bool faults);
    void apply_delayed();
    void replace_holder(holder& at);
    void replace_agent(agent& at);
    void begin_closing(const incarnation& target);
    void step_closing(closer& at, std::uint32_t part, bool faults);
    void run_audit(bool fresh, bool faults);
    void change_prepaid();
    void check_old(holder& at);
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
    std::vector<request::admission> network_;
    std::vector<delayed_write> delayed_;
    std::vector<closer> closers_;
    std::unique_ptr<bill_audit> audit_;
    declaration declared_;
    std::optional<ledger_shard> checked_ledger_;
    object_store::version checked_revision_ = 0;
    std::map<std::string, std::uint32_t> attempts_;
    /// Tokens that agents really used, by budget.
    std::map<std::string, tokens> used_;
    tokens highest_prepaid_ = 0;
    /// Keys that ran and whose outcome is not lost with its agent.
    std::multiset<request_key> ran_;
};

} // namespace dotterelport::budget

#endif
