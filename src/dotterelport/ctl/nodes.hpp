#ifndef DOTTERELPORT_CTL_NODES_HPP
#define DOTTERELPORT_CTL_NODES_HPP

#include <vector>

#include "dotterelport/ctl/session.hpp"
#include "dotterelport/membership/node_record.hpp"

namespace dotterelport::ctl {

/// @brief Reads the records of the current incarnations of all nodes, sorted by node name. Skips
/// objects that are not node records.
std::vector<membership::node_record> read_nodes(session& context);

} // namespace dotterelport::ctl

#endif
