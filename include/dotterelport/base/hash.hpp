#ifndef DOTTERELPORT_BASE_HASH_HPP
#define DOTTERELPORT_BASE_HASH_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace dotterelport {

/// @brief XXH3 64-bit hash, stable across processes and versions; used for shards and rendezvous
/// hashing.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// @brief XXH3 128-bit hash as 32 lower-case hexadecimal digits; used for content addresses.
std::string hash128_hex(std::string_view data);

/// @brief SHA-256 as 64 lower-case hexadecimal digits; used for stored bearer keys.
std::string sha256_hex(std::string_view data);

/// @brief Compares two strings in time that depends only on their lengths.
bool equal_constant_time(std::string_view left, std::string_view right);

} // namespace dotterelport

#endif
