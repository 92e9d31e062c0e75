#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "dotterelport/config/part_cache.hpp"
#include "dotterelport/config/parts.hpp"
#include "dotterelport/config/snapshot.hpp"
#include "dotterelport/config/test_documents.hpp"

namespace dotterelport::config {
namespace {

/// Budgets per workspace of the fleet that the design is built for: 16,000 to 13,000.
document document_of(const benchmark::State& state)
{
    const auto workspaces = static_cast<std::size_t>(state.range(0));
    return large_document(workspaces, workspaces * 16 / 13);
}

void parse_whole_document(benchmark::State& state)
{
    const std::string text = to_json(document_of(state)).dump();
    for (auto step : state) {
        benchmark::DoNotOptimize(parse_document(text, "benchmark"));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

void split_whole_document(benchmark::State& state)
{
    const document value = document_of(state);
    for (auto step : state) {
        benchmark::DoNotOptimize(split(value, "benchmark"));
    }
}

/// What a follower does on its event loop when one workspace has changed.
void put_one_change_in_force(benchmark::State& state)
{
    const document value = document_of(state);
    const auto first = split(value, "benchmark");
    const auto second = split(with_changed_prepaid(value, 5), "benchmark");
    part_cache cache;
    cache.add(first.contents);
    const manifest changed{2, second.parts, {}};
    part_contents missing;
    for (const auto& hash : cache.missing(changed)) {
        missing.emplace(hash, second.contents.at(hash));
    }
    for (auto step : state) {
        cache.add(missing);
        benchmark::DoNotOptimize(std::make_shared<snapshot>(2, cache.build(changed)));
    }
}

BENCHMARK(parse_whole_document)->Arg(1'000)->Arg(13'000)->Unit(benchmark::kMillisecond);
BENCHMARK(split_whole_document)->Arg(1'000)->Arg(13'000)->Unit(benchmark::kMillisecond);
BENCHMARK(put_one_change_in_force)->Arg(1'000)->Arg(13'000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace dotterelport::config
