#ifndef DOTTERELPORT_STANDIN_CALL_COUNTERS_HPP
#define DOTTERELPORT_STANDIN_CALL_COUNTERS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "dotterelport/base/json.hpp"

namespace dotterelport::standin {

/// Kind of a call to the platform.
enum class call_kind {
    read,
    write,
    remove,
    list,
    watch,
    vms,
};

std::string_view to_string(call_kind value);

/// @brief Tells whether a call counts against the limit for writes.
bool is_write(call_kind value);

/// Calls and bytes of one kind.
struct call_counter {
    std::uint64_t calls = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t rate_limited = 0;
    std::uint64_t refused_in_outage = 0;
    std::uint64_t lost_answers = 0;
};

/// Calls and bytes by kind of call and by the first segment of the keys.
class call_counters {
public:
    /// @brief Counter of a kind of call to keys that start with a segment such as "budget".
    call_counter& at(call_kind kind, const std::string& key);

    [[nodiscard]] std::uint64_t calls(call_kind kind) const;
    [[nodiscard]] json to_json() const;

private:
    std::map<call_kind, std::map<std::string, call_counter>> counters_;
};

} // namespace dotterelport::standin

#endif
