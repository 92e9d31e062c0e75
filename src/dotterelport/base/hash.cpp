#include "dotterelport/base/hash.hpp"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace dotterelport {
namespace {

std::string to_hex(const unsigned char* data, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text.push_back(digits[data[i] >> 4U]);
        text.push_back(digits[data[i] & 0xfU]);
    }
    return text;
}

} // namespace

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string hash128_hex(std::string_view data)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(data.data(), data.size()));
    return to_hex(canonical.digest, sizeof(canonical.digest));
}

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data());
    return to_hex(digest.data(), digest.size());
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace dotterelport
