#ifndef DOTTERELPORT_REQUEST_KEY_MEMORY_HPP
#define DOTTERELPORT_REQUEST_KEY_MEMORY_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/verdict.hpp"

namespace dotterelport::request {

/// Keys that finished or were refused, kept for the life of an agent incarnation so that a late
/// message does not run them again. 16 bytes an entry; keys are kept as 64-bit hashes. Two keys
/// with the same hash make a request be refused or joined wrongly, never run twice; the digest
/// tells most of these apart.
class key_memory {
public:
    /// Attempt number that covers every attempt.
    static constexpr std::uint32_t all_attempts = (1U << 27U) - 1U;

    struct entry {
        /// Refused attempts are remembered up to this one.
        std::uint32_t attempt = 0;
        bool is_refused = false;
        dotterelport::verdict verdict = dotterelport::verdict::not_run;
        std::uint32_t digest_hash = 0;
    };

    key_memory();

    [[nodiscard]] std::optional<entry> find(const request_key& key) const;

    /// @brief Adds or replaces the entry of a key.
    void put(const request_key& key, const entry& value);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t memory_bytes() const { return slots_.size() * sizeof(slot); }

    static std::uint32_t hash_digest(std::string_view digest);

private:
    struct slot {
        /// 0 marks a free slot.
        std::uint64_t key_hash = 0;
        std::uint32_t digest_hash = 0;
        std::uint32_t attempt : 27 = 0;
        std::uint32_t is_refused : 1 = 0;
        std::uint32_t verdict : 4 = 0;
    };

    static std::uint64_t hash_key(const request_key& key);
    static std::size_t position(const std::vector<slot>& slots, std::uint64_t key_hash);
    void grow();

    /// Open addressing with linear probing; the size is a power of two. Entries are never removed.
    std::vector<slot> slots_;
    std::size_t size_ = 0;
};

} // namespace dotterelport::request

#endif
