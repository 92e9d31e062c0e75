#include "dotterelport/standin/latency_summary.hpp"

#include <algorithm>
#include <cmath>

namespace dotterelport::standin {

double latency_summary::percentile(double share) const
{
    if (samples_ms_.empty()) {
        return 0;
    }
    std::vector<double> sorted = samples_ms_;
    std::sort(sorted.begin(), sorted.end());
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

json latency_summary::to_json() const
{
    return {{"count", samples_ms_.size()},
            {"p50_ms", percentile(0.5)},
            {"p95_ms", percentile(0.95)},
            {"p99_ms", percentile(0.99)},
            {"max_ms", percentile(1.0)}};
}

} // namespace dotterelport::standin
