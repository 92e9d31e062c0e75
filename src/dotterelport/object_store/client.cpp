#include "dotterelport/object_store/client.hpp"

#include <utility>

#include "dotterelport/base/json.hpp"
#include "dotterelport/object_store/wire.hpp"

namespace dotterelport::object_store {
namespace {

constexpr milliseconds call_timeout{5'000};

/// Longer answer times count as trouble; a platform without trouble answers in milliseconds.
constexpr milliseconds slow_answer_threshold{500};

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;

std::string object_path(const std::string& key)
{
    return "/v1/objects/" + net::percent_encode(key);
}

/// @brief Parses the body of a successful answer.
/// @param parse throws json::exception if the body has another form
/// @return false if the answer was not successful or has another form
template<typename Result, typename Parser>
bool read_body(const net::client_answer& answer, Result& result, Parser parse)
{
    if (answer.status != status_ok) {
        return false;
    }
    try {
        result = parse(json::parse(answer.body));
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

write_result read_write_answer(const net::client_answer& answer)
{
    if (answer.failed()) {
        const bool sent = answer.stage != net::failure_stage::connect;
        return {sent ? write_status::unknown : write_status::unavailable, 0};
    }
    const json body = json::parse(answer.body, nullptr, false);
    const bool has_version =
        body.is_object() && body.contains("version") && body["version"].is_number_unsigned();
    const version at = has_version ? body["version"].get<version>() : 0;
    switch (answer.status) {
    case status_ok:
        return {has_version ? write_status::applied : write_status::unknown, at};
    case status_conflict:
        return {has_version ? write_status::conflict : write_status::unknown, at};
    case status_too_large:
        return {write_status::too_large, at};
    default:
        return {write_status::unavailable, 0};
    }
}

} // namespace

struct client::state {
    net::http_client& http;
    net::endpoint address;
    std::uint64_t calls = 0;
    std::optional<milliseconds> trouble_since;

    void record_answer(const net::client_answer& answer, milliseconds started, milliseconds now)
    {
        const bool unsuccessful = answer.failed() || answer.status >= 500 || answer.status == 429;
        if (!unsuccessful && now - started <= slow_answer_threshold) {
            trouble_since.reset();
        } else if (!trouble_since) {
            trouble_since = started;
        }
    }
};

client::client(net::http_client& http, const net::endpoint& address)
    : state_(std::make_shared<state>(state{http, address, 0, std::nullopt}))
{}

void client::send(net::client_request request, milliseconds wait_time,
                  std::function<void(const net::client_answer&)> done)
{
    ++state_->calls;
    request.answer_timeout = call_timeout + wait_time;
    request.idle_timeout = call_timeout;
    const milliseconds started = steady_now();
    // The answer may arrive after this client was destroyed, so the callback keeps the state alive.
    state_->http.fetch(request, [state = state_, started, wait_time,
                                 done = std::move(done)](const net::client_answer& answer) {
        state->record_answer(answer, started, steady_now() - wait_time);
        done(answer);
    });
}

void client::read(const std::string& key, std::function<void(const read_result&)> done)
{
    send({.to = state_->address, .path = object_path(key)}, milliseconds{0},
         [key, done = std::move(done)](const net::client_answer& answer) {
             read_result result;
             result.value.key = key;
             if (read_body(answer, result.value, parse_object)) {
                 result.status = read_status::found;
             } else if (answer.status == status_not_found) {
                 result.status = read_status::absent;
             }
             done(result);
         });
}

void client::write(const std::string& key, const std::string& value,
                   std::optional<version> if_version, std::function<void(const write_result&)> done)
{
    json body = {{"value", value}};
    if (if_version) {
        body["if_version"] = *if_version;
    }
    send({.to = state_->address,
          .method = "PUT",
          .path = object_path(key),
          .headers = {{"content-type", "application/json"}},
          .body = body.dump()},
         milliseconds{0}, [done = std::move(done)](const net::client_answer& answer) {
             done(read_write_answer(answer));
         });
}

void client::remove(const std::string& key, version if_version,
                    std::function<void(const write_result&)> done)
{
    send({.to = state_->address,
          .method = "DELETE",
          .path = object_path(key) + "?if_version=" + std::to_string(if_version)},
         milliseconds{0}, [done = std::move(done)](const net::client_answer& answer) {
             done(read_write_answer(answer));
         });
}

void client::list(const std::string& prefix, version since,
                  std::function<void(const listing&)> done)
{
    send({.to = state_->address,
          .path = "/v1/objects?prefix=" + net::percent_encode(prefix) +
                  "&since=" + std::to_string(since)},
         milliseconds{0}, [done = std::move(done)](const net::client_answer& answer) {
             listing result;
             read_body(answer, result, parse_listing);
             done(result);
         });
}

void client::watch(const std::string& prefix, version since, milliseconds timeout,
                   std::function<void(const listing&)> done)
{
    send({.to = state_->address,
          .path = "/v1/watch?prefix=" + net::percent_encode(prefix) + "&since=" +
                  std::to_string(since) + "&timeout_ms=" + std::to_string(timeout.count())},
         timeout, [done = std::move(done)](const net::client_answer& answer) {
             listing result;
             read_body(answer, result, parse_listing);
             done(result);
         });
}

void client::vms(std::function<void(const vm_listing&)> done)
{
    send({.to = state_->address, .path = "/v1/vms"}, milliseconds{0},
         [done = std::move(done)](const net::client_answer& answer) {
             vm_listing result;
             read_body(answer, result, parse_vm_listing);
             done(result);
         });
}

milliseconds client::trouble_duration() const
{
    return state_->trouble_since ? steady_now() - *state_->trouble_since : milliseconds{0};
}

std::uint64_t client::calls() const
{
    return state_->calls;
}

} // namespace dotterelport::object_store
