#ifndef DOTTERELPORT_MEMBERSHIP_RENDEZVOUS_HPP
#define DOTTERELPORT_MEMBERSHIP_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterelport::membership {

/// @brief Weight of a name for a key; the name with the highest weight is chosen.
std::uint64_t rendezvous_weight(std::string_view name, std::string_view key);

/// @brief Picks one of several names for a key so that few keys move when names are added or
/// removed.
/// @return index into names, or nothing if there are none
std::optional<std::size_t> rendezvous(const std::vector<std::string>& names, std::string_view key);

/// @brief Number of names that are preferred to the given one for a key.
std::size_t rendezvous_rank(const std::vector<std::string>& names, std::string_view name,
                            std::string_view key);

} // namespace dotterelport::membership

#endif
