#include "dotterelport/process/limited_clients.hpp"

namespace dotterelport::process {
namespace {

constexpr milliseconds log_interval{1'000};

} // namespace

limited_clients::limited_clients(net::event_loop& loop, prometheus::Registry& registry,
                                 options settings)
    : loop_(loop), settings_(std::move(settings)),
      counters_(prometheus::BuildCounter()
                    .Name(settings_.metric)
                    .Help("Clients that gave way to the limits of all clients together")
                    .Register(registry))
{}

limited_clients::~limited_clients()
{
    loop_.cancel(timer_);
}

void limited_clients::observe(const std::string& name, net::http_server& server)
{
    servers_[name] = &server;
    server.on_limit([this, name](net::limit_cause cause) { record(name, cause); });
}

json limited_clients::dump() const
{
    json result = json::object();
    for (const auto& [name, server] : servers_) {
        result[name] = {{"bytes", server->held_bytes()},
                        {"connections", server->connection_count()}};
    }
    return result;
}

void limited_clients::record(const std::string& server, net::limit_cause cause)
{
    const std::string cause_name(net::to_string(cause));
    counters_.Add({{"server", server}, {"cause", cause_name}}).Increment();
    ++unlogged_[server][cause_name];
    if (timer_ == 0) {
        timer_ = loop_.schedule(log_interval, [this] { write_log(); });
    }
}

void limited_clients::write_log()
{
    timer_ = 0;
    log(settings_.event, {{"limited", std::exchange(unlogged_, {})}, {"held", dump()}});
}

} // namespace dotterelport::process
