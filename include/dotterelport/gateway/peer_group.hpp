#ifndef DOTTERELPORT_GATEWAY_PEER_GROUP_HPP
#define DOTTERELPORT_GATEWAY_PEER_GROUP_HPP

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace dotterelport::gateway {

/// @brief Gateways with which a gateway exchanges messages regularly, without itself. The messages
/// of one gateway would otherwise grow with the fleet. A fleet of at most `max_size` gateways is
/// one group; a larger one is split by failure domain, and large failure domains are split evenly.
/// Gateways that know the same fleet agree on the groups.
/// @param domains failure domain of each gateway, including `self`
std::set<std::string> peer_group(const std::string& self,
                                 const std::map<std::string, std::string>& domains,
                                 std::size_t max_size);

} // namespace dotterelport::gateway

#endif
