#ifndef DOTTERELPORT_ROUTING_URGENCY_HPP
#define DOTTERELPORT_ROUTING_URGENCY_HPP

#include <optional>

#include "dotterelport/base/tokens.hpp"

namespace dotterelport::routing {

/// @brief Order in which an engine should admit a request, from 0 for the first to 9.
///
/// Answers the pattern of short questions behind long prompts: shortest first costs a long prompt
/// little and spares a short one the wait for several long ones.
/// @return nothing for requests without a prompt
std::optional<int> engine_urgency(tokens prompt_tokens);

} // namespace dotterelport::routing

#endif
