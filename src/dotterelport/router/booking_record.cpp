#include "booking_record.hpp"

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"
#include "dotterelport/base/hash.hpp"

namespace dotterelport::router {
namespace {

constexpr enum_names<booking_state, 3> state_names{{
    {booking_state::intent, "intent"},
    {booking_state::refused, "refused"},
    {booking_state::finished, "finished"},
}};

/// Number of times that an agent is asked about an unknown key before it is asked to refuse the
/// attempt. A retry often arrives when the first sender has written its intent but has not sent the
/// request yet; asking twice lets that sender continue.
constexpr int reports_before_refusal = 2;

/// Number of tries, 200 ms apart, to reach an agent that is not known to be gone.
constexpr int max_tries_to_reach_agent = 15;

} // namespace

std::string booking_object(const request_key& key)
{
    return "booking/" + key.workspace + "/" + hash128_hex(key.key);
}

json to_json(const booking_record& value)
{
    return {{"state", name_of(state_names, value.state)},
            {"agent", to_string(value.agent)},
            {"attempt", value.attempt},
            {"digest", value.digest},
            {"token", value.token},
            {"holder", to_string(value.holder)},
            {"holder_address", value.holder_address},
            {"answer", value.answer}};
}

booking_record parse_booking_record(const std::string& text)
{
    try {
        const json value = json::parse(text);
        const auto state = value_of(state_names, value.at("state").get<std::string>());
        if (!state) {
            throw format_error("booking record", "/state", "unknown value");
        }
        booking_record record;
        record.state = *state;
        record.agent = parse_incarnation(value.at("agent").get<std::string>());
        record.attempt = value.at("attempt").get<std::uint32_t>();
        record.digest = value.at("digest").get<std::string>();
        record.token = value.at("token").get<std::string>();
        record.holder = parse_incarnation(value.at("holder").get<std::string>());
        record.holder_address = value.at("holder_address").get<std::string>();
        record.answer = value.at("answer");
        return record;
    } catch (const json::exception& failure) {
        throw format_error("booking record", "", failure.what());
    }
}

booking_step next_step(const std::optional<booking_record>& record, const booking_facts& facts)
{
    if (!record) {
        return booking_step::create;
    }
    if (record->digest != facts.digest) {
        return booking_step::reject;
    }
    switch (record->state) {
    case booking_state::finished:
        return booking_step::return_answer;
    case booking_state::refused:
        return booking_step::replace;
    case booking_state::intent:
        break;
    }
    if (!facts.token.empty() && record->token == facts.token) {
        return booking_step::send;
    }
    return facts.agent_gone ? booking_step::ask_service : booking_step::ask_agent;
}

report_step next_step(agent_report report, int times_asked)
{
    switch (report) {
    case agent_report::running:
    case agent_report::finished:
        return report_step::join;
    case agent_report::refused:
        return report_step::replace;
    case agent_report::replaced:
        return report_step::ask_service;
    case agent_report::unknown:
        return times_asked < reports_before_refusal ? report_step::ask_again
                                                    : report_step::ask_to_refuse;
    case agent_report::unreachable:
        break;
    }
    return times_asked < max_tries_to_reach_agent ? report_step::ask_again
                                                  : report_step::ask_service;
}

} // namespace dotterelport::router
