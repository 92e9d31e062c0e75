#ifndef DOTTERELPORT_MEMBERSHIP_CONFIGURATION_SOURCES_HPP
#define DOTTERELPORT_MEMBERSHIP_CONFIGURATION_SOURCES_HPP

#include <string>
#include <vector>

#include "dotterelport/membership/node_record.hpp"

namespace dotterelport::membership {

/// @brief Routers of a failure domain that watch the platform for a new configuration: the first
/// two by rendezvous hash.
/// @param routers live routers of any failure domain
std::vector<node_record> configuration_watchers(const std::vector<node_record>& routers,
                                                const std::string& failure_domain);

/// @brief Routers that a process asks for the configuration, in order: the watchers of its failure
/// domain, one watcher of each other domain, then the other routers of its domain. The second group
/// keeps a domain that is cut off from the platform up to date, and is small enough to be reached
/// within a few polls.
/// @param routers live routers of any failure domain
/// @param self name of the asking node, which is left out
std::vector<net::endpoint> configuration_sources(const std::vector<node_record>& routers,
                                                 const std::string& failure_domain,
                                                 const std::string& self);

} // namespace dotterelport::membership

#endif
