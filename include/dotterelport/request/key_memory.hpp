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

/// Keys of finished and refused requests, kept for the lifetime of an agent incarnation so that a
/// late message does not run a request again. An entry takes 16 bytes; keys are stored as 64-bit
/// hashes. If the hashes of two keys collide, a request may be wrongly refused or joined, but never
/// runs twice. The digest detects most of these collisions.
class key_memory {
public:
    /// Highest attempt number that a slot can hold; in a refused entry it covers every attempt.
    static constexpr std::uint32_t all_attempts = (1U << 27U) - 1U;

    struct entry {
        /// Latest attempt of the key. If the key is refused, so are all attempts up to this one.
        std::uint32_t attempt = 0;
        bool is_refused = false;
        dotterelport::verdict verdict = dotterelport::verdict::not_run;
        std::uint32_t digest_hash = 0;
    };

    key_memory();

    [[nodiscard]] std::optional<entry> find(const request_key& key) const;

    /// @brief Adds or replaces the entry of a key.
    void put(const request_key& key, const entry& new_entry);

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
    /// @brief Index of the slot of a key, or of the free slot for the key if it has none.
    static std::size_t slot_index(const std::vector<slot>& slots, std::uint64_t key_hash);
    void grow();

    /// Open addressing with linear probing; the number of slots is a power of two. Entries are
    /// never removed.
    std::vector<slot> slots_;
    std::size_t size_ = 0;
};

} // namespace dotterelport::request

#endif
