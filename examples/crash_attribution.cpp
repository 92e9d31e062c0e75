#include <cstdlib>
#include <iostream>
#include <vector>

#include "dotterelport/request/crash_attribution.hpp"

/// Finds the part of prompts that crashes servers. Requests with the part are refused, and others
/// of the same workspace run on.
int main()
{
    using namespace dotterelport;
    using namespace std::chrono_literals;
    const auto part = [](std::uint64_t id) {
        return request::suspect{.kind = request::suspect_kind::part, .id = id};
    };
    const auto common = part(1);
    const auto deadly = part(99);

    request::crash_attribution attribution;
    milliseconds now{0};
    for (const auto* server : {"s1", "s2", "s3"}) {
        now += 1s;
        attribution.record_crash(server, std::vector{common, deadly}, now);
        attribution.record_answer(std::vector{common, part(7)}, now);
        for (const auto& entry : attribution.evaluate(now)) {
            std::cout << "quarantined after " << server << ": " << to_string(entry.suspects.front())
                      << '\n';
        }
    }
    const auto refused = attribution.refused_for(std::vector{common, deadly}, now);
    const auto sound = attribution.refused_for(std::vector{common, part(8)}, now);
    std::cout << "refused for " << refused.value_or(0ms).count() << " ms, sound request "
              << (sound ? "refused" : "runs") << '\n';
    return refused && !sound ? EXIT_SUCCESS : EXIT_FAILURE;
}
