#include "dotterelport/standin/service.hpp"

#include <utility>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/standin/engine.hpp"
#include "dotterelport/standin/events.hpp"

namespace dotterelport::standin {
namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

/// Decoded part of a path after its last slash.
std::string last_segment(const std::string& path)
{
    return net::percent_decode(path.substr(path.rfind('/') + 1));
}

} // namespace

service::service(net::event_loop& loop, const options& settings)
    : loop_(loop), settings_(settings), server_(loop)
{
    add_routes();
    add_control_routes();
}

service::~service()
{
    simulate_kill();
}

net::endpoint service::listen(const net::endpoint& address)
{
    return server_.listen(address);
}

void service::simulate_kill()
{
    server_.stop_listening();
    for (const response_ptr& response : std::exchange(open_responses_, {})) {
        response->on_close(nullptr);
        response->start(status_ok, {});
        response->abort();
    }
}

void service::set_faults(const json& faults)
{
    settings_.latency = milliseconds{faults.value("latency_ms", settings_.latency.count())};
    silent_ = faults.value("silent", silent_);
    error_status_ = faults.value("error_status", error_status_);
    log(events::standin_faults_set, {{"faults", faults}});
}

void service::add_routes()
{
    server_.route("POST", "/bookings",
                  [this](const net::http_request& request, const response_ptr& response) {
                      book(request, response);
                  });
    server_.route("GET", "/bookings/*",
                  [this](const net::http_request& request, const response_ptr& response) {
                      const auto found = booking_answers_.find(last_segment(request.path));
                      if (found == booking_answers_.end()) {
                          answer_later(response, status_not_found, R"({"ran":false})");
                          return;
                      }
                      const json answer = {
                          {"ran", true}, {"status", status_created}, {"answer", found->second}};
                      answer_later(response, status_ok, answer.dump());
                  });
    server_.route(
        "GET", "/stock/*", [this](const net::http_request& request, const response_ptr& response) {
            constexpr std::uint64_t max_quantity = 1000;
            const std::string item = last_segment(request.path);
            const auto key = request.header("Idempotency-Key");
            if (key) {
                auto& counter = counters_.entry_for(std::string(*key));
                ++counter.runs;
                ++counter.finished;
            }
            const json answer = {{"item", item},
                                 {"quantity", hash64(item, settings_.seed) % max_quantity},
                                 {"key", std::string(key.value_or(""))}};
            answer_later(response, status_ok, answer.dump());
        });
}

void service::add_control_routes()
{
    server_.route("GET", "/standin/counters",
                  [this](const net::http_request&, const response_ptr& response) {
                      json answer = counters_.to_json();
                      answer["bookings"] = last_booking_;
                      send_json(*response, status_ok, answer.dump());
                  });
    server_.route(
        "POST", "/standin/faults",
        [this](const net::http_request& request, const response_ptr& response) {
            try {
                set_faults(json::parse(request.body));
                send_json(*response, status_ok, "{}");
            } catch (const json::exception& failure) {
                send_json(*response, status_bad_request, json{{"message", failure.what()}}.dump());
            }
        });
}

void service::book(const net::http_request& request, const response_ptr& response)
{
    const std::string key(request.header("Idempotency-Key").value_or(""));
    if (key.empty()) {
        answer_later(response, status_bad_request, R"({"message":"Idempotency-Key required"})");
        return;
    }
    if (error_status_ != 0) {
        answer_later(response, error_status_, R"({"message":"fault"})");
        return;
    }
    auto& counter = counters_.entry_for(key);
    ++counter.runs;
    const json answer = {{"booking", ++last_booking_},
                         {"key", key},
                         {"run", counter.runs},
                         {"request", json::parse(request.body, nullptr, false)}};
    booking_answers_[key] = answer;
    log(events::standin_call_ran, {{"key", key}, {"runs", counter.runs}});
    if (settings_.crash_on_marker && request.body.find(crash_marker) != std::string::npos) {
        log(events::standin_crashed);
        open_responses_.insert(response);
        on_crash_ ? on_crash_() : simulate_kill();
        return;
    }
    ++counter.finished;
    answer_later(response, status_created,
                 answer.dump(-1, ' ', false, json::error_handler_t::replace));
}

void service::answer_later(const response_ptr& response, int status, std::string body)
{
    open_responses_.insert(response);
    response->on_close(
        [this, weak = std::weak_ptr(response)] { open_responses_.erase(weak.lock()); });
    if (silent_) {
        return;
    }
    loop_.schedule(settings_.latency,
                   [this, alive = std::weak_ptr(alive_), response, status, body = std::move(body)] {
                       if (!alive.expired() && open_responses_.erase(response) > 0) {
                           response->on_close(nullptr);
                           send_json(*response, status, body);
                       }
                   });
}

} // namespace dotterelport::standin
