#include <memory>
#include <string>

#include <benchmark/benchmark.h>

#include "dotterelport/config/part_cache.hpp"
#include "dotterelport/config/parts.hpp"
#include "dotterelport/config/snapshot.hpp"
#include "dotterelport/config/test_documents.hpp"

namespace dotterelport::config {
namespace {

/// Document with 16 budgets for 13 workspaces, as in the design size of 16,000 budgets and 13,000
/// workspaces.
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
    const document configuration = document_of(state);
    for (auto step : state) {
        benchmark::DoNotOptimize(split(configuration, "benchmark"));
    }
}

/// Work of a follower on its event loop when one workspace has changed.
void put_one_change_in_force(benchmark::State& state)
{
    const document configuration = document_of(state);
    const auto old_parts = split(configuration, "benchmark");
    const auto new_parts = split(with_changed_prepaid(configuration, 5), "benchmark");
    part_cache cache;
    cache.add(old_parts.contents);
    const manifest new_manifest{2, new_parts.parts, {}};
    part_contents missing;
    for (const auto& hash : cache.missing(new_manifest)) {
        missing.emplace(hash, new_parts.contents.at(hash));
    }
    for (auto step : state) {
        cache.add(missing);
        benchmark::DoNotOptimize(std::make_shared<snapshot>(2, cache.build(new_manifest)));
    }
}

BENCHMARK(parse_whole_document)->Arg(1'000)->Arg(13'000)->Unit(benchmark::kMillisecond);
BENCHMARK(split_whole_document)->Arg(1'000)->Arg(13'000)->Unit(benchmark::kMillisecond);
BENCHMARK(put_one_change_in_force)->Arg(1'000)->Arg(13'000)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace dotterelport::config
