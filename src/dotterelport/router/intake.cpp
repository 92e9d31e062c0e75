#include "intake.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>

#include "caller_error.hpp"
#include "chat_request.hpp"
#include "dotterelport/base/hash.hpp"

namespace dotterelport::router {
namespace {

constexpr milliseconds default_deadline{300'000};
constexpr milliseconds longest_deadline{3'600'000};
constexpr std::size_t max_key_bytes = 255;
constexpr std::string_view bearer_prefix = "Bearer ";

/// Request headers that apply to one connection or to this router and are not forwarded to a
/// service.
constexpr std::array<std::string_view, 13> private_headers{
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authorization",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
};

std::string lower_case(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return result;
}

void check_size(const net::http_request& request)
{
    if (request.body.size() > max_caller_body_bytes) {
        throw caller_error(error_code::body_too_large,
                           "the body has " + std::to_string(request.body.size()) +
                               " bytes; the limit is " + std::to_string(max_caller_body_bytes));
    }
}

std::optional<std::uint64_t> read_number(const net::http_request& request, std::string_view name)
{
    const auto text = request.header(name);
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* end = text->data() + text->size();
    const auto [parsed_end, failure] = std::from_chars(text->data(), end, value);
    if (failure != std::errc{} || parsed_end != end || text->empty()) {
        throw caller_error(error_code::invalid_request,
                           "the header " + std::string(name) + " must be a whole number");
    }
    return value;
}

milliseconds read_deadline(const intake_context& context)
{
    const auto limit = read_number(context.request, deadline_header);
    if (!limit) {
        return context.now + default_deadline;
    }
    const auto longest = static_cast<std::uint64_t>(longest_deadline.count());
    if (*limit == 0 || *limit > longest) {
        throw caller_error(error_code::invalid_request,
                           "the header " + std::string(deadline_header) + " must be from 1 to " +
                               std::to_string(longest));
    }
    return context.now + milliseconds(*limit);
}

std::string generate_key(std::mt19937_64& random)
{
    return "generated-" + hash128_hex(std::to_string(random()) + "/" + std::to_string(random()));
}

void read_key(const intake_context& context, const config::workspace& owner,
              checked_request& result)
{
    result.key.workspace = owner.name;
    const auto key = context.request.header("Idempotency-Key");
    result.has_caller_key = key.has_value();
    if (!key) {
        result.key.key = generate_key(context.random);
        return;
    }
    const bool printable =
        std::all_of(key->begin(), key->end(), [](unsigned char c) { return c > ' ' && c < 0x7F; });
    if (key->empty() || key->size() > max_key_bytes || !printable) {
        throw caller_error(error_code::invalid_request,
                           "Idempotency-Key must be 1 to 255 printable ASCII characters");
    }
    result.key.key = *key;
}

void authorise(const config::workspace& owner, const config::service& target,
               checked_request& result)
{
    if (!config::snapshot::allows(owner, target)) {
        throw caller_error(error_code::workspace_not_allowed,
                           "workspace " + owner.name + " may not use service " + target.name);
    }
    const auto* budget = config::snapshot::budget_for(owner, target);
    if (budget == nullptr) {
        throw caller_error(error_code::budget_exhausted,
                           "workspace " + owner.name + " has no budget for service " + target.name);
    }
    result.service = target.name;
    result.budget = budget->name;
}

tokens output_limit(const chat_request& parsed, const config::service& target)
{
    if (parsed.max_output.value_or(0) > target.max_output_tokens) {
        throw caller_error(error_code::invalid_request,
                           "max_tokens must be at most " +
                               std::to_string(target.max_output_tokens) + " for this model");
    }
    return parsed.max_output.value_or(target.max_output_tokens);
}

/// The parts of "/v1/services/<service>/<path...>".
struct service_path {
    std::string service;
    std::string path;
};

service_path split_path(const std::string& path)
{
    const std::string service_and_path = path.substr(services_prefix.size());
    const auto slash = service_and_path.find('/');
    if (slash == 0 || slash == std::string::npos) {
        throw caller_error(error_code::unknown_route,
                           "the path must be /v1/services/<service>/<path>");
    }
    return {service_and_path.substr(0, slash), service_and_path.substr(slash)};
}

/// Services resolve "." and ".." themselves, so such segments could bypass the declared routes.
void check_segments(const std::string& path)
{
    const std::string decoded = net::percent_decode(path) + "/";
    for (const std::string_view forbidden : {"/./", "/../"}) {
        if (decoded.find(forbidden) != std::string::npos) {
            throw caller_error(error_code::invalid_request,
                               "the path must not contain the segments . and ..");
        }
    }
}

bool matches(const config::route& candidate, const std::string& method, const std::string& path)
{
    if (candidate.method != method) {
        return false;
    }
    if (!candidate.path.empty() && candidate.path.back() == '*') {
        return path.compare(0, candidate.path.size() - 1, candidate.path, 0,
                            candidate.path.size() - 1) == 0;
    }
    return path == candidate.path;
}

const config::route& find_route(const config::service& target, const std::string& method,
                                const std::string& path)
{
    const auto found = std::find_if(
        target.routes.begin(), target.routes.end(),
        [&](const config::route& candidate) { return matches(candidate, method, path); });
    if (found == target.routes.end()) {
        throw caller_error(error_code::unknown_route,
                           "service " + target.name + " has no route " + method + " " + path);
    }
    return *found;
}

json forwarded_headers(const net::http_request& request)
{
    json result = json::object();
    for (const auto& [name, value] : request.headers) {
        const std::string lower = lower_case(name);
        const bool is_private = std::find(private_headers.begin(), private_headers.end(), lower) !=
                                    private_headers.end() ||
                                lower.compare(0, 15, "x-dotterelport-") == 0;
        if (!is_private) {
            result[lower] = value;
        }
    }
    return result;
}

/// Messages between the processes are JSON, whose strings must be UTF-8.
void check_text(const json& payload)
{
    try {
        static_cast<void>(payload.dump());
    } catch (const json::exception&) {
        throw caller_error(error_code::invalid_request,
                           "the headers and the body must be UTF-8 text");
    }
}

/// Percent-encodes text that must remain one path segment.
std::string encode_segment(const std::string& text)
{
    std::string result;
    for (const char character : net::percent_encode(text)) {
        result += character == '/' ? "%2F" : std::string(1, character);
    }
    return result;
}

/// Inserts a key into the lookup path of a service. Agents send the key to the service prefixed
/// with its workspace, so that equal keys of two workspaces do not collide.
std::string expand_lookup_path(const std::string& pattern, const request_key& key)
{
    constexpr std::string_view placeholder = "{key}";
    const auto position = pattern.find(placeholder);
    if (position == std::string::npos) {
        return pattern;
    }
    const std::string text = encode_segment(key.workspace) + "%2F" + encode_segment(key.key);
    std::string result = pattern;
    return result.replace(position, placeholder.size(), text);
}

} // namespace

const config::workspace& authenticate(const config::snapshot& configuration,
                                      const net::http_request& request)
{
    const auto header = request.header("authorization");
    if (!header || header->compare(0, bearer_prefix.size(), bearer_prefix) != 0) {
        throw caller_error(error_code::invalid_key,
                           "the header Authorization must be \"Bearer <key>\"");
    }
    const auto* owner = configuration.workspace_of_key(header->substr(bearer_prefix.size()));
    if (owner == nullptr) {
        throw caller_error(error_code::invalid_key, "the bearer key belongs to no workspace");
    }
    return *owner;
}

checked_request check_chat_request(const intake_context& context)
{
    const auto& owner = authenticate(context.configuration, context.request);
    check_size(context.request);
    chat_request parsed = parse_chat_request(context.request.body);
    const auto* target = context.configuration.service_of_model(parsed.model);
    if (target == nullptr) {
        throw caller_error(error_code::unknown_model, "no service has the model " + parsed.model);
    }
    checked_request result;
    authorise(owner, *target, result);
    read_key(context, owner, result);
    result.deadline = read_deadline(context);
    result.form = parsed.stream ? answer_form::chat_stream : answer_form::chat_completion;
    result.include_usage = parsed.include_usage;
    result.offset = read_number(context.request, offset_header).value_or(0);
    if (result.offset > 0 && !parsed.stream) {
        throw caller_error(error_code::invalid_request, "the header " + std::string(offset_header) +
                                                            " is allowed only on a stream");
    }
    result.priority = owner.priority;
    result.model = parsed.model;
    result.digest = hash128_hex(parsed.content.dump());
    const tokens output = output_limit(parsed, *target);
    result.upper_tokens = prompt_token_bound(parsed.content) + output;
    result.payload = std::move(parsed.content);
    result.payload.erase("max_completion_tokens");
    result.payload["max_tokens"] = output;
    return result;
}

checked_request check_service_call(const intake_context& context)
{
    const auto& request = context.request;
    const auto& owner = authenticate(context.configuration, request);
    check_size(request);
    const auto [service_name, path] = split_path(request.path);
    const auto* target = context.configuration.find_service(service_name);
    if (target == nullptr || target->kind != config::service_kind::application) {
        throw caller_error(error_code::unknown_route,
                           "there is no application service " + service_name);
    }
    checked_request result;
    authorise(owner, *target, result);
    check_segments(path);
    const auto& route = find_route(*target, request.method, path);
    read_key(context, owner, result);
    result.deadline = read_deadline(context);
    result.kind = request::request_kind::call;
    result.form = answer_form::call;
    result.idempotent = route.idempotent;
    result.priority = route.priority.value_or(owner.priority);
    result.upper_tokens = target->tokens_per_call;
    const std::string full_path = request.query.empty() ? path : path + "?" + request.query;
    result.payload = {{"method", request.method},
                      {"path", full_path},
                      {"headers", forwarded_headers(request)},
                      {"body", request.body}};
    check_text(result.payload);
    result.digest = hash128_hex(json::array({request.method, full_path, request.body}).dump());
    if (!target->lookup_path.empty()) {
        result.lookup_path = expand_lookup_path(target->lookup_path, result.key);
    }
    return result;
}

json list_models(const config::snapshot& configuration, const net::http_request& request)
{
    const auto& owner = authenticate(configuration, request);
    json models = json::array();
    for (const auto& service : configuration.content().services) {
        if (service.kind != config::service_kind::model ||
            !config::snapshot::allows(owner, service)) {
            continue;
        }
        for (const auto& model : service.models) {
            models.push_back(
                {{"id", model}, {"object", "model"}, {"created", 0}, {"owned_by", service.name}});
        }
    }
    return {{"object", "list"}, {"data", models}};
}

void authorise_again(const config::snapshot& configuration, checked_request& request)
{
    const auto* owner = configuration.find_workspace(request.key.workspace);
    const auto* target = configuration.find_service(request.service);
    if (owner == nullptr || target == nullptr) {
        throw caller_error(error_code::workspace_not_allowed,
                           "the configuration no longer allows this request");
    }
    authorise(*owner, *target, request);
}

} // namespace dotterelport::router
