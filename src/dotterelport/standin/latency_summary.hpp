#ifndef DOTTERELPORT_STANDIN_LATENCY_SUMMARY_HPP
#define DOTTERELPORT_STANDIN_LATENCY_SUMMARY_HPP

#include <vector>

#include "dotterelport/base/json.hpp"

namespace dotterelport::standin {

/// Collects durations and computes their percentiles.
class latency_summary {
public:
    /// @param duration_ms one measured duration in milliseconds
    void add(double duration_ms) { samples_ms_.push_back(duration_ms); }

    /// @brief Smallest sample such that at least this share of the samples is not greater; 0 if
    /// there are no samples.
    /// @param share between 0 and 1
    [[nodiscard]] double percentile(double share) const;

    /// @brief Count, median, 95th and 99th percentile and maximum, in milliseconds.
    [[nodiscard]] json to_json() const;

private:
    std::vector<double> samples_ms_;
};

} // namespace dotterelport::standin

#endif
