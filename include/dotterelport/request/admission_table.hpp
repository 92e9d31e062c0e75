#ifndef DOTTERELPORT_REQUEST_ADMISSION_TABLE_HPP
#define DOTTERELPORT_REQUEST_ADMISSION_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/request/holder_fences.hpp"
#include "dotterelport/request/key_memory.hpp"
#include "dotterelport/request/messages.hpp"

namespace dotterelport::request {

/// Time within which a new configuration must be in force on every node. Once the generation of an
/// agent has been in force for this long, the agent refuses requests with an older generation.
inline constexpr milliseconds generation_grace{5'000};

/// State of a request key at an agent.
enum class key_state {
    unknown,
    running,
    finished,
    refused,
};

std::string_view to_string(key_state value);

/// Answer to the agent RPCs lookup, refuse and cancel.
struct key_report {
    key_state state = key_state::unknown;
    std::uint32_t attempt = 0;
    dotterelport::verdict verdict = dotterelport::verdict::not_run;
};

json to_json(const key_report& value);

/// The agent starts the request.
struct start_decision {};

/// The request is running or has already run at this agent; the reader receives the frames of that
/// attempt.
struct join_decision {
    std::uint32_t attempt = 1;
    /// Verdict to report if the frames are no longer kept; may_have_run while the request is
    /// running.
    dotterelport::verdict verdict = dotterelport::verdict::may_have_run;
};

/// The agent does not start the request. The verdict applies to this admission message: with
/// not_run, this agent incarnation runs neither the message nor a late copy of it.
struct refuse_decision {
    failure_reason reason = failure_reason::busy;
    dotterelport::verdict verdict = dotterelport::verdict::not_run;
    std::string message;
};

using admission_decision = std::variant<start_decision, join_decision, refuse_decision>;

/// State of the agent that admissions depend on.
struct admission_conditions {
    incarnation self;
    std::uint64_t generation = 0;
    milliseconds generation_in_force{0};
    bool is_leaving = false;
    /// Reason to refuse new work, empty if there is none.
    std::string overload_reason = {};
};

/// A request that was admitted and has not ended.
struct running_request {
    std::uint32_t attempt = 1;
    incarnation holder;
    std::string budget;
    tokens upper_tokens = 0;
    std::string digest;
};

/// Decides which requests an agent runs. A key has at most one running attempt. The key may run
/// again only in a later attempt, after the verdict not_run, or after may_have_run if the request
/// is idempotent.
class admission_table {
public:
    /// @brief Decides whether to start, join or refuse a request. A started request counts as
    /// running until finish().
    admission_decision admit(const admission& message, const admission_conditions& conditions);

    /// @brief Ends a running request. With not_run, this and earlier attempts are permanently
    /// refused, unless an earlier attempt may have run: then the key keeps the verdict of that
    /// attempt.
    void finish(const request_key& key, verdict final_verdict);

    [[nodiscard]] key_report lookup(const request_key& key) const;

    /// @brief Permanently refuses a key, unless its request is running or has finished.
    /// @param attempt highest attempt to refuse; earlier ones are refused as well
    key_report refuse(const request_key& key, std::uint32_t attempt = key_memory::all_attempts);

    /// @brief Permanently refuses requests of a holder incarnation and of its earlier incarnations.
    void fence(const incarnation& holder) { fences_.fence(holder); }
    [[nodiscard]] const holder_fences& fences() const { return fences_; }

    using running_map = std::unordered_map<request_key, running_request>;
    [[nodiscard]] const running_map& running() const { return running_; }

    /// @brief Finished and refused keys.
    [[nodiscard]] const key_memory& known() const { return known_; }

private:
    [[nodiscard]] admission_decision admit_new(const admission& message,
                                               const admission_conditions& conditions);
    void close_attempt(const request_key& key, std::uint32_t attempt, verdict attempt_verdict,
                       const std::string& digest);

    running_map running_;
    key_memory known_;
    holder_fences fences_;
};

} // namespace dotterelport::request

#endif
