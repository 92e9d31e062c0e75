#ifndef DOTTERELPORT_STANDIN_EXPERIMENT_ENGINE_HPP
#define DOTTERELPORT_STANDIN_EXPERIMENT_ENGINE_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <unordered_map>
#include <vector>

#include "dotterelport/routing/load_view.hpp"
#include "experiment_plan.hpp"

namespace dotterelport::standin::experiment {

/// Event queue of the emulation: runs functions in the order of their scheduled times.
class event_queue {
public:
    void schedule_at(run_time time, std::function<void()> function)
    {
        events_.push({time, ++last_order_, std::move(function)});
    }

    void run_until(run_time end);
    [[nodiscard]] run_time now() const { return now_; }

private:
    struct event {
        run_time time;
        std::uint64_t order;
        std::function<void()> function;

        bool operator<(const event& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    run_time now_ = 0;
    std::uint64_t last_order_ = 0;
    std::priority_queue<event> events_;
};

/// A request to an engine, and the functions to call with its results.
struct engine_work {
    std::uint64_t id = 0;
    const planned_request* request = nullptr;
    priority level = priority::normal;
    std::function<void(std::size_t cached_blocks)> on_first_token;
    std::function<void()> on_end;
};

/// Emulates a backend server: a model engine with continuous batching and a prefix cache, or an
/// application that runs a few calls concurrently.
class emulated_engine {
public:
    emulated_engine(event_queue& events, bool is_call, engine_model model)
        : events_(events), is_call_(is_call), model_(model)
    {}

    void submit(engine_work work);
    void cancel(std::uint64_t id);

    /// @brief Stops the engine as if its process was killed.
    /// @return identifiers of its running and waiting requests
    std::vector<std::uint64_t> kill();
    void set_slowdown(double factor) { slowdown_ = factor; }
    [[nodiscard]] bool is_dead() const { return is_dead_; }

    [[nodiscard]] routing::load_report load() const;

    /// @brief Returns the cache events since the last call.
    std::vector<routing::cache_event> extract_cache_events();
    [[nodiscard]] std::uint64_t cache_sequence() const { return cache_sequence_; }
    [[nodiscard]] std::vector<routing::prefix_hash> cache_contents() const;

private:
    struct running_work {
        engine_work work;
        int remaining_prefill_tokens = 0;
        std::size_t cached_prompt_blocks = 0;
        int generated = 0;
    };

    void admit();
    void start_step();
    void end_step(const std::vector<std::uint64_t>& prefilled);
    void start_call(engine_work work);
    std::size_t use_cache(const std::vector<routing::prefix_hash>& prefix);
    void record_cache_event(routing::cache_event::kind event_kind, routing::prefix_hash hash);

    event_queue& events_;
    bool is_call_;
    engine_model model_;
    double slowdown_ = 1;
    bool is_dead_ = false;
    bool is_stepping_ = false;
    std::array<std::deque<engine_work>, priority_count> waiting_;
    std::vector<running_work> running_;
    /// Blocks from the most to the least recently used.
    std::list<routing::prefix_hash> cache_order_;
    std::unordered_map<routing::prefix_hash, std::list<routing::prefix_hash>::iterator> cache_;
    std::uint64_t cache_sequence_ = 0;
    std::vector<routing::cache_event> cache_events_;
};

} // namespace dotterelport::standin::experiment

#endif
