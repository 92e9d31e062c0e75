#include "dotterelport/net/rpc.hpp"

#include <utility>

namespace dotterelport::net {
namespace {

rpc_result read_answer(const client_answer& answer)
{
    using status = rpc_result::status;
    if (answer.failed()) {
        const bool sent = answer.stage != failure_stage::connect;
        return {sent ? status::unknown : status::not_sent, nullptr, answer.message};
    }
    const json document = json::parse(answer.body, nullptr, false);
    if (!document.is_object()) {
        return {status::unknown, nullptr, "answer is not a JSON object"};
    }
    if (const auto found = document.find("result"); found != document.end()) {
        return {status::success, *found, ""};
    }
    const std::string message =
        document.value(json::json_pointer("/error/message"), std::string("unknown error"));
    return {status::refused, nullptr, message};
}

} // namespace

void rpc_client::call(const endpoint& to, const std::string& method, const json& parameters,
                      milliseconds timeout, std::function<void(const rpc_result&)> done)
{
    const json envelope = {
        {"jsonrpc", "2.0"}, {"id", 1}, {"method", method}, {"params", parameters}};
    client_request request;
    request.to = to;
    request.method = "POST";
    request.path = rpc_path;
    request.headers = {{"content-type", "application/json"}};
    request.body = envelope.dump();
    request.answer_timeout = timeout;
    request.idle_timeout = timeout;
    client_.fetch(request, [done = std::move(done)](const client_answer& answer) {
        done(read_answer(answer));
    });
}

} // namespace dotterelport::net
