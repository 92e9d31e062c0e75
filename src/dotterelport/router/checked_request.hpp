#ifndef DOTTERELPORT_ROUTER_CHECKED_REQUEST_HPP
#define DOTTERELPORT_ROUTER_CHECKED_REQUEST_HPP

#include <cstdint>
#include <string>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/priority.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::router {

/// Form in which a caller receives its answer.
enum class answer_form {
    chat_stream,
    chat_completion,
    call,
};

/// A request of a caller that passed all checks, with the data needed to dispatch it.
struct checked_request {
    request_key key;
    /// The key came from the caller, so another attempt may be running or have run.
    bool has_caller_key = false;
    std::string service;
    std::string budget;
    request::request_kind kind = request::request_kind::chat;
    answer_form form = answer_form::chat_completion;
    bool include_usage = false;
    bool idempotent = true;
    dotterelport::priority priority = dotterelport::priority::normal;
    tokens upper_tokens = 0;
    /// Chat only: name of the model in the request.
    std::string model;
    json payload;
    std::string digest;
    /// Sequence number of the first chunk that the caller wants.
    std::uint64_t offset = 0;
    /// Point in time after which the caller no longer waits.
    milliseconds deadline{0};
    /// Applications only: the service's path that reports whether a call with this key ran; empty
    /// if the service has none.
    std::string lookup_path;
};

} // namespace dotterelport::router

#endif
