#ifndef DOTTERELPORT_CTL_NODES_HPP
#define DOTTERELPORT_CTL_NODES_HPP

#include <vector>

#include "dotterelport/ctl/session.hpp"
#include "dotterelport/membership/node_record.hpp"

namespace dotterelport::ctl {

/// @brief Present incarnations of all nodes, by name. Objects that are not node records are left
/// out.
std::vector<membership::node_record> read_nodes(session& run);

} // namespace dotterelport::ctl

#endif
