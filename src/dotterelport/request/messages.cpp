#include "dotterelport/request/messages.hpp"

#include <limits>
#include <type_traits>

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::request {
namespace {

constexpr enum_names<failure_reason, 15> reason_names{{
    {failure_reason::fenced, "fenced"},
    {failure_reason::leaving, "leaving"},
    {failure_reason::stale_configuration, "stale_configuration"},
    {failure_reason::wrong_incarnation, "wrong_incarnation"},
    {failure_reason::quarantined, "quarantined"},
    {failure_reason::busy, "busy"},
    {failure_reason::refused_key, "refused_key"},
    {failure_reason::unknown_key, "unknown_key"},
    {failure_reason::replay_gone, "replay_gone"},
    {failure_reason::backend_unreachable, "backend_unreachable"},
    {failure_reason::backend_crashed, "backend_crashed"},
    {failure_reason::backend_error, "backend_error"},
    {failure_reason::deadline, "deadline"},
    {failure_reason::cancelled, "cancelled"},
    {failure_reason::key_reused, "key_reused"},
}};

constexpr enum_names<request_kind, 2> kind_names{{
    {request_kind::chat, "chat"},
    {request_kind::call, "call"},
}};

/// Reads the fields of a message. Its errors name the field that is missing or invalid.
class field_reader {
public:
    field_reader(const json& object, std::string message_type)
        : object_(object), message_type_(std::move(message_type))
    {
        if (!object.is_object()) {
            throw format_error(message_type_, "", "expected an object");
        }
    }

    [[nodiscard]] const json& at(const std::string& name) const
    {
        const auto found = object_.find(name);
        if (found == object_.end()) {
            reject(name, "required");
        }
        return *found;
    }

    [[nodiscard]] bool has(const std::string& name) const { return object_.contains(name); }

    [[nodiscard]] std::string text(const std::string& name) const
    {
        const json& field = at(name);
        if (!field.is_string()) {
            reject(name, "expected a string");
        }
        return field.get<std::string>();
    }

    [[nodiscard]] bool flag(const std::string& name) const
    {
        const json& field = at(name);
        if (!field.is_boolean()) {
            reject(name, "expected a boolean");
        }
        return field.get<bool>();
    }

    /// @brief Reads an integer that is not negative.
    template<typename Integer> [[nodiscard]] Integer number(const std::string& name) const
    {
        const json& field = at(name);
        // A JSON value built in C++ from a signed integer does not have the unsigned JSON type.
        const bool in_range = field.is_number_unsigned() ||
                              (field.is_number_integer() && field.get<std::int64_t>() >= 0);
        if (!in_range || field.get<std::uint64_t>() >
                             static_cast<std::uint64_t>(std::numeric_limits<Integer>::max())) {
            reject(name, "expected a whole number that is not negative");
        }
        return static_cast<Integer>(field.get<std::uint64_t>());
    }

    template<typename Parse>
    [[nodiscard]] auto enum_value(const std::string& name, Parse parse) const
    {
        const auto parsed = parse(text(name));
        if (!parsed) {
            reject(name, "unknown value");
        }
        return *parsed;
    }

    [[nodiscard]] incarnation node_incarnation(const std::string& name) const
    {
        return parse_incarnation(text(name));
    }

    [[nodiscard]] request_key key() const { return {text("workspace"), text("key")}; }

private:
    [[noreturn]] void reject(const std::string& name, const std::string& expected) const
    {
        throw format_error(message_type_, "/" + name, expected);
    }

    const json& object_;
    std::string message_type_;
};

std::optional<request_kind> parse_kind(std::string_view name)
{
    return value_of(kind_names, name);
}

struct frame_formatter {
    json operator()(const admitted_frame& value) const
    {
        return {{"type", "admitted"}, {"attempt", value.attempt}, {"joined", value.joined}};
    }
    json operator()(const chunk_frame& value) const
    {
        return {{"type", "chunk"},
                {"attempt", value.attempt},
                {"sequence", value.sequence},
                {"data", value.data}};
    }
    json operator()(const end_frame& value) const
    {
        return {{"type", "end"},
                {"attempt", value.attempt},
                {"verdict", to_string(value.verdict)},
                {"prompt_tokens", value.prompt_tokens},
                {"completion_tokens", value.completion_tokens}};
    }
    json operator()(const error_frame& value) const
    {
        return {{"type", "error"},
                {"attempt", value.attempt},
                {"verdict", to_string(value.verdict)},
                {"reason", to_string(value.reason)},
                {"message", value.message}};
    }
};

} // namespace

std::string_view to_string(failure_reason value)
{
    return name_of(reason_names, value);
}

std::optional<failure_reason> parse_failure_reason(std::string_view name)
{
    return value_of(reason_names, name);
}

json to_json(const admission& value)
{
    return {{"workspace", value.key.workspace},
            {"key", value.key.key},
            {"attempt", value.attempt},
            {"agent", to_string(value.agent)},
            {"holder", to_string(value.holder)},
            {"holder_address", value.holder_address},
            {"budget", value.budget},
            {"upper_tokens", value.upper_tokens},
            {"generation", value.generation},
            {"deadline_ms", value.time_left.count()},
            {"priority", to_string(value.priority)},
            {"service", value.service},
            {"kind", name_of(kind_names, value.kind)},
            {"idempotent", value.idempotent},
            {"digest", value.digest},
            {"offset", value.offset},
            {"join_only", value.join_only},
            {"payload", value.payload}};
}

admission parse_admission(const json& object)
{
    const field_reader fields(object, "admission");
    admission result;
    result.key = fields.key();
    result.attempt = fields.number<std::uint32_t>("attempt");
    result.agent = fields.node_incarnation("agent");
    result.holder = fields.node_incarnation("holder");
    result.holder_address = fields.text("holder_address");
    result.budget = fields.text("budget");
    result.upper_tokens = fields.number<tokens>("upper_tokens");
    result.generation = fields.number<std::uint64_t>("generation");
    result.time_left = milliseconds{fields.number<std::int64_t>("deadline_ms")};
    result.priority = fields.enum_value("priority", parse_priority);
    result.service = fields.text("service");
    result.kind = fields.enum_value("kind", parse_kind);
    result.idempotent = fields.flag("idempotent");
    result.digest = fields.text("digest");
    result.offset = fields.has("offset") ? fields.number<std::uint64_t>("offset") : 0;
    result.join_only = fields.has("join_only") && fields.flag("join_only");
    result.payload = fields.at("payload");
    return result;
}

json to_json(const outcome& value)
{
    return {{"workspace", value.key.workspace},
            {"key", value.key.key},
            {"attempt", value.attempt},
            {"budget", value.budget},
            {"holder", to_string(value.holder)},
            {"verdict", to_string(value.verdict)},
            {"tokens", value.charged},
            {"prompt_tokens", value.prompt_tokens},
            {"completion_tokens", value.completion_tokens},
            {"service", value.service},
            {"agent", to_string(value.agent)}};
}

outcome parse_outcome(const json& object)
{
    const field_reader fields(object, "outcome");
    outcome result;
    result.key = fields.key();
    result.attempt = fields.number<std::uint32_t>("attempt");
    result.budget = fields.text("budget");
    result.holder = fields.node_incarnation("holder");
    result.verdict = fields.enum_value("verdict", parse_verdict);
    result.charged = fields.number<tokens>("tokens");
    result.prompt_tokens = fields.number<tokens>("prompt_tokens");
    result.completion_tokens = fields.number<tokens>("completion_tokens");
    result.service = fields.text("service");
    result.agent = fields.node_incarnation("agent");
    return result;
}

std::string format_frame(const frame& value)
{
    // Text from a backend server may contain invalid UTF-8, which must not end the stream.
    return std::visit(frame_formatter{}, value)
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

frame parse_frame(std::string_view line)
{
    const json document = json::parse(line, nullptr, false);
    const field_reader fields(document, "frame");
    const std::string type = fields.text("type");
    const auto attempt = fields.number<std::uint32_t>("attempt");
    if (type == "admitted") {
        return admitted_frame{attempt, fields.flag("joined")};
    }
    if (type == "chunk") {
        return chunk_frame{attempt, fields.number<std::uint64_t>("sequence"), fields.at("data")};
    }
    if (type == "end") {
        return end_frame{attempt, fields.enum_value("verdict", parse_verdict),
                         fields.number<tokens>("prompt_tokens"),
                         fields.number<tokens>("completion_tokens")};
    }
    if (type == "error") {
        return error_frame{attempt, fields.enum_value("verdict", parse_verdict),
                           fields.enum_value("reason", parse_failure_reason),
                           fields.text("message")};
    }
    throw format_error("frame", "/type", "expected admitted, chunk, end or error");
}

} // namespace dotterelport::request
