#include "dotterelport/request/key_memory.hpp"

#include <algorithm>
#include <functional>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::request {
namespace {

constexpr std::size_t first_size = 1024;

/// Share of slots in use above which the table doubles: 4/5.
constexpr std::size_t load_numerator = 4;
constexpr std::size_t load_denominator = 5;

} // namespace

key_memory::key_memory() : slots_(first_size) {}

std::optional<key_memory::entry> key_memory::find(const request_key& key) const
{
    const slot& found = slots_[position(slots_, hash_key(key))];
    if (found.key_hash == 0) {
        return std::nullopt;
    }
    return entry{found.attempt, found.is_refused != 0,
                 static_cast<dotterelport::verdict>(found.verdict), found.digest_hash};
}

void key_memory::put(const request_key& key, const entry& value)
{
    const std::uint64_t key_hash = hash_key(key);
    slot& found = slots_[position(slots_, key_hash)];
    const bool is_new = found.key_hash == 0;
    found.key_hash = key_hash;
    found.digest_hash = value.digest_hash;
    found.attempt = std::min(value.attempt, all_attempts);
    found.is_refused = value.is_refused ? 1U : 0U;
    found.verdict = static_cast<std::uint32_t>(value.verdict);
    size_ += is_new ? 1 : 0;
    if (size_ * load_denominator > slots_.size() * load_numerator) {
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

std::size_t key_memory::position(const std::vector<slot>& slots, std::uint64_t key_hash)
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
    for (const slot& item : slots_) {
        if (item.key_hash != 0) {
            larger[position(larger, item.key_hash)] = item;
        }
    }
    slots_ = std::move(larger);
}

} // namespace dotterelport::request
