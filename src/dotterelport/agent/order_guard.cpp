#include "dotterelport/agent/order_guard.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/agent/events.hpp"
#include "dotterelport/net/rpc.hpp"

namespace dotterelport::agent {
namespace {

constexpr milliseconds order_timeout{10'000};
constexpr int status_ok = 200;

} // namespace

void order_guard::handle(const json& order, std::function<void(const json&)> done)
{
    const json number = order.value("fencing", json());
    if (!number.is_number_unsigned() || !order.value("action", json()).is_string()) {
        throw net::rpc_error("an order needs fencing and action");
    }
    const auto fencing = number.get<std::uint64_t>();
    if (fencing < highest_fencing_) {
        log(events::order_refused, {{"fencing", fencing}, {"highest", highest_fencing_}});
        done({{"accepted", false}, {"highest_fencing", highest_fencing_}});
        return;
    }
    // Raised before the engine answers, so that an older order that arrives meanwhile is refused.
    highest_fencing_ = fencing;
    json body = order;
    body.erase("agent");
    net::client_request request;
    request.to = address_;
    request.method = "POST";
    request.path = "/orders";
    request.headers = {{"content-type", "application/json"}};
    request.body = body.dump();
    request.answer_timeout = order_timeout;
    client_.fetch(request, [this, done = std::move(done)](const net::client_answer& answer) {
        const json reply = json::parse(answer.body, nullptr, false);
        if (reply.is_object() && reply.value("highest_fencing", json()).is_number_unsigned()) {
            highest_fencing_ =
                std::max(highest_fencing_, reply["highest_fencing"].get<std::uint64_t>());
        }
        const bool accepted = answer.status == status_ok && reply.is_object() &&
                              reply.value("accepted", json(true)) == json(true);
        done({{"accepted", accepted}, {"highest_fencing", highest_fencing_}});
    });
}

} // namespace dotterelport::agent
