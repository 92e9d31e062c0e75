#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/routing/placement.hpp"

namespace dotterelport::routing {
namespace {

using namespace std::chrono_literals;

constexpr tokens cache_capacity = 300'000;

/// Load that a fleet of gateways sends to model engines whose speed changes.
struct replay_load {
    std::size_t gateways = 25;
    std::size_t engines = 24;
    milliseconds duration{8'000};
    double requests_per_ms = 0.2;
    /// Interval at which all gateways receive the same reports, and each other's loads.
    milliseconds view_interval{100};
    double slow_share = 0.15;
    double slow_factor = 2.5;
    milliseconds slow_period{600};
    bool states_slowdown = true;
    /// Size of the part that prompts share.
    tokens shared_tokens = 0;
    /// Half of the prompts share one part, and each of the others one of this many.
    std::uint64_t rare_parts = 0;
    placement_settings settings = {};
    /// Memory of an engine.
    tokens memory = 0;
};

struct replay_result {
    double mean_ms = 0;
    double slowest_tenth_ms = 0;
    /// Largest share of its memory that the requests of an engine held.
    double largest_memory_share = 0;
    /// Requests for which no engine was chosen.
    std::size_t refused = 0;
    /// Hash of all chosen servers and their costs.
    std::uint64_t digest = 0;
};

/// Replays a load in steps of 1 ms. An engine prefills one prompt at a time.
class fleet_replay {
public:
    explicit fleet_replay(const replay_load& load) : load_(load), engines_(load.engines)
    {
        for (std::size_t i = 0; i < load.engines; ++i) {
            candidates_.push_back({.server = "engine-" + std::to_string(i),
                                   .failure_domain = "a",
                                   .capacity = 96,
                                   .memory = load.memory});
        }
        for (std::size_t i = 0; i < load.gateways; ++i) {
            placement_settings settings = load.settings;
            settings.router = "gateway-" + std::to_string(i);
            gateways_.push_back(std::make_unique<placement>(settings));
        }
    }

    replay_result run()
    {
        for (; now_ < load_.duration; now_ += 1ms) {
            work();
            if (now_.count() % load_.view_interval.count() == 0) {
                share_views();
            }
            constexpr double steps = 10'000;
            if (static_cast<double>(random_() % 10'000) < load_.requests_per_ms * steps) {
                send();
            }
        }
        std::sort(times_ms_.begin(), times_ms_.end());
        const auto mean = [](auto first, auto last) {
            return std::accumulate(first, last, 0.0) / static_cast<double>(last - first);
        };
        const auto tenth = static_cast<std::ptrdiff_t>(times_ms_.size() / 10);
        return {.mean_ms = mean(times_ms_.begin(), times_ms_.end()),
                .slowest_tenth_ms = mean(times_ms_.end() - tenth, times_ms_.end()),
                .largest_memory_share = largest_memory_share_,
                .refused = refused_,
                .digest = digest_};
    }

private:
    static constexpr double total_output_ms = 300;
    static constexpr double output_tokens_per_ms = 0.5;
    static constexpr tokens max_output = 150;

    struct job {
        std::uint64_t id = 0;
        std::size_t gateway = 0;
        milliseconds sent{0};
        double prefill_ms = 0;
        double output_ms = total_output_ms;
        tokens prompt = 0;

        [[nodiscard]] tokens output() const
        {
            return static_cast<tokens>((total_output_ms - output_ms) * output_tokens_per_ms);
        }
    };

    struct engine {
        std::vector<job> waiting;
        std::vector<job> running;
    };

    [[nodiscard]] double factor(std::size_t index) const
    {
        const std::string& name = candidates_[index].server;
        const auto phase = static_cast<std::int64_t>(hash64(name) % 600);
        const auto period =
            static_cast<std::uint64_t>((now_.count() + phase) / load_.slow_period.count());
        constexpr double steps = 1'000;
        const bool is_slow =
            static_cast<double>(hash64(name, period + 1) % 1'000) < load_.slow_share * steps;
        return is_slow ? load_.slow_factor : 1.0;
    }

    void work()
    {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            auto& waiting = engines_[i].waiting;
            auto& running = engines_[i].running;
            const double done_ms = 1 / factor(i);
            if (!waiting.empty() && (waiting.front().prefill_ms -= done_ms) <= 0) {
                const job answered = waiting.front();
                waiting.erase(waiting.begin());
                running.push_back(answered);
                times_ms_.push_back(static_cast<double>((now_ - answered.sent).count()));
                gateways_[answered.gateway]->answered(candidates_[i].server, answered.id, now_);
            }
            tokens held = 0;
            for (const auto& item : waiting) {
                held += item.prompt;
            }
            std::erase_if(running, [&](job& item) {
                item.output_ms -= done_ms;
                held += item.prompt + item.output();
                if (item.output_ms > 0) {
                    gateways_[item.gateway]->produced(candidates_[i].server, item.id,
                                                      item.output());
                    return false;
                }
                gateways_[item.gateway]->finished(candidates_[i].server, item.id, 30, now_);
                return true;
            });
            if (load_.memory > 0) {
                largest_memory_share_ =
                    std::max(largest_memory_share_,
                             static_cast<double>(held) / static_cast<double>(load_.memory));
            }
        }
    }

    void share_views()
    {
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            const auto shares = gateways_[i]->own_load_shares(now_);
            for (std::size_t other = 0; other < gateways_.size(); ++other) {
                if (other != i) {
                    gateways_[other]->record_peer_load_shares(std::to_string(i), shares, now_);
                }
            }
            for (std::size_t server = 0; server < engines_.size(); ++server) {
                const auto& state = engines_[server];
                load_report report{.running = static_cast<double>(state.running.size()),
                                   .waiting = static_cast<double>(state.waiting.size()),
                                   .capacity = 96};
                if (load_.states_slowdown) {
                    report.slowdown = factor(server);
                }
                gateways_[i]->record_report(candidates_[server].server, report, now_);
            }
        }
    }

