#include <utility>

#include "booking_run.hpp"
#include "events.hpp"
#include "service_lookup.hpp"

namespace dotterelport::router {
namespace {

constexpr milliseconds poll_wait{200};
constexpr milliseconds ask_timeout{1'000};

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
    ++asked_;
    if (!agent) {
        take_report(context_.is_gone(record_->agent) ? agent_report::replaced
                                                     : agent_report::unreachable);
        return;
    }
    const json parameters = {{"workspace", job_.key.workspace},
                             {"key", job_.key.key},
                             {"agent", to_string(record_->agent)},
                             {"attempt", record_->attempt}};
    context_.rpc.call(agent->peers, method, parameters, ask_timeout,
                      [self = shared_from_this()](const net::rpc_result& result) {
                          self->take_report(parse_report(result));
                      });
}

void booking_run::take_report(agent_report report)
{
    switch (next_step(report, asked_)) {
    case report_step::join:
        send(true);
        return;
    case report_step::replace:
        record_->state = booking_state::refused;
        decide();
        return;
    case report_step::look_up:
        look_up();
        return;
    case report_step::ask_again:
        // The record may have changed meanwhile.
        after(poll_wait, [this] { read_record(); });
        return;
    case report_step::ask_to_refuse:
        ask_agent("refuse");
        return;
    }
}

void booking_run::look_up()
{
    const auto unresolved = [self = shared_from_this()] {
        log(events::booking_unresolved,
            {{"object", self->object_}, {"agent", to_string(self->record_->agent)}});
        const auto cause = self->last_failure_.value_or(
            caller_error(error_code::backend_error, "the agent that had this booking has gone"));
        self->fail({cause.code(), cause.what(), verdict::may_have_run});
    };
    if (job_.lookup_path.empty()) {
        unresolved();
        return;
    }
    std::make_shared<service_lookup>(
        context_, job_,
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
    if (job_.caller_key && !contested_) {
        ask_agents_without_record();
        return;
    }
    fail({error_code::platform_unavailable, "bookings need the platform, which does not answer",
          contested_ ? verdict::may_have_run : verdict::not_run});
}

void booking_run::ask_agents_without_record()
{
    // An earlier attempt under the caller's key may be on record. Unless every agent of the service
    // says that it does not know the key, "not run" would be a guess.
    const auto agents = context_.agents.agents_of(job_.service);
    struct tally {
        std::size_t waiting;
        bool known = false;
    };
    auto open = std::make_shared<tally>(tally{agents.size()});
    const auto conclude = [self = shared_from_this(), open] {
        self->fail({error_code::platform_unavailable,
                    "bookings need the platform, which does not answer",
                    open->known ? verdict::may_have_run : verdict::not_run});
    };
    if (agents.empty()) {
        conclude();
        return;
    }
    for (const auto& agent : agents) {
        const json parameters = {{"workspace", job_.key.workspace},
                                 {"key", job_.key.key},
                                 {"agent", to_string(agent.id)}};
        context_.rpc.call(agent.peers, "lookup", parameters, ask_timeout,
                          [open, conclude](const net::rpc_result& result) {
                              const auto report = parse_report(result);
                              open->known = open->known || (report != agent_report::unknown &&
                                                            report != agent_report::refused);
                              if (--open->waiting == 0) {
                                  conclude();
                              }
                          });
    }
}

} // namespace dotterelport::router
