#ifndef DOTTERELPORT_ROUTER_BUDGET_MESSAGES_HPP
#define DOTTERELPORT_ROUTER_BUDGET_MESSAGES_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "dotterelport/base/json.hpp"
#include "dotterelport/router/budget_service.hpp"

namespace dotterelport::router {

/// Parameters of the RPC reserve.
struct reserve_message {
    reserve_request request;
    /// Router incarnation that requests the reservation.
    std::string router;
    /// The receiver lends: it reserves from its own grant only.
    bool lend = false;
    /// Generation of the configuration by which the router checked the request.
    std::uint64_t generation = 0;
    /// Unique name of the call, by which it can be cancelled; empty if it cannot.
    std::string call;
};

/// Parameters of the RPC cancel_reserve: the caller no longer waits for the answer.
struct cancel_message {
    std::string call;
    /// Reservation that the call may have made.
    release_request reservation;
};

json to_json(const cancel_message& message);

/// @throws format_error if a field is missing or has the wrong type
cancel_message parse_cancel_message(const json& parameters);

json to_json(const reserve_message& message);

/// @throws format_error if a field is missing or has the wrong type
reserve_message parse_reserve_message(const json& parameters);

json to_json(const release_request& request);

/// @throws format_error if a field is missing or has the wrong type
release_request parse_release_request(const json& parameters);

json to_json(const reserve_result& result);

/// @throws format_error if a field is missing or has the wrong type
reserve_result parse_reserve_result(const json& answer);

/// @brief Parses another router's answer; a malformed answer counts as unavailable.
reserve_result read_reserve_answer(const json& answer);

json to_json(const request_key& key);

/// @throws format_error if a field is missing or has the wrong type
request_key parse_request_key(const json& parameters);

} // namespace dotterelport::router

#endif