    void send()
    {
        const std::size_t gateway = random_() % gateways_.size();
        // Most prompts are short, and the long ones take most of the time.
        const tokens own_tokens = random_() % 4 == 0 ? 6'000 : 500;
        const tokens prompt_tokens = own_tokens + load_.shared_tokens;
        const std::uint64_t shared_part =
            load_.rare_parts == 0 || random_() % 2 == 0 ? 1 : 2 + random_() % load_.rare_parts;
        std::vector<prompt_part> parts{{.id = 1'000 + ++last_id_, .size = own_tokens}};
        if (load_.shared_tokens > 0) {
            parts.insert(parts.begin(), {.id = shared_part, .size = load_.shared_tokens});
        }
        const placement_request request{.parts = parts,
                                        .prompt_tokens = prompt_tokens,
                                        .max_output_tokens = max_output,
                                        .failure_domain = "a"};
        auto& chooser = *gateways_[gateway];
        const auto choice = chooser.choose(request, candidates_, now_);
        if (!choice) {
            ++refused_;
            return;
        }
        constexpr double digits = 1e6;
        digest_ = hash64(choice->server + std::to_string(std::llround(choice->cost_ms * digits)),
                         digest_);
        const auto server = static_cast<std::size_t>(
            std::find_if(candidates_.begin(), candidates_.end(),
                         [&](const auto& item) { return item.server == choice->server; }) -
            candidates_.begin());
        chooser.sent(choice->server, last_id_, request, cache_capacity, now_);
        for (std::size_t i = 0; i < gateways_.size() && load_.shared_tokens > 0; ++i) {
            if (i != gateway) {
                gateways_[i]->record_peer_prompt(choice->server, parts, cache_capacity, now_);
            }
        }
        const tokens uncached = prompt_tokens - caches_.cached(choice->server, parts);
        caches_.record(choice->server, parts, cache_capacity / 2);
        engines_[server].waiting.push_back(
            {.id = last_id_,
             .gateway = gateway,
             .sent = now_,
             .prefill_ms =
                 static_cast<double>(uncached) / placement_settings{}.prefill_tokens_per_ms,
             .prompt = prompt_tokens});
    }

    replay_load load_;
    std::vector<placement_candidate> candidates_;
    std::vector<engine> engines_;
    std::vector<std::unique_ptr<placement>> gateways_;
    /// What the engines have cached.
    prompt_cache_view caches_;
    std::mt19937_64 random_{7};
    std::uint64_t last_id_ = 0;
    milliseconds now_{0};
    std::vector<double> times_ms_;
    double largest_memory_share_ = 0;
    std::size_t refused_ = 0;
    std::uint64_t digest_ = 0;
};

// Guards against choices that ignore the stated slowdown: prompts wait at engines that are known to
// be slow at this moment.
TEST_CASE("Engines of which 15 % are 2.5 times slower for 600 ms get fewer requests meanwhile")
{
    replay_load load{.gateways = 1, .states_slowdown = false};
    const replay_result before = fleet_replay(load).run();
    load.states_slowdown = true;
    const replay_result after = fleet_replay(load).run();
    CHECK(after.mean_ms < 0.9 * before.mean_ms);
    CHECK(after.slowest_tenth_ms < 0.9 * before.slowest_tenth_ms);
}

// Guards against herding: gateways whose views are equal and up to 100 ms old all choose the engine
// that looked best then.
TEST_CASE("A fleet of gateways with a shared view that is 100 ms old spreads its requests")
{
    const double rate = GENERATE(0.1, 0.15, 0.2, 0.25);
    replay_load load{.requests_per_ms = rate, .states_slowdown = false};
    const replay_result before = fleet_replay(load).run();
    load.states_slowdown = true;
    const replay_result after = fleet_replay(load).run();
    CHECK(after.mean_ms < 0.9 * before.mean_ms);
    CHECK(after.slowest_tenth_ms < 0.9 * before.slowest_tenth_ms);
}

// Guards against a queue at the engine that has a popular part cached while other engines are idle.
TEST_CASE("A shared part with half of the traffic is spread over the engines that it needs")
{
    const std::size_t gateways = GENERATE(1U, 25U);
    replay_load load{
        .gateways = gateways, .requests_per_ms = 0.1, .shared_tokens = 6'000, .rare_parts = 100};
    const replay_result after = fleet_replay(load).run();
    load.settings.chain_utilisation = 1e6;
    const replay_result preferred_at_one = fleet_replay(load).run();
    load.states_slowdown = false;
    const replay_result before = fleet_replay(load).run();
    CHECK(after.mean_ms < 0.8 * preferred_at_one.mean_ms);
    CHECK(after.mean_ms < 0.8 * before.mean_ms);
}

// Guards against a crash of an engine: prompts that share a large part cost little time at the
// engine that has it cached, so that their number there exceeds its memory.
TEST_CASE("Prompts that share a large part do not exceed the memory of the engine that caches it")
{
    const std::size_t gateways = GENERATE(1U, 25U);
    replay_load load{.gateways = gateways,
                     .requests_per_ms = 0.15,
                     .states_slowdown = false,
                     .shared_tokens = 20'000,
                     .memory = 300'000};
    const replay_result before = fleet_replay(load).run();
    CHECK(before.largest_memory_share > 1);
    load.states_slowdown = true;
    const replay_result after = fleet_replay(load).run();
    CHECK(after.largest_memory_share < 1);
    CHECK(after.refused == 0);
    CHECK(after.mean_ms < before.mean_ms);
}

// Guards against a crash of the only engines that are left, and against a refusal of all requests
// because of the load of a gateway that has gone.
TEST_CASE("An engine is not chosen for a request that certainly exceeds its memory")
{
    const std::vector<placement_candidate> candidates{
        {.server = "a", .failure_domain = "a", .capacity = 96, .memory = 10'000},
        {.server = "b", .failure_domain = "a", .capacity = 96, .memory = 10'000}};
    const auto chosen = [&](const placement& chooser, tokens prompt, milliseconds now) {
        const auto choice =
            chooser.choose({.prompt_tokens = prompt, .max_output_tokens = 1'000}, candidates, now);
        return choice ? choice->server : std::string();
    };
    placement chooser;
    chooser.record_peer_load_shares("other", {{"a", 0, 1, 6'500}, {"b", 0, 9, 5'000}}, 0ms);
    chooser.sent("b", 1, {.prompt_tokens = 500}, 0, 0ms);
    chooser.answered("b", 1, 0ms);
    // Servers that state no slowdown are chosen as before.
    CHECK_FALSE(chosen(chooser, 9'000, 0ms).empty());
    for (const auto* server : {"a", "b"}) {
        chooser.record_report(server, {.running = 1, .slowdown = 1.0}, 0ms);
    }
    CHECK(chosen(chooser, 1'500, 0ms) == "b");
    CHECK(chosen(chooser, 4'400, 0ms) == "b");
    CHECK(chosen(chooser, 4'600, 0ms).empty());
    chooser.produced("b", 1, 200);
    CHECK(chosen(chooser, 4'400, 0ms).empty());
    CHECK(chosen(chooser, 4'400, 1'500ms).empty());
    CHECK_FALSE(chosen(chooser, 4'400, 2'500ms).empty());
}

// Guards against changes to deployments whose servers send three figures. The digest is that of the
// choices before servers stated a fourth figure; costs are compared to a millionth of a
// millisecond, since the last bits differ between processors.
TEST_CASE("Choices and costs for servers that state no slowdown are the same as before")
{
    CHECK(fleet_replay({.states_slowdown = false}).run().digest == 6597270310021279442U);
    CHECK(fleet_replay({.requests_per_ms = 0.1,
                        .states_slowdown = false,
                        .shared_tokens = 6'000,
                        .rare_parts = 100,
                        .memory = 100'000})
              .run()
              .digest == 3601399885179492948U);
}

} // namespace
} // namespace dotterelport::routing
