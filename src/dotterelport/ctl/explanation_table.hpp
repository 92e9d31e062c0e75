#ifndef DOTTERELPORT_CTL_EXPLANATION_TABLE_HPP
#define DOTTERELPORT_CTL_EXPLANATION_TABLE_HPP

#include <ostream>

#include "dotterelport/base/json.hpp"

namespace dotterelport::ctl {

/// @brief Prints where a gateway would send a request, and why.
/// @param explanation answer of the gateway's operators' server
/// @throws json::exception if it does not have the form of such an answer
void print_explanation(const json& explanation, std::ostream& out);

} // namespace dotterelport::ctl

#endif
