#ifndef DOTTERELPORT_ROUTING_URGENCY_HPP
#define DOTTERELPORT_ROUTING_URGENCY_HPP

#include <optional>

#include "dotterelport/base/tokens.hpp"

namespace dotterelport::routing {

/// @brief Rank by which an engine should admit a request, from 0 (first) to 9 (last).
///
/// Shorter prompts come first. This delays a long prompt little, and a short question does not wait
/// for several long prompts.
/// @return nothing for requests without a prompt
std::optional<int> engine_urgency(tokens prompt_tokens);

} // namespace dotterelport::routing

#endif
