#ifndef DOTTERELPORT_BASE_TOKENS_HPP
#define DOTTERELPORT_BASE_TOKENS_HPP

#include <cstdint>

namespace dotterelport {

/// Number of tokens. Signed, so that a negative balance shows as such instead of wrapping around.
using tokens = std::int64_t;

} // namespace dotterelport

#endif
