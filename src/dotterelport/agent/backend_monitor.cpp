#include "dotterelport/agent/backend_monitor.hpp"

#include <string>

#include "dotterelport/agent/events.hpp"

namespace dotterelport::agent {
namespace {

constexpr milliseconds poll_timeout{2'000};
constexpr int status_ok = 200;

std::uint64_t count_of(const json& object, const char* name)
{
    const json count = object.value(name, json());
    return count.is_number_unsigned() ? count.get<std::uint64_t>() : 0;
}

} // namespace

backend_monitor::backend_monitor(net::event_loop& loop, const net::endpoint& address,
                                 milliseconds interval)
    : client_(loop), address_(address), timer_(loop, interval, [this] { poll(); })
{}

void backend_monitor::poll()
{
    if (!is_enabled_) {
        return;
    }
    if (!is_load_poll_in_flight_) {
        poll_load();
    }
    if (!is_cache_poll_in_flight_) {
        poll_cache();
    }
}

void backend_monitor::poll_load()
{
    is_load_poll_in_flight_ = true;
    net::client_request request;
    request.to = address_;
    request.path = "/load";
    request.answer_timeout = poll_timeout;
    client_.fetch(request, [this](const net::client_answer& answer) {
        is_load_poll_in_flight_ = false;
        is_reachable_ = !answer.failed();
        if (answer.failed() && answer.stage == net::failure_stage::connect) {
            // The engine went down; its next process starts with an empty cache.
            cache_.clear();
            has_report_ = false;
        }
        const json report = json::parse(answer.body, nullptr, false);
        if (answer.status != status_ok || !report.is_object()) {
            return;
        }
        has_report_ = true;
        const json tokens_per_second = report.value("tokens_per_second", json(0));
        load_ = {count_of(report, "running"), count_of(report, "waiting"),
                 count_of(report, "capacity"),
                 tokens_per_second.is_number() ? tokens_per_second.get<double>() : 0.0};
    });
}

void backend_monitor::poll_cache()
{
    is_cache_poll_in_flight_ = true;
    net::client_request request;
    request.to = address_;
    request.path = "/cache_events?since=" + std::to_string(cache_.sequence());
    request.answer_timeout = poll_timeout;
    client_.fetch(request, [this](const net::client_answer& answer) {
        is_cache_poll_in_flight_ = false;
        if (answer.status == status_ok &&
            cache_.apply_events(json::parse(answer.body, nullptr, false))) {
            log(events::cache_event_gap, {{"sequence", cache_.sequence()}});
        }
    });
}

} // namespace dotterelport::agent
