#ifndef DOTTERELPORT_STANDIN_RUN_COUNTERS_HPP
#define DOTTERELPORT_STANDIN_RUN_COUNTERS_HPP

#include <cstdint>
#include <string>
#include <unordered_map>

#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"

namespace dotterelport::standin {

/// Counts what a stand-in ran for each request key, so that tests can compare it with bills and
/// verdicts.
class run_counters {
public:
    struct entry {
        std::uint64_t runs = 0;
        std::uint64_t finished = 0;
        std::uint64_t cancelled = 0;
        tokens prompt_tokens = 0;
        tokens completion_tokens = 0;
    };

    /// @brief Counts of a request key; created if absent.
    entry& entry_for(const std::string& key) { return entries_[key]; }

    /// @brief Body of the answer to GET /standin/counters.
    [[nodiscard]] json to_json() const;

private:
    std::unordered_map<std::string, entry> entries_;
};

} // namespace dotterelport::standin

#endif
