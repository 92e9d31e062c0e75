#include "dotterelport/standin/platform_server.hpp"

#include <charconv>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/object_store/wire.hpp"

namespace dotterelport::standin {
namespace {

/// Allows for values that become several times longer when they are escaped as JSON strings.
constexpr std::size_t max_body_bytes = 8 * object_store::max_value_bytes;

constexpr std::string_view objects_path = "/v1/objects/";

/// Thrown for a call with an invalid parameter or field.
class bad_request : public error {
public:
    using error::error;
};

json error_body(const std::string& message)
{
    return {{"error", {{"message", message}}}};
}

std::uint64_t number_parameter(const net::http_request& request, std::string_view name)
{
    const std::string text = request.parameter(name).value_or("0");
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [last, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || last != end) {
        throw bad_request("parameter " + std::string(name) + " must be a number");
    }
    return value;
}

std::string key_of(call_kind kind, const net::http_request& request)
{
    switch (kind) {
    case call_kind::read:
    case call_kind::write:
    case call_kind::remove:
        return net::percent_decode(std::string_view(request.path).substr(objects_path.size()));
    case call_kind::list:
    case call_kind::watch:
        return request.parameter("prefix").value_or("");
    case call_kind::vms:
        break;
    }
    return "";
}

} // namespace

platform_server::platform_server(net::event_loop& loop, const options& settings)
    : loop_(loop), server_(loop, {.max_body_bytes = max_body_bytes}), vms_(settings.vm_lag),
      write_limiter_(settings.writes_per_second), read_limiter_(settings.reads_per_second)
{
    add_api_routes();
    add_control_routes();
    address_ = server_.listen(settings.address);
}

void platform_server::add_api_routes()
{
    add_call("GET", "/v1/objects/*", call_kind::read);
    add_call("PUT", "/v1/objects/*", call_kind::write);
    add_call("DELETE", "/v1/objects/*", call_kind::remove);
    add_call("GET", "/v1/objects", call_kind::list);
    add_call("GET", "/v1/watch", call_kind::watch);
    add_call("GET", "/v1/vms", call_kind::vms);
}

void platform_server::add_call(const std::string& method, const std::string& path, call_kind kind)
{
    server_.route(method, path,
                  [this, kind](const net::http_request& request, const response_ptr& response) {
                      handle_call({kind, key_of(kind, request), request, response});
                  });
}

void platform_server::add_control_routes()
{
    const auto control = [this](const std::string& path,
                                json (platform_server::*change)(const json&)) {
        server_.route("POST", path, [this, change](const auto& request, const auto& response) {
            try {
                send_json(*response, 200, (this->*change)(json::parse(request.body)).dump());
            } catch (const std::exception& failure) {
                send_json(*response, 400, error_body(failure.what()).dump());
            }
        });
    };
    control("/standin/faults", &platform_server::change_faults);
    control("/standin/vms", &platform_server::change_vm);
    server_.route("GET", "/standin/counters", [this](const auto&, const auto& response) {
        const json body = {{"calls", counters_.to_json()},
                           {"objects", objects_.size()},
                           {"revision", objects_.revision()},
                           {"waiting_watches", watches_.size()}};
        send_json(*response, 200, body.dump());
    });
}

void platform_server::handle_call(const api_call& call)
{
    auto& counter = counters_.at(call.kind, call.key);
    ++counter.calls;
    counter.bytes_in +=
        call.request.path.size() + call.request.query.size() + call.request.body.size();
    if (faults_.outage) {
        ++counter.refused_in_outage;
        answer(call, 503, error_body("outage"));
        return;
    }
    if (!(is_write(call.kind) ? write_limiter_ : read_limiter_).try_acquire(steady_now())) {
        ++counter.rate_limited;
        answer(call, 429, error_body("rate limit"));
        return;
    }
    if (faults_.call_delay > milliseconds{0}) {
        loop_.schedule(faults_.call_delay, [this, call] { execute(call); });
    } else {
        execute(call);
    }
}

void platform_server::execute(const api_call& call)
{
    try {
        switch (call.kind) {
        case call_kind::read:
            return read(call);
        case call_kind::write:
            return write(call);
        case call_kind::remove:
            return remove(call);
        case call_kind::list:
            return list(call);
        case call_kind::watch:
            return watch(call);
        case call_kind::vms:
            return answer(call, 200, to_json(vms_.visible(steady_now())));
        }
    } catch (const json::exception& failure) {
        answer(call, 400, error_body(failure.what()));
    } catch (const bad_request& failure) {
        answer(call, 400, error_body(failure.what()));
    }
}

void platform_server::answer(const api_call& call, int status, const json& body)
{
    const std::string text = body.dump();
    counters_.at(call.kind, call.key).bytes_out += text.size();
    send_json(*call.response, status, text);
}

void platform_server::read(const api_call& call)
{
    const auto result = objects_.read(call.key);
    if (result.status == object_store::read_status::absent) {
        answer(call, 404, error_body("no such object"));
        return;
    }
    answer(call, 200, to_json(result.value));
}

void platform_server::write(const api_call& call)
{
    const json body = json::parse(call.request.body);
    std::optional<object_store::version> if_version;
    if (body.contains("if_version")) {
        if_version = body.at("if_version").get<object_store::version>();
    }
    answer_write(call, objects_.write(call.key, body.at("value").get<std::string>(), if_version));
}

void platform_server::remove(const api_call& call)
{
    answer_write(call, objects_.remove(call.key, number_parameter(call.request, "if_version")));
}

void platform_server::answer_write(const api_call& call, const object_store::write_result& result)
{
    if (faults_.answers_to_lose > 0 && result.status == object_store::write_status::applied) {
        --faults_.answers_to_lose;
        ++counters_.at(call.kind, call.key).lost_answers;
        call.response->abort();
        return;
    }
    const json body = {{"version", result.object_version}};
    switch (result.status) {
    case object_store::write_status::applied:
        return answer(call, 200, body);
    case object_store::write_status::too_large:
        return answer(call, 413, body);
    default:
        return answer(call, 409, body);
    }
}

void platform_server::list(const api_call& call)
{
    answer(call, 200, to_json(objects_.list(call.key, number_parameter(call.request, "since"))));
}

void platform_server::watch(const api_call& call)
{
    const auto since = number_parameter(call.request, "since");
    const milliseconds timeout{number_parameter(call.request, "timeout_ms")};
    const std::uint64_t id = ++last_watch_id_;
    watches_.emplace(id, waiting_watch{call, 0, 0});
    const auto watch =
        objects_.watch(call.key, since, [this, id](const object_store::listing& changes) {
            finish_watch(id, 200, to_json(changes));
        });
    const auto found = watches_.find(id);
    if (found == watches_.end()) {
        return;
    }
    found->second.watch = watch;
    found->second.timer = loop_.schedule(timeout, [this, id, since] {
        const auto waiting = watches_.find(id);
        if (waiting != watches_.end()) {
            finish_watch(id, 200, to_json(objects_.list(waiting->second.call.key, since)));
        }
    });
}

void platform_server::finish_watch(std::uint64_t id, int status, const json& body)
{
    const auto node = watches_.extract(id);
    if (node.empty()) {
        return;
    }
    loop_.cancel(node.mapped().timer);
    objects_.cancel(node.mapped().watch);
    answer(node.mapped().call, status, body);
}

void platform_server::set_faults(const platform_faults& faults)
{
    faults_ = faults;
    while (faults_.outage && !watches_.empty()) {
        finish_watch(watches_.begin()->first, 503, error_body("outage"));
    }
}

json platform_server::change_faults(const json& changes)
{
    platform_faults faults = faults_;
    faults.outage = changes.value("outage", faults.outage);
    faults.call_delay = milliseconds{changes.value("slow_ms", faults.call_delay.count())};
    faults.answers_to_lose = changes.value("lose_answers", faults.answers_to_lose);
    set_faults(faults);
    return {{"outage", faults_.outage},
            {"slow_ms", faults_.call_delay.count()},
            {"lose_answers", faults_.answers_to_lose}};
}

json platform_server::change_vm(const json& change)
{
    const auto state = change.at("state").get<std::string>();
    const auto parsed = object_store::parse_vm_state(state);
    if (!parsed && state != "gone") {
        throw bad_request("state must be live, leaving or gone");
    }
    vms_.set(change.at("vm").get<std::string>(), parsed, steady_now());
    return json::object();
}

} // namespace dotterelport::standin
