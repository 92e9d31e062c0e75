#include "callers_server.hpp"

#include <utility>

#include "booking_run.hpp"

namespace dotterelport::router {
namespace {

/// The HTTP server accepts larger bodies than callers may send, so that the refusal is an error in
/// the format of the protocol. Beyond this limit the HTTP server itself answers with a plain 413.
constexpr std::size_t server_body_limit = 8 * max_caller_body_bytes;

constexpr milliseconds idle_connection_timeout{60'000};

/// Runs a stage of request processing. If it throws a caller_error, sends that as the answer.
template<typename Stage> void answer_errors(net::http_response& response, Stage stage)
{
    try {
        stage();
    } catch (const caller_error& failure) {
        send_error(response, failure);
    }
}

std::int64_t epoch_seconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(wall_clock_now()).count();
}

} // namespace

callers_server::callers_server(context environment)
    : context_(std::move(environment)),
      server_(context_.dispatch.loop, {.max_body_bytes = server_body_limit,
                                       .idle_timeout = idle_connection_timeout,
                                       .clients = context_.clients})
{
    server_.route("POST", "/v1/chat/completions",
                  [this](const auto& request, const auto& response) {
                      handle_request(request, response, check_chat_request);
                  });
    server_.route("*", std::string(services_prefix) + "*",
                  [this](const auto& request, const auto& response) {
                      handle_request(request, response, check_service_call);
                  });
    server_.route("GET", "/v1/models", [this](const auto& request, const auto& response) {
        answer_errors(*response, [&] {
            net::send_json(*response, 200, list_models(*require_ready(), request).dump());
        });
    });
    server_.route("*", "*", [](const auto& request, const auto& response) {
        send_error(*response, {error_code::unknown_route,
                               "no such route: " + request.method + " " + request.path});
    });
}

void callers_server::stop()
{
    stopped_ = true;
    server_.stop_listening();
}

config::snapshot_ptr callers_server::require_ready() const
{
    if (stopped_) {
        throw caller_error(error_code::leaving, "this router is stopping");
    }
    if (const auto reason = context_.not_ready_reason(); !reason.empty()) {
        throw caller_error(error_code::not_ready, "this router is not ready: " + reason);
    }
    return context_.dispatch.configuration();
}

void callers_server::handle_request(const net::http_request& request, const response_ptr& response,
                                    intake_stage stage)
{
    answer_errors(*response, [&] {
        const auto configuration = require_ready();
        dispatch(stage({*configuration, request, steady_now(), context_.dispatch.random}),
                 response);
    });
}

void callers_server::dispatch(checked_request accepted, const response_ptr& response)
{
    answer reply = make_answer(accepted, response, epoch_seconds());
    if (accepted.idempotent) {
        run_idempotent(std::move(accepted), std::move(reply), response);
        return;
    }
    auto on_finished = begin_request(accepted.service);
    std::make_shared<booking_run>(context_.dispatch, std::move(accepted), std::move(reply),
                                  std::move(on_finished))
        ->start();
}

void callers_server::run_idempotent(checked_request accepted, answer reply,
                                    const response_ptr& response)
{
    auto on_finished = begin_request(accepted.service);
    auto run = std::make_shared<request_run>(context_.dispatch, std::move(accepted),
                                             std::move(reply), std::move(on_finished));
    response->on_close([weak = std::weak_ptr(run)] {
        if (const auto running = weak.lock()) {
            running->handle_caller_disconnect();
        }
    });
    run->start();
}

std::function<void(const caller_error*)> callers_server::begin_request(const std::string& service)
{
    context_.counters.set_in_progress(++in_progress_);
    return [this, service, started = steady_now()](const caller_error* failure) {
        context_.counters.set_in_progress(--in_progress_);
        context_.counters.count_request(
            service, failure == nullptr ? "ok" : std::string(to_string(failure->code())),
            steady_now() - started);
    };
}

} // namespace dotterelport::router
