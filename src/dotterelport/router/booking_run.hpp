#ifndef DOTTERELPORT_ROUTER_BOOKING_RUN_HPP
#define DOTTERELPORT_ROUTER_BOOKING_RUN_HPP

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "booking_record.hpp"
#include "request_run.hpp"

namespace dotterelport::router {

/// One request that must run at most once. The record in the platform names the attempt that may
/// run; every change of the record is a conditional update. The run continues after the caller
/// disconnects, so that a retry finds the answer in the record.
class booking_run : public std::enable_shared_from_this<booking_run> {
public:
    /// @param on_finished called once, with the error that the caller received or a null pointer
    booking_run(dispatch_context& context, checked_request request, answer reply,
                std::function<void(const caller_error*)> on_finished);

    void start();

private:
    void read_record();
    void receive_record(const object_store::read_result& result);
    void decide();
    void prepare_attempt();
    void handle_reservation(const membership::node_record& agent, const reserve_result& result);
    void wait_for_reservation();
    void write_intent(const membership::node_record& agent, const reserve_result& reservation);
    void handle_write_result(const booking_record& intent,
                             const object_store::write_result& result);
    void send(bool join_only);
    void handle_result(const attempt_result& result);
    void handle_failure(const request::error_frame& failure);
    void attempt_not_run(const request::error_frame& failure);
    void attempt_uncertain(const request::error_frame& failure);
    void ask_agent(const std::string& method);
    void handle_report(agent_report report);
    void ask_service();
    void store_answer(const json& data);
    void deliver(const json& data);
    void platform_unavailable();
    void ask_agents_without_record();
    void release_reservation();
    void run_after(milliseconds delay, std::function<void()> step);
    void fail(const caller_error& failure);
    void finish(const caller_error* failure);

    [[nodiscard]] bool has_deadline_passed() const;

    dispatch_context& context_;
    checked_request request_;
    answer answer_;
    std::function<void(const caller_error*)> on_finished_;
    std::string object_;
    std::optional<booking_record> record_;
    object_store::version version_ = 0;
    /// Token of the last intent that this run wrote.
    std::string token_;
    std::shared_ptr<agent_attempt> attempt_;
    std::unique_ptr<agent_lease> lease_;
    agent_criteria agent_criteria_;
    json answer_data_;
    int attempts_ = 0;
    int times_asked_ = 0;
    bool reserved_ = false;
    /// What reserved_ refers to.
    release_request reservation_;
    /// Another run wrote the record after this run had read it.
    bool contested_ = false;
    bool released_stale_reservation_ = false;
    bool finished_ = false;
    std::optional<caller_error> last_failure_;
    milliseconds wait_deadline_;
};

} // namespace dotterelport::router

#endif
