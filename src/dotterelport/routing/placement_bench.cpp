#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "dotterelport/routing/placement.hpp"

namespace dotterelport::routing {
namespace {

constexpr tokens cache_capacity = 267'000;
constexpr std::size_t busy_servers_per_peer = 30;

struct fleet {
    placement placer;
    std::vector<placement_candidate> candidates;
    std::vector<prompt_part> parts{
        {.id = 1, .size = 2'500}, {.id = 2, .size = 3'800}, {.id = 3, .size = 2'900}};

    fleet(std::size_t servers, std::size_t peers, bool states_slowdown)
    {
        constexpr std::size_t domains = 5;
        for (std::size_t i = 0; i < servers; ++i) {
            candidates.push_back({.server = "server-" + std::to_string(i),
                                  .failure_domain = "domain-" + std::to_string(i % domains),
                                  .capacity = 48,
                                  .memory = cache_capacity});
        }
        for (std::size_t peer = 0; peer < peers; ++peer) {
            std::vector<load_share> shares;
            for (std::size_t i = 0; i < busy_servers_per_peer; ++i) {
                shares.push_back({.server = candidates[(peer * 7 + i) % servers].server,
                                  .pending_prefill_tokens = 1'000,
                                  .running = 1});
            }
            placer.record_peer_load_shares("peer-" + std::to_string(peer), shares,
                                           milliseconds{1'000});
        }
        for (std::size_t i = 0; i < servers; ++i) {
            placer.sent(candidates[i].server, i, request(), cache_capacity, milliseconds{900});
            load_report report{.running = 3, .waiting = 0, .capacity = 48};
            if (states_slowdown) {
                report.slowdown = 1.2;
            }
            placer.record_report(candidates[i].server, report, milliseconds{950});
        }
    }

    [[nodiscard]] placement_request request() const
    {
        return {.parts = parts,
                .prompt_tokens = 9'200,
                .failure_domain = "domain-0",
                .pause_limit = milliseconds{600}};
    }
};

/// Arguments: backend servers, other gateways, whether the servers state their slowdown.
void choose(benchmark::State& state)
{
    const fleet fleet(static_cast<std::size_t>(state.range(0)),
                      static_cast<std::size_t>(state.range(1)), state.range(2) != 0);
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            fleet.placer.choose(fleet.request(), fleet.candidates, milliseconds{1'010}));
    }
}

BENCHMARK(choose)
    ->Args({12, 4, 0})
    ->Args({55, 29, 0})
    ->Args({160, 20, 0})
    ->Args({160, 63, 0})
    ->Args({55, 29, 1})
    ->Args({160, 63, 1});

} // namespace
} // namespace dotterelport::routing
