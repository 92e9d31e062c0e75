#ifndef DOTTERELPORT_STANDIN_TOKEN_BUCKET_HPP
#define DOTTERELPORT_STANDIN_TOKEN_BUCKET_HPP

#include <algorithm>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::standin {

/// Rate limiter that allows a burst of as many calls as it allows per second.
class token_bucket {
public:
    explicit token_bucket(double calls_per_second)
        : calls_per_second_(calls_per_second), available_calls_(calls_per_second)
    {}

    /// @brief Consumes one call from the bucket.
    /// @return false if the rate limit is exceeded
    bool try_acquire(milliseconds now)
    {
        const double seconds = std::chrono::duration<double>(now - last_refill_).count();
        available_calls_ =
            std::min(calls_per_second_, available_calls_ + seconds * calls_per_second_);
        last_refill_ = now;
        if (available_calls_ < 1.0) {
            return false;
        }
        available_calls_ -= 1.0;
        return true;
    }

private:
    double calls_per_second_;
    double available_calls_;
    milliseconds last_refill_{0};
};

} // namespace dotterelport::standin

#endif
