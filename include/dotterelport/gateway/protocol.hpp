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

/// What a caller's request says about itself.
struct caller_request {
    /// Unique for each attempt of a caller.
    std::string id;
    /// Time that the caller waits, from its sending.
    std::optional<milliseconds> deadline;
    /// Bearer key.
    std::optional<std::string> key;
    /// Size of the prompt; 0 for requests without one.
    tokens prompt_tokens = 0;
    tokens max_output_tokens = 0;
    /// The request states its size in a form that cannot be read, so no budget can cover it.
    bool is_size_unreadable = false;
    std::vector<routing::prompt_part> parts;
    /// Event after which an earlier answer to the request broke off.
    std::optional<std::uint64_t> last_event;

    /// @brief The most that the request can use of a budget.
    [[nodiscard]] tokens most_tokens() const { return prompt_tokens + max_output_tokens; }
};

/// What a request to a backend server says beside the caller's own headers.
struct backend_fields {
    /// Identity of the server that may run it.
    std::string server;
    milliseconds deadline{0};
    /// Empty if the caller needs no key and has none.
    std::string workspace;
    /// The answer is to go on after this event.
    std::optional<std::uint64_t> last_event;
    /// Order in which an engine admits waiting requests, from 0 for the first to 9.
    std::optional<int> urgency;
};

/// What the head of a backend server's answer says.
struct backend_answer {
    /// Request that is answered, if the server names it.
    std::optional<std::string> id;
    /// The server states that it did not run the request.
    bool not_run = false;
    /// Another server has taken over the address.
    bool replaced = false;
    /// The answer bears the proof that a server made it.
    bool authentic = false;
    std::optional<routing::load_report> load;
};

/// How callers and backend servers write what the gateway needs to know. Translates only.
class protocol {
public:
    virtual ~protocol() = default;

    [[nodiscard]] virtual caller_request
    decode_request(const net::http1_request_head& head) const = 0;

    /// @brief Writes the request as it goes to a backend server.
    [[nodiscard]] virtual std::string encode_request(const net::http1_request_head& head,
                                                     std::string_view body,
                                                     const backend_fields& fields) const = 0;

    [[nodiscard]] virtual backend_answer
    decode_answer(const net::http1_answer_head& head) const = 0;
};

} // namespace dotterelport::gateway

#endif
