#include "dotterelport/request/key_memory.hpp"

#include <algorithm>
#include <functional>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::request {
namespace {

constexpr std::size_t initial_slots = 1024;

/// The number of slots doubles when more than 4/5 of them are in use.
constexpr std::size_t max_load_numerator = 4;
constexpr std::size_t max_load_denominator = 5;

} // namespace

key_memory::key_memory() : slots_(initial_slots) {}

std::optional<key_memory::entry> key_memory::find(const request_key& key) const
{
    const slot& found = slots_[slot_index(slots_, hash_key(key))];
    if (found.key_hash == 0) {
        return std::nullopt;
    }
    return entry{found.attempt, found.is_refused != 0,
                 static_cast<dotterelport::verdict>(found.verdict), found.digest_hash};
}

void key_memory::put(const request_key& key, const entry& new_entry)
{
    const std::uint64_t key_hash = hash_key(key);
    slot& found = slots_[slot_index(slots_, key_hash)];
    const bool is_new = found.key_hash == 0;
    found.key_hash = key_hash;
    found.digest_hash = new_entry.digest_hash;
    found.attempt = std::min(new_entry.attempt, all_attempts);
    found.is_refused = new_entry.is_refused ? 1U : 0U;
    found.verdict = static_cast<std::uint32_t>(new_entry.verdict);
    size_ += is_new ? 1 : 0;
    if (size_ * max_load_denominator > slots_.size() * max_load_numerator) {
        grow();
    }
}

std::uint32_t key_memory::hash_digest(std::string_view digest)
{
    return static_cast<std::uint32_t>(hash64(digest));
}

std::uint64_t key_memory::hash_key(const request_key& key)
{
    return std::max<std::uint64_t>(std::hash<request_key>{}(key), 1);
}

std::size_t key_memory::slot_index(const std::vector<slot>& slots, std::uint64_t key_hash)
{
    const std::size_t mask = slots.size() - 1;
    std::size_t index = key_hash & mask;
    while (slots[index].key_hash != 0 && slots[index].key_hash != key_hash) {
        index = (index + 1) & mask;
    }
    return index;
}

void key_memory::grow()
{
    std::vector<slot> larger(slots_.size() * 2);
    for (const slot& old_slot : slots_) {
        if (old_slot.key_hash != 0) {
            larger[slot_index(larger, old_slot.key_hash)] = old_slot;
        }
    }
    slots_ = std::move(larger);
}

} // namespace dotterelport::request
