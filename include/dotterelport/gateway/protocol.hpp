#ifndef DOTTERELPORT_GATEWAY_PROTOCOL_HPP
#define DOTTERELPORT_GATEWAY_PROTOCOL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/net/http1.hpp"
#include "dotterelport/routing/load_view.hpp"
#include "dotterelport/routing/prompt_cache_view.hpp"

namespace dotterelport::gateway {

/// Properties of a caller's request that are stated in its head.
struct caller_request {
    /// Request id, unique for each attempt of a caller.
    std::string id;
    /// Time for which the caller waits, counted from when it sent the request.
    std::optional<milliseconds> deadline;
    /// Bearer key.
    std::optional<std::string> key;
    /// Size of the prompt; 0 for requests without one.
    tokens prompt_tokens = 0;
    tokens max_output_tokens = 0;
    /// The stated size of the request cannot be parsed, so no budget can be reserved for it.
    bool is_size_unreadable = false;
    std::vector<routing::prompt_part> parts;
    /// Id of the last event that the caller received of an earlier, interrupted answer.
    std::optional<std::uint64_t> last_event;

    /// @brief Maximum number of budget tokens that the request can use.
    [[nodiscard]] tokens max_tokens() const { return prompt_tokens + max_output_tokens; }
};

/// Fields that are added to the caller's own headers in a request to a backend server.
struct backend_fields {
    /// Identity of the only server that may run the request.
    std::string server;
    milliseconds deadline{0};
    /// Empty if the caller needs no key and sent none.
    std::string workspace;
    /// The answer resumes after the event with this id.
    std::optional<std::uint64_t> last_event;
    /// Order in which an engine admits waiting requests, from 0 for the first to 9.
    std::optional<int> urgency;
};

/// What a backend server states about itself in an answer.
struct server_statement {
    /// Requests per second that it accepts from all gateways together.
    std::optional<double> max_rate = std::nullopt;
    /// It stops soon and accepts no new requests.
    bool leaving = false;
    /// Time for which it accepts no requests from this gateway; only with a refusal.
    std::optional<milliseconds> retry_after = std::nullopt;
    /// Time for which it accepts few requests because it has just started.
    std::optional<milliseconds> cold_time_left = std::nullopt;
    /// A statement cannot be parsed.
    bool unreadable = false;
};

/// Properties of a backend server's answer that are stated in its head.
struct backend_answer {
    /// Id of the answered request, if the server states it.
    std::optional<std::string> id;
    /// The server states that it did not run the request.
    bool not_run = false;
    /// A different server now answers at the address.
    bool replaced = false;
    /// The answer contains the proof that a backend server produced it.
    bool authentic = false;
    std::optional<routing::load_report> load;
    server_statement statement;
};

/// Translates between the wire format of callers and backend servers and the fields that the
/// gateway uses. Contains no decisions.
class protocol {
public:
    virtual ~protocol() = default;

    [[nodiscard]] virtual caller_request
    decode_request(const net::http1_request_head& head) const = 0;

    /// @brief Encodes the request for a backend server.
    [[nodiscard]] virtual std::string encode_request(const net::http1_request_head& head,
                                                     std::string_view body,
                                                     const backend_fields& fields) const = 0;

    [[nodiscard]] virtual backend_answer
    decode_answer(const net::http1_answer_head& head) const = 0;
};

} // namespace dotterelport::gateway

#endif
