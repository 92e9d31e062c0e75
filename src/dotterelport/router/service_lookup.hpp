#ifndef DOTTERELPORT_ROUTER_SERVICE_LOOKUP_HPP
#define DOTTERELPORT_ROUTER_SERVICE_LOOKUP_HPP

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "request_run.hpp"

namespace dotterelport::router {

/// Asks the service itself, through live agents, whether a call with a key ran. Only a positive
/// answer counts: the backend servers of a service need not share their state, so a negative answer
/// of one proves nothing about the others.
class service_lookup : public std::enable_shared_from_this<service_lookup> {
public:
    /// @param done receives the service's answer if the call ran, otherwise nullopt
    service_lookup(dispatch_context& context, const checked_request& booking,
                   std::function<void(const std::optional<json>&)> done);

    /// @param former_agent agent that received the call; an agent on the same node is asked first
    void start(const incarnation& former_agent);

private:
    void ask_next();
    void receive_result(const attempt_result& result);
    void finish(const std::optional<json>& found);

    dispatch_context& context_;
    checked_request request_;
    std::function<void(const std::optional<json>&)> done_;
    std::vector<membership::node_record> candidates_;
    std::shared_ptr<agent_attempt> attempt_;
    json answer_data_;
};

} // namespace dotterelport::router

#endif
