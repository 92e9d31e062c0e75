#ifndef DOTTERELPORT_ROUTER_BOOKING_RECORD_HPP
#define DOTTERELPORT_ROUTER_BOOKING_RECORD_HPP

#include <optional>
#include <string>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/json.hpp"

namespace dotterelport::router {

/// State of a booking as its record in the platform tells it.
enum class booking_state {
    /// The agent named in the record may have the request.
    intent,
    /// The agent named in the record has refused this attempt for good.
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
    /// Random value of the run that wrote the intent; tells its own write from another's.
    std::string token;
    /// Router incarnation whose grant covers the attempt, and its peers endpoint.
    incarnation holder;
    std::string holder_address;
    /// Answer of the service; null if it was too large to be kept.
    json answer;
};

/// @brief Object that holds the record of a booking.
std::string booking_object(const request_key& key);

json to_json(const booking_record& value);

/// @throws error if the text is not a booking record
booking_record parse_booking_record(const std::string& text);

/// What a router does next about a booking.
enum class booking_step {
    /// Write an intent that must not exist yet.
    create,
    /// Send the request: the intent is this run's own.
    send,
    return_answer,
    /// Ask the agent of the record whether it has the request.
    ask_agent,
    /// Write a new intent in place of the refused one.
    replace,
    /// Ask the service itself, since the agent can no longer tell.
    look_up,
    /// The key belongs to another content.
    reject,
};

/// What a run knows besides the record.
struct booking_facts {
    std::string digest;
    /// Token of this run's last intent; empty if it wrote none.
    std::string token;
    /// The agent of the record can never answer again.
    bool agent_gone = false;
};

/// @brief Decides by the record alone.
/// @param record nothing if the platform has none
booking_step next_step(const std::optional<booking_record>& record, const booking_facts& facts);

/// Answer of an agent that was asked about a key.
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

/// What follows from an agent's report.
enum class report_step {
    join,
    replace,
    look_up,
    /// Ask again a little later; the sender may be about to send.
    ask_again,
    /// Ask the agent to refuse the attempt for good.
    ask_to_refuse,
};

/// @brief Decides by an agent's report.
/// @param asked number of times that the agent was asked, this one included
report_step next_step(agent_report report, int asked);

} // namespace dotterelport::router

#endif
