#include "dotterelport/ctl/session.hpp"

namespace dotterelport::ctl {
namespace {

constexpr milliseconds retry_delay{300};

/// Timeout of an RPC call to a daemon. Daemons answer these calls from memory.
constexpr milliseconds daemon_timeout{2'000};

} // namespace

const std::string& session::only_argument(const std::string& description) const
{
    if (options_.arguments.size() != 1) {
        throw usage_error(options_.command + " needs one argument: " + description);
    }
    return options_.arguments.front();
}

void session::require_no_arguments() const
{
    if (!options_.arguments.empty()) {
        throw usage_error(options_.command + " takes no argument");
    }
}

object_store::listing session::list(const std::string& prefix)
{
    return read<object_store::listing>(
        [&](auto done) { platform_.list(prefix, 0, std::move(done)); },
        [](const object_store::listing& objects) { return objects.available; });
}

config::accepted_configuration session::read_configuration()
{
    using result = std::optional<config::accepted_configuration>;
    return *read<result>([&](auto done) { config::read_accepted(platform_, std::move(done)); },
                         [](const result& configuration) { return configuration.has_value(); });
}

std::vector<net::rpc_result> session::call_all(const std::vector<net::endpoint>& processes,
                                               const std::string& method)
{
    using results = std::vector<net::rpc_result>;
    if (processes.empty()) {
        return {};
    }
    return wait<results>([&](auto done) {
        auto answers = std::make_shared<results>(processes.size());
        auto unanswered = std::make_shared<std::size_t>(processes.size());
        for (std::size_t i = 0; i < processes.size(); ++i) {
            rpc_.call(processes[i], method, json::object(), daemon_timeout,
                      [answers, unanswered, done, i](const net::rpc_result& result) {
                          (*answers)[i] = result;
                          if (--*unanswered == 0) {
                              done(*answers);
                          }
                      });
        }
    });
}

void session::pause_before_retry(milliseconds deadline)
{
    if (steady_now() >= deadline) {
        throw platform_unavailable("the platform at " + to_string(options_.platform) +
                                   " did not answer");
    }
    loop_.run_for(retry_delay);
}

} // namespace dotterelport::ctl
