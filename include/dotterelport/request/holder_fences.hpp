#ifndef DOTTERELPORT_REQUEST_HOLDER_FENCES_HPP
#define DOTTERELPORT_REQUEST_HOLDER_FENCES_HPP

#include <cstdint>
#include <map>
#include <string>

#include "dotterelport/base/identifiers.hpp"

namespace dotterelport::request {

/// Holder incarnations whose requests an agent permanently refuses. The epochs of a node only
/// increase, so the highest fenced epoch of each node is enough: its earlier incarnations are
/// fenced as well.
class holder_fences {
public:
    void fence(const incarnation& holder);
    [[nodiscard]] bool is_fenced(const incarnation& holder) const;
    [[nodiscard]] const std::map<std::string, std::uint64_t>& epochs() const { return epochs_; }

private:
    /// Highest fenced epoch by node name.
    std::map<std::string, std::uint64_t> epochs_;
};

} // namespace dotterelport::request

#endif
