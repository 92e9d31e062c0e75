#include "dotterelport/ctl/commands.hpp"
#include "dotterelport/ctl/explanation_table.hpp"
#include "dotterelport/net/http.hpp"

namespace dotterelport::ctl {
namespace {

constexpr std::size_t argument_count = 3;

std::string number_parameter(const std::string& name, std::int64_t value)
{
    if (value < 0) {
        throw usage_error(name + " must not be negative");
    }
    return "&" + name + "=" + std::to_string(value);
}

std::string query_path(const options& settings)
{
    const auto& target = settings.arguments.at(2);
    const auto slash = target.find('/');
    if (slash == 0 || slash == std::string::npos) {
        throw usage_error("\"" + target + "\" is not of the form HOST/PATH");
    }
    std::string result = "/explain?method=" + net::percent_encode(settings.arguments.at(1)) +
                         "&host=" + net::percent_encode(target.substr(0, slash)) +
                         "&path=" + net::percent_encode(target.substr(slash)) +
                         "&workspace=" + net::percent_encode(settings.workspace) +
                         "&parts=" + net::percent_encode(settings.parts) +
                         number_parameter("prompt_tokens", settings.prompt_tokens) +
                         number_parameter("output_tokens", settings.output_tokens);
    if (settings.deadline_ms) {
        result += number_parameter("deadline_ms", *settings.deadline_ms);
    }
    return result;
}

net::endpoint parse_address(const std::string& text)
{
    try {
        return net::parse_endpoint(text);
    } catch (const error& failure) {
        throw usage_error(failure.what());
    }
}

} // namespace

exit_status explain(session& context)
{
    const auto& settings = context.settings();
    if (settings.arguments.size() != argument_count) {
        throw usage_error("explain needs three arguments: ip:port of a gateway's operators' port, "
                          "method, and host/path of the request");
    }
    const auto address = parse_address(settings.arguments.front());
    const std::string path = query_path(settings);
    const auto answer = context.wait<net::client_answer>(
        [&](auto done) { context.http().fetch({.to = address, .path = path}, std::move(done)); });
    if (answer.failed()) {
        throw error("no answer from " + to_string(address) + ": " + answer.message);
    }
    constexpr int ok = 200;
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status != ok) {
        const bool has_reason = body.is_object() && body.contains("error");
        throw error(to_string(address) + " answered with " + std::to_string(answer.status) +
                    (has_reason ? ": " + body.at("error").get<std::string>()
                                : ", it explains no requests"));
    }
    if (body.is_discarded()) {
        throw error(to_string(address) + " did not answer with an explanation");
    }
    if (settings.as_json) {
        constexpr int indent = 2;
        context.out() << body.dump(indent) << '\n';
    } else {
        print_explanation(body, context.out());
    }
    return exit_status::success;
}

} // namespace dotterelport::ctl
