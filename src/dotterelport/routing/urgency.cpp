#include "dotterelport/routing/urgency.hpp"

#include <algorithm>
#include <array>

namespace dotterelport::routing {

std::optional<int> engine_urgency(tokens prompt_tokens)
{
    // Each length band is about twice as long as the previous one.
    constexpr std::array<tokens, 5> band_limits{1'000, 2'000, 4'000, 8'000, 16'000};
    constexpr int first_urgency = 2;
    if (prompt_tokens <= 0) {
        return std::nullopt;
    }
    const auto band = std::lower_bound(band_limits.begin(), band_limits.end(), prompt_tokens);
    return first_urgency + static_cast<int>(band - band_limits.begin());
}

} // namespace dotterelport::routing
