#ifndef DOTTERELPORT_ROUTING_AFFINITY_HPP
#define DOTTERELPORT_ROUTING_AFFINITY_HPP

#include <cstddef>
#include <span>

#include "dotterelport/routing/policy.hpp"

namespace dotterelport::routing {

/// @brief Chooses one of the eligible servers, of which there must be at least one.
std::size_t choose_by_affinity(const affinity_policy& settings, const choice_context& context,
                               std::span<const std::size_t> eligible, random_generator& random);

} // namespace dotterelport::routing

#endif
