#ifndef DOTTERELPORT_STANDIN_CALL_COUNTERS_HPP
#define DOTTERELPORT_STANDIN_CALL_COUNTERS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "dotterelport/base/json.hpp"

namespace dotterelport::standin {

/// Kind of a call to the platform API.
enum class call_kind {
    read,
    write,
    remove,
    list,
    watch,
    vms,
};

std::string_view to_string(call_kind value);

/// @brief Whether a call counts against the rate limit for writes.
bool is_write(call_kind value);

/// Numbers of calls, of their bytes, and of calls affected by a rate limit or a fault.
struct call_counter {
    std::uint64_t calls = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t rate_limited = 0;
    std::uint64_t refused_in_outage = 0;
    std::uint64_t lost_answers = 0;
};

/// Counters by kind of call and by the first segment of the key.
class call_counters {
public:
    /// @brief Counter for calls of a kind to keys with the same first segment, such as "budget".
    /// @param key key or prefix of the call; only its first segment is used
    call_counter& at(call_kind kind, const std::string& key);

    [[nodiscard]] std::uint64_t calls(call_kind kind) const;
    [[nodiscard]] json to_json() const;

private:
    std::map<call_kind, std::map<std::string, call_counter>> counters_;
};

} // namespace dotterelport::standin

#endif
