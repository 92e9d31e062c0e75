#include "dotterelport/agent/backend.hpp"

#include <utility>

#include "dotterelport/agent/events.hpp"

namespace dotterelport::agent {
namespace {

/// Limit of the probe that follows a timeout.
constexpr milliseconds probe_timeout{1'000};

} // namespace

backend::run_entry::run_entry(request::request_kind kind, const std::string& method,
                              handler run_callbacks, net::buffer_budget& buffers)
    : callbacks(std::move(run_callbacks)), held(buffers)
{
    if (kind == request::request_kind::chat) {
        reader.emplace(std::in_place_type<chat_answer>, callbacks.on_chunk);
    } else {
        reader.emplace(std::in_place_type<call_answer>, callbacks.on_chunk, method);
    }
}

backend::backend(net::event_loop& loop, const net::endpoint& address)
    : loop_(loop), address_(address), client_(loop)
{}

backend::run_id backend::start(request::request_kind kind, const net::client_request& request,
                               handler callbacks)
{
    const run_id run = ++last_run_id_;
    auto entry =
        std::make_shared<run_entry>(kind, request.method, std::move(callbacks), client_.buffers());
    net::answer_handler answer;
    answer.on_head = [entry](int status, const net::header_list& headers) {
        std::visit([&](auto& reader) { reader.receive_head(status, headers); }, *entry->reader);
    };
    answer.on_data = [this, entry, run](std::string_view data) {
        const bool fits = std::visit(
            [&](auto& reader) {
                reader.receive_data(data);
                return !reader.is_too_large() && entry->held.resize(reader.held_bytes());
            },
            *entry->reader);
        if (!fits) {
            end_as_too_large(run);
        }
    };
    answer.on_complete = [this, entry, run] {
        const auto result =
            std::visit([](auto& reader) { return reader.complete(); }, *entry->reader);
        if (result) {
            end(run, *result);
        } else {
            end_as_crashed(run, "the answer ended early");
        }
    };
    answer.on_failure = [this, run](net::failure_stage stage, const std::string& message) {
        if (stage == net::failure_stage::connect) {
            log(events::backend_unreachable, {{"message", message}});
            end(run, {verdict::not_run, request::failure_reason::backend_unreachable, message, {}});
        } else if (message == net::timeout_message) {
            end_after_timeout(run, message);
        } else {
            end_as_crashed(run, message);
        }
    };
    entry->exchange = client_.start(request, std::move(answer));
    runs_.emplace(run, std::move(entry));
    return run;
}

void backend::cancel(run_id run)
{
    const auto found = runs_.find(run);
    if (found != runs_.end()) {
        client_.cancel(found->second->exchange);
        runs_.erase(found);
    }
}

void backend::end(run_id run, const backend_result& result)
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    const auto entry = std::move(found->second);
    runs_.erase(found);
    entry->callbacks.on_end(result);
}

void backend::end_as_crashed(run_id run, const std::string& message)
{
    log(events::backend_crashed, {{"message", message}});
    end(run, {verdict::may_have_run, request::failure_reason::backend_crashed, message, {}});
}

void backend::end_as_too_large(run_id run)
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    const std::string message(net::too_large_message);
    log(events::backend_failed, {{"message", message}});
    client_.cancel(found->second->exchange);
    end(run, {verdict::may_have_run, request::failure_reason::backend_error, message, {}});
}

void backend::end_after_timeout(run_id run, const std::string& message)
{
    if (!runs_.contains(run)) {
        return;
    }
    net::client_request probe;
    probe.to = address_;
    probe.headers = {{"connection", "close"}};
    probe.answer_timeout = probe_timeout;
    client_.fetch(probe, [this, run, message](const net::client_answer& answer) {
        if (answer.failed() && answer.stage == net::failure_stage::connect) {
            end_as_crashed(run, message);
            return;
        }
        log(events::backend_failed, {{"message", message}});
        end(run, {verdict::may_have_run, request::failure_reason::backend_error, message, {}});
    });
}

} // namespace dotterelport::agent
