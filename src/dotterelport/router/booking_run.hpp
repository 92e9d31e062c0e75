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

/// One request that must run at most once. Its record in the platform names the attempt that may
/// run; every change of it is a conditional update. The run goes on when the caller goes away, so
/// that a retry finds the answer in the record.
class booking_run : public std::enable_shared_from_this<booking_run> {
public:
    /// @param on_finished called once, with the error if the caller received one
    booking_run(dispatch_context& context, job request, answer reply,
                std::function<void(const caller_error*)> on_finished);

    void start();

private:
    void read_record();
    void take_record(const object_store::read_result& result);
    void decide();
    void prepare_attempt();
    void take_reservation(const membership::node_record& agent, const reserve_result& result);
    void wait_for_reservation();
    void write_intent(const membership::node_record& agent, const reserve_result& reservation);
    void take_write(const booking_record& intent, const object_store::write_result& result);
    void send(bool join_only);
    void take_result(const attempt_result& result);
    void take_failure(const request::error_frame& failure);
    void attempt_not_run(const request::error_frame& failure);
    void attempt_uncertain(const request::error_frame& failure);
    void ask_agent(const std::string& method);
    void take_report(agent_report report);
    void look_up();
    void store_answer(const json& data);
    void deliver(const json& data);
    void platform_unavailable();
    void ask_agents_without_record();
    void release_reservation();
    void after(milliseconds delay, std::function<void()> step);
    void fail(const caller_error& failure);
    void finish(const caller_error* failure);

    [[nodiscard]] bool out_of_time() const;

    dispatch_context& context_;
    job job_;
    answer answer_;
    std::function<void(const caller_error*)> on_finished_;
    std::string object_;
    std::optional<booking_record> record_;
    object_store::version version_ = 0;
    /// Token of the intent that this run wrote last.
    std::string token_;
    std::shared_ptr<agent_attempt> attempt_;
    std::unique_ptr<agent_lease> lease_;
    agent_request wanted_;
    json data_;
    int attempts_ = 0;
    int asked_ = 0;
    bool reserved_ = false;
    /// Another run has written the record after this one read it.
    bool contested_ = false;
    bool released_left_over_ = false;
    bool finished_ = false;
    std::optional<caller_error> last_failure_;
    milliseconds patience_until_;
};

} // namespace dotterelport::router

#endif
