#ifndef DOTTERELPORT_REQUEST_HOLDER_FENCES_HPP
#define DOTTERELPORT_REQUEST_HOLDER_FENCES_HPP

#include <cstdint>
#include <map>
#include <string>

#include "dotterelport/base/identifiers.hpp"

namespace dotterelport::request {

/// Holder incarnations whose requests an agent refuses for good. Epochs of a node only grow, so one
/// number a node is enough: earlier incarnations are refused as well.
class holder_fences {
public:
    void fence(const incarnation& holder);
    [[nodiscard]] bool is_fenced(const incarnation& holder) const;
    [[nodiscard]] const std::map<std::string, std::uint64_t>& epochs() const { return epochs_; }

private:
    std::map<std::string, std::uint64_t> epochs_;
};

} // namespace dotterelport::request

#endif
