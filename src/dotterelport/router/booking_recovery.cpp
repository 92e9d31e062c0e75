#include <utility>

#include "booking_run.hpp"
#include "events.hpp"
#include "service_lookup.hpp"

namespace dotterelport::router {
namespace {

constexpr milliseconds poll_interval{200};
constexpr milliseconds agent_rpc_timeout{1'000};

agent_report parse_report(const net::rpc_result& result)
{
    using status = net::rpc_result::status;
    if (result.outcome == status::refused) {
        return result.message.find("wrong_incarnation") == std::string::npos
                   ? agent_report::unreachable
                   : agent_report::replaced;
    }
    if (!result.ok() || !result.value.is_object()) {
        return agent_report::unreachable;
    }
    const std::string state = result.value.value("state", "");
    if (state == "running") {
        return agent_report::running;
    }
    if (state == "finished") {
        return agent_report::finished;
    }
    return state == "refused" ? agent_report::refused : agent_report::unknown;
}

} // namespace

void booking_run::ask_agent(const std::string& method)
{
    const auto agent = context_.find_agent(record_->agent);
    ++times_asked_;
    if (!agent) {
        handle_report(context_.is_gone(record_->agent) ? agent_report::replaced
                                                       : agent_report::unreachable);
        return;
    }
    const json parameters = {{"workspace", request_.key.workspace},
                             {"key", request_.key.key},
                             {"agent", to_string(record_->agent)},
                             {"attempt", record_->attempt}};
    context_.rpc.call(agent->peer_address, method, parameters, agent_rpc_timeout,
                      [self = shared_from_this()](const net::rpc_result& result) {
                          self->handle_report(parse_report(result));
                      });
}

void booking_run::handle_report(agent_report report)
{
    switch (next_step(report, times_asked_)) {
    case report_step::join:
        send(true);
        return;
    case report_step::replace:
        record_->state = booking_state::refused;
        decide();
        return;
    case report_step::ask_service:
        ask_service();
        return;
    case report_step::ask_again:
        // The record may have changed in the meantime.
        run_after(poll_interval, [this] { read_record(); });
        return;
    case report_step::ask_to_refuse:
        ask_agent("refuse");
        return;
    }
}

void booking_run::ask_service()
{
    const auto unresolved = [self = shared_from_this()] {
        log(events::booking_unresolved,
            {{"object", self->object_}, {"agent", to_string(self->record_->agent)}});
        const auto cause = self->last_failure_.value_or(
            caller_error(error_code::backend_error, "the agent that had this booking has gone"));
        self->fail({cause.code(), cause.what(), verdict::may_have_run});
    };
    if (request_.lookup_path.empty()) {
        unresolved();
        return;
    }
    std::make_shared<service_lookup>(
        context_, request_,
        [self = shared_from_this(), unresolved](const std::optional<json>& found) {
            if (found) {
                self->store_answer(*found);
            } else {
                unresolved();
            }
        })
        ->start(record_->agent);
}

void booking_run::platform_unavailable()
{
    if (request_.has_caller_key && !contested_) {
        ask_agents_without_record();
        return;
    }
    fail({error_code::platform_unavailable, "bookings need the platform, which does not answer",
          contested_ ? verdict::may_have_run : verdict::not_run});
}

void booking_run::ask_agents_without_record()
{
    // The unreadable record may contain an earlier attempt with the caller's key. The verdict is
    // "not run" only if every agent of the service reports the key as unknown or refused.
    const auto agents = context_.agents.agents_of(request_.service);
    struct tally {
        std::size_t pending;
        bool attempt_possible = false;
    };
    auto answers = std::make_shared<tally>(tally{agents.size()});
    const auto conclude = [self = shared_from_this(), answers] {
        self->fail({error_code::platform_unavailable,
                    "bookings need the platform, which does not answer",
                    answers->attempt_possible ? verdict::may_have_run : verdict::not_run});
    };
    if (agents.empty()) {
        conclude();
        return;
    }
    for (const auto& agent : agents) {
        const json parameters = {{"workspace", request_.key.workspace},
                                 {"key", request_.key.key},
                                 {"agent", to_string(agent.id)}};
        context_.rpc.call(agent.peer_address, "lookup", parameters, agent_rpc_timeout,
                          [answers, conclude](const net::rpc_result& result) {
                              const auto report = parse_report(result);
                              answers->attempt_possible =
                                  answers->attempt_possible || (report != agent_report::unknown &&
                                                                report != agent_report::refused);
                              if (--answers->pending == 0) {
                                  conclude();
                              }
                          });
    }
}

} // namespace dotterelport::router
