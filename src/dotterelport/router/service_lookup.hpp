#ifndef DOTTERELPORT_ROUTER_SERVICE_LOOKUP_HPP
#define DOTTERELPORT_ROUTER_SERVICE_LOOKUP_HPP

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "request_run.hpp"

namespace dotterelport::router {

/// Asks the service itself, through live agents, whether a call with a key ran. Only a positive
/// answer counts: backend servers of a service need not share what they know, so that a negative
/// one proves nothing about another backend server.
class service_lookup : public std::enable_shared_from_this<service_lookup> {
public:
    /// @param done the service's answer if the call ran, else nothing
    service_lookup(dispatch_context& context, const job& booking,
                   std::function<void(const std::optional<json>&)> done);

    /// @param former agent that had the call; the same node is asked first
    void start(const incarnation& former);

private:
    void ask_next();
    void take(const attempt_result& result);
    void finish(const std::optional<json>& found);

    dispatch_context& context_;
    job job_;
    std::function<void(const std::optional<json>&)> done_;
    std::vector<membership::node_record> candidates_;
    std::shared_ptr<agent_attempt> attempt_;
    json data_;
};

} // namespace dotterelport::router

#endif
