#include "dotterelport/routing/urgency.hpp"

#include <algorithm>
#include <array>

namespace dotterelport::routing {

std::optional<int> engine_urgency(tokens prompt_tokens)
{
    // Each class is about twice as long as the one before.
    constexpr std::array<tokens, 5> class_ends{1'000, 2'000, 4'000, 8'000, 16'000};
    constexpr int first_class = 2;
    if (prompt_tokens <= 0) {
        return std::nullopt;
    }
    const auto end = std::lower_bound(class_ends.begin(), class_ends.end(), prompt_tokens);
    return first_class + static_cast<int>(end - class_ends.begin());
}

} // namespace dotterelport::routing
