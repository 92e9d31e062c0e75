#include "service_lookup.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::router {
namespace {

constexpr std::size_t max_candidates = 3;
constexpr milliseconds lookup_timeout{3'000};
constexpr int status_ok = 200;

/// Makes the call that asks the service about a booking. The call has no budget, so it is neither
/// reserved nor billed, because the caller did not request it.
checked_request make_lookup(const checked_request& booking, std::mt19937_64& random)
{
    checked_request result = booking;
    result.key.key = "lookup-" + hash128_hex(booking.key.key + std::to_string(random()));
    result.has_caller_key = false;
    result.idempotent = true;
    result.upper_tokens = 0;
    result.budget.clear();
    result.payload = {{"method", "GET"},
                      {"path", booking.lookup_path},
                      {"headers", json::object()},
                      {"body", ""}};
    result.digest = hash128_hex(result.payload.dump());
    result.deadline = steady_now() + lookup_timeout;
    return result;
}

/// A service may answer 200 in any case and report by a field "ran" whether the call ran.
bool reports_ran(const json& data)
{
    if (!data.is_object() || data.value("status", 0) != status_ok) {
        return false;
    }
    const json body = json::parse(data.value("body", std::string()), nullptr, false);
    return !body.is_object() || body.value("ran", json(true)) != json(false);
}

} // namespace

service_lookup::service_lookup(dispatch_context& context, const checked_request& booking,
                               std::function<void(const std::optional<json>&)> done)
    : context_(context), request_(make_lookup(booking, context.random)), done_(std::move(done))
{}

void service_lookup::start(const incarnation& former_agent)
{
    candidates_ = context_.agents.agents_of(request_.service);
    std::stable_sort(
        candidates_.begin(), candidates_.end(), [&](const auto& left, const auto& right) {
            return (left.id.node == former_agent.node) > (right.id.node == former_agent.node);
        });
    candidates_.resize(std::min(candidates_.size(), max_candidates));
    std::reverse(candidates_.begin(), candidates_.end());
    ask_next();
}

void service_lookup::ask_next()
{
    if (candidates_.empty()) {
        finish(std::nullopt);
        return;
    }
    const auto agent = candidates_.back();
    candidates_.pop_back();
    const reserve_result no_reservation{.status = reserve_status::reserved,
                                        .holder = context_.self(),
                                        .holder_address = {},
                                        .agent = agent.id};
    auto admission =
        make_admission(request_, no_reservation, context_.configuration()->generation());
    answer_data_ = nullptr;
    attempt_handler handler;
    handler.on_chunk = [self = shared_from_this()](const json& data) { self->answer_data_ = data; };
    handler.on_done = [self = shared_from_this()](const attempt_result& result) {
        self->receive_result(result);
    };
    attempt_ = std::make_shared<agent_attempt>(
        agent_attempt::context{context_.loop, context_.http, context_.rpc, context_.is_gone},
        std::move(admission), agent.peer_address, std::move(handler));
    attempt_->start();
}

void service_lookup::receive_result(const attempt_result& result)
{
    attempt_ = nullptr;
    if (std::holds_alternative<request::end_frame>(result) && reports_ran(answer_data_)) {
        finish(answer_data_);
        return;
    }
    ask_next();
}

void service_lookup::finish(const std::optional<json>& found)
{
    attempt_ = nullptr;
    if (const auto done = std::exchange(done_, nullptr)) {
        done(found);
    }
}

} // namespace dotterelport::router
