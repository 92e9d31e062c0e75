#include "experiment_engine.hpp"

#include <algorithm>
#include <utility>

namespace dotterelport::standin::experiment {

void event_queue::run_until(run_time end)
{
    while (!events_.empty() && events_.top().time <= end) {
        const event next = events_.top();
        events_.pop();
        now_ = next.time;
        next.function();
    }
    now_ = end;
}

void emulated_engine::submit(engine_work work)
{
    waiting_[static_cast<std::size_t>(work.level)].push_back(std::move(work));
    admit();
    if (!is_call_ && !is_stepping_) {
        start_step();
    }
}

void emulated_engine::admit()
{
    const auto capacity = static_cast<std::size_t>(is_call_ ? call_capacity : model_.capacity);
    for (auto& queue : waiting_) {
        while (!queue.empty() && running_.size() < capacity) {
            engine_work work = std::move(queue.front());
            queue.pop_front();
            if (is_call_) {
                start_call(std::move(work));
                continue;
            }
            const std::size_t cached = use_cache(work.request->prefix);
            const int prefill = std::max(1, work.request->prompt_tokens -
                                                static_cast<int>(cached) * model_.block_tokens);
            running_.push_back({std::move(work), prefill, cached, 0});
        }
    }
}

void emulated_engine::start_call(engine_work work)
{
    const std::uint64_t id = work.id;
    const double duration_ms = work.request->call_ms * slowdown_;
    running_.push_back({std::move(work), 0, 0, 0});
    events_.schedule_at(events_.now() + duration_ms, [this, id] {
        const auto found = std::find_if(running_.begin(), running_.end(),
                                        [id](const auto& item) { return item.work.id == id; });
        if (found == running_.end()) {
            return;
        }
        const engine_work finished_work = std::move(found->work);
        running_.erase(found);
        admit();
        finished_work.on_first_token(0);
        finished_work.on_end();
    });
}

void emulated_engine::start_step()
{
    admit();
    is_stepping_ = !running_.empty() && !is_dead_;
    if (!is_stepping_) {
        return;
    }
    int prefill_budget = model_.prefill_tokens_per_step;
    int decoding = 0;
    std::vector<std::uint64_t> prefilled;
    for (auto& item : running_) {
        if (item.remaining_prefill_tokens == 0) {
            ++decoding;
            continue;
        }
        const int chunk_tokens = std::min(prefill_budget, item.remaining_prefill_tokens);
        item.remaining_prefill_tokens -= chunk_tokens;
        prefill_budget -= chunk_tokens;
        if (chunk_tokens > 0 && item.remaining_prefill_tokens == 0) {
            prefilled.push_back(item.work.id);
        }
    }
    const double duration_ms =
        slowdown_ *
        (model_.step_ms + model_.step_ms_per_sequence * decoding +
         model_.prefill_ms_per_token * (model_.prefill_tokens_per_step - prefill_budget));
    events_.schedule_at(events_.now() + duration_ms, [this, prefilled] { end_step(prefilled); });
}

void emulated_engine::end_step(const std::vector<std::uint64_t>& prefilled)
{
    if (is_dead_) {
        return;
    }
    std::vector<std::function<void()>> callbacks;
    for (auto& item : running_) {
        const bool is_first_token =
            std::find(prefilled.begin(), prefilled.end(), item.work.id) != prefilled.end();
        if (item.remaining_prefill_tokens > 0) {
            continue;
        }
        ++item.generated;
        if (is_first_token) {
            callbacks.emplace_back([callback = item.work.on_first_token,
                                    cached = item.cached_prompt_blocks] { callback(cached); });
        }
        if (item.generated >= item.work.request->output_tokens) {
            callbacks.emplace_back(item.work.on_end);
        }
    }
    std::erase_if(running_, [](const auto& item) {
        return item.remaining_prefill_tokens == 0 &&
               item.generated >= item.work.request->output_tokens;
    });
    start_step();
    for (const auto& callback : callbacks) {
        callback();
    }
}

void emulated_engine::cancel(std::uint64_t id)
{
    std::erase_if(running_, [id](const auto& item) { return item.work.id == id; });
    for (auto& queue : waiting_) {
        std::erase_if(queue, [id](const auto& work) { return work.id == id; });
    }
    if (is_call_) {
        admit();
    }
}

std::vector<std::uint64_t> emulated_engine::kill()
{
    is_dead_ = true;
    std::vector<std::uint64_t> result;
    for (const auto& item : std::exchange(running_, {})) {
        result.push_back(item.work.id);
    }
    for (auto& queue : waiting_) {
        for (const auto& work : std::exchange(queue, {})) {
            result.push_back(work.id);
        }
    }
    return result;
}

routing::load_report emulated_engine::load() const
{
    double waiting = 0;
    for (const auto& queue : waiting_) {
        waiting += static_cast<double>(queue.size());
    }
    return {.running = static_cast<double>(running_.size()),
            .waiting = waiting,
            .capacity = static_cast<double>(is_call_ ? call_capacity : model_.capacity)};
}

std::size_t emulated_engine::use_cache(const std::vector<routing::prefix_hash>& prefix)
{
    const auto first_missing = std::find_if(prefix.begin(), prefix.end(),
                                            [this](auto hash) { return !cache_.contains(hash); });
    const auto cached = static_cast<std::size_t>(first_missing - prefix.begin());
    // The start of a prompt is marked as used last, so that the ends of prompts are evicted first.
    for (auto hash = prefix.rbegin(); hash != prefix.rend(); ++hash) {
        if (const auto found = cache_.find(*hash); found != cache_.end()) {
            cache_order_.splice(cache_order_.begin(), cache_order_, found->second);
            continue;
        }
        cache_order_.push_front(*hash);
        cache_.emplace(*hash, cache_order_.begin());
        record_cache_event(routing::cache_event::kind::stored, *hash);
    }
    while (cache_.size() > model_.cache_blocks) {
        record_cache_event(routing::cache_event::kind::evicted, cache_order_.back());
        cache_.erase(cache_order_.back());
        cache_order_.pop_back();
    }
    return cached;
}

void emulated_engine::record_cache_event(routing::cache_event::kind event_kind,
                                         routing::prefix_hash hash)
{
    cache_events_.push_back({++cache_sequence_, event_kind, hash});
}

std::vector<routing::cache_event> emulated_engine::extract_cache_events()
{
    return std::exchange(cache_events_, {});
}

std::vector<routing::prefix_hash> emulated_engine::cache_contents() const
{
    return {cache_order_.begin(), cache_order_.end()};
}

} // namespace dotterelport::standin::experiment
