#ifndef DOTTERELPORT_ROUTER_BOOKING_RECORD_HPP
#define DOTTERELPORT_ROUTER_BOOKING_RECORD_HPP

#include <optional>
#include <string>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"

namespace dotterelport::router {

/// State of a booking according to its record in the platform.
enum class booking_state {
    /// The agent named in the record may have received the request.
    intent,
    /// The agent named in the record has permanently refused this attempt.
    refused,
    /// The service has answered.
    finished,
};

/// Record of a request that must run at most once. It is written before the request is sent.
struct booking_record {
    booking_state state = booking_state::intent;
    incarnation agent;
    std::uint32_t attempt = 1;
    std::string digest;
    /// Random value of the run that wrote the intent, by which a run recognises its own write.
    std::string token;
    /// Router incarnation whose grant covers the attempt, and its endpoint for peers.
    incarnation holder;
    std::string holder_address;
    /// Answer of the service; null if it was too large to be kept.
    json answer;
};

/// @brief Name of the object that contains the record of a booking.
std::string booking_object(const request_key& key);

json to_json(const booking_record& value);

/// @throws error if the text is not a booking record
booking_record parse_booking_record(const std::string& text);

/// Next step of a router for a booking.
enum class booking_step {
    /// Write an intent that must not exist yet.
    create,
    /// Send the request: the run itself wrote the intent.
    send,
    return_answer,
    /// Ask the agent named in the record for the state of the request.
    ask_agent,
    /// Write a new intent in place of the refused one.
    replace,
    /// Ask the service itself, because the agent can no longer report.
    ask_service,
    /// The key was already used for a request with other content.
    reject,
};

/// Facts besides the record that determine the next step.
struct booking_facts {
    std::string digest;
    /// Token of the last intent that this run wrote; empty if it wrote none.
    std::string token;
    /// The agent named in the record can never answer again.
    bool agent_gone = false;
};

/// @brief Determines the next step for a booking, without calls to other nodes.
/// @param record nullopt if the platform has no record
booking_step next_step(const std::optional<booking_record>& record, const booking_facts& facts);

/// Answer of an agent to a question about a key.
enum class agent_report {
    unknown,
    running,
    finished,
    refused,
    /// Another incarnation of the node answered.
    replaced,
    /// No answer.
    unreachable,
};

/// Next step after an agent's report.
enum class report_step {
    join,
    replace,
    ask_service,
    /// Ask again later; the writer of the intent may not have sent the request yet.
    ask_again,
    /// Ask the agent to refuse the attempt permanently.
    ask_to_refuse,
};

/// @brief Determines the next step after an agent's report.
/// @param times_asked number of times that the agent was asked, including this report
report_step next_step(agent_report report, int times_asked);

} // namespace dotterelport::router

#endif
