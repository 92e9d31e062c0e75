#ifndef DOTTERELPORT_STANDIN_TOKEN_BUCKET_HPP
#define DOTTERELPORT_STANDIN_TOKEN_BUCKET_HPP

#include <algorithm>

#include "dotterelport/base/clock.hpp"

namespace dotterelport::standin {

/// Rate limit that allows a burst of one second's calls.
class token_bucket {
public:
    explicit token_bucket(double calls_per_second)
        : rate_(calls_per_second), level_(calls_per_second)
    {}

    /// @brief Takes one call out of the bucket.
    /// @return false if the limit is reached
    bool take(milliseconds now)
    {
        const double seconds = std::chrono::duration<double>(now - last_).count();
        level_ = std::min(rate_, level_ + seconds * rate_);
        last_ = now;
        if (level_ < 1.0) {
            return false;
        }
        level_ -= 1.0;
        return true;
    }

private:
    double rate_;
    double level_;
    milliseconds last_{0};
};

} // namespace dotterelport::standin

#endif
