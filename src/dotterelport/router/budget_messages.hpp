#ifndef DOTTERELPORT_ROUTER_BUDGET_MESSAGES_HPP
#define DOTTERELPORT_ROUTER_BUDGET_MESSAGES_HPP

#include <string>
#include <string_view>

#include "dotterelport/base/json.hpp"
#include "dotterelport/router/budget_service.hpp"

namespace dotterelport::router {

/// Parameters of the RPC reserve.
struct reserve_message {
    reserve_request request;
    /// Router incarnation that asks.
    std::string router;
    /// Asks a lender, which decides from its own grant alone.
    bool lend = false;
};

json to_json(const reserve_message& value);

/// @throws format_error if a field is missing or has the wrong type
reserve_message parse_reserve_message(const json& value);

json to_json(const reserve_result& value);

/// @throws format_error if a field is missing or has the wrong type
reserve_result parse_reserve_result(const json& value);

/// @brief Reads another router's answer; one that is malformed counts as unavailable.
reserve_result read_reserve_answer(const json& value);

json to_json(const request_key& key);

/// @throws format_error if a field is missing or has the wrong type
request_key parse_request_key(const json& value);

} // namespace dotterelport::router

#endif
