#ifndef DOTTERELPORT_REQUEST_MESSAGES_HPP
#define DOTTERELPORT_REQUEST_MESSAGES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/priority.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/base/verdict.hpp"

namespace dotterelport::request {

/// What a request asks of its backend server.
enum class request_kind {
    /// A chat completion at a model engine.
    chat,
    /// An HTTP call at an application.
    call,
};

/// Admission of a request, sent by a router to an agent.
struct admission {
    request_key key;
    std::uint32_t attempt = 1;
    /// Agent incarnation that the message is meant for.
    incarnation agent;
    /// Router incarnation that holds the grant from which the tokens of the request are reserved.
    incarnation holder;
    /// Endpoint at which the holder listens for peers, "<ip>:<port>".
    std::string holder_address;
    std::string budget;
    tokens upper_tokens = 0;
    std::uint64_t generation = 0;
    milliseconds time_left{0};
    dotterelport::priority priority = dotterelport::priority::normal;
    std::string service;
    request_kind kind = request_kind::chat;
    bool idempotent = false;
    /// Hash of the content, which distinguishes a retry from a different request with the same key.
    std::string digest;
    /// Sequence number of the first chunk to send.
    std::uint64_t offset = 0;
    /// Only join a request that runs or has run; never start one.
    bool join_only = false;
    json payload;
};

/// Why an agent refused or ended a request.
enum class failure_reason {
    fenced,
    leaving,
    stale_configuration,
    wrong_incarnation,
    quarantined,
    busy,
    refused_key,
    unknown_key,
    replay_gone,
    backend_unreachable,
    backend_crashed,
    backend_error,
    deadline,
    cancelled,
    key_reused,
};

std::string_view to_string(failure_reason value);
std::optional<failure_reason> parse_failure_reason(std::string_view name);

/// Result of a request, which the agent reports to the holder for billing.
struct outcome {
    request_key key;
    std::uint32_t attempt = 1;
    std::string budget;
    incarnation holder;
    dotterelport::verdict verdict = dotterelport::verdict::ran;
    /// Tokens to bill; at most the reserved upper bound.
    tokens charged = 0;
    tokens prompt_tokens = 0;
    tokens completion_tokens = 0;
    std::string service;
    incarnation agent;
};

json to_json(const admission& value);
/// @throws format_error if a field is missing or has the wrong type
admission parse_admission(const json& object);

json to_json(const outcome& value);
/// @throws format_error if a field is missing or has the wrong type
outcome parse_outcome(const json& object);

/// Frames of an answer. A frame is sent as one JSON object on a line of its own.
struct admitted_frame {
    std::uint32_t attempt = 1;
    bool joined = false;
};

struct chunk_frame {
    std::uint32_t attempt = 1;
    std::uint64_t sequence = 0;
    json data;
};

struct end_frame {
    std::uint32_t attempt = 1;
    dotterelport::verdict verdict = dotterelport::verdict::ran;
    tokens prompt_tokens = 0;
    tokens completion_tokens = 0;
};

struct error_frame {
    std::uint32_t attempt = 1;
    dotterelport::verdict verdict = dotterelport::verdict::not_run;
    failure_reason reason = failure_reason::backend_error;
    std::string message;
};

using frame = std::variant<admitted_frame, chunk_frame, end_frame, error_frame>;

/// @brief Formats a frame as one line, without the line end.
std::string format_frame(const frame& value);

/// @throws format_error if the line is not a frame
frame parse_frame(std::string_view line);

} // namespace dotterelport::request

#endif
