#include "dotterelport/routing/fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace dotterelport::routing {
namespace {

/// Time over which the rate of taking is measured before it enters the average.
constexpr milliseconds rate_window{1'000};
constexpr double rate_weight = 0.3;

std::size_t index_of(priority value)
{
    return static_cast<std::size_t>(value);
}

} // namespace

fair_queue::fair_queue(queue_settings settings) : settings_(settings) {}

push_result fair_queue::push(const queued_request& request, milliseconds now)
{
    const milliseconds wait = expected_wait(request);
    const auto known = by_workspace_.find(request.workspace);
    const std::size_t count = known == by_workspace_.end() ? 0 : known->second;
    if (places_.size() >= settings_.limit || count >= settings_.workspace_limit) {
        return {push_status::full, wait};
    }
    if (now + wait > request.deadline) {
        return {push_status::too_late, wait};
    }
    if (places_.empty()) {
        // The rate counts only while requests wait: an idle queue says nothing about it.
        window_start_ = now;
        window_cost_ = 0;
    }
    ++by_workspace_[request.workspace];
    class_queue& into = classes_[index_of(request.priority)];
    flow& line = into.flows[request.workspace];
    if (line.requests.empty()) {
        into.turns.push_back(request.workspace);
    }
    line.requests.push_back(request);
    line.cost += request.cost;
    into.cost += request.cost;
    places_.emplace(request.id, place{request.priority, request.workspace});
    deadlines_.emplace(request.deadline, request.id);
    return {push_status::queued, wait};
}

fair_queue::class_queue* fair_queue::next_class(priority lowest)
{
    class_queue* first = nullptr;
    class_queue* overdue = nullptr;
    for (std::size_t i = 0; i <= index_of(lowest); ++i) {
        class_queue& candidate = classes_[i];
        if (candidate.turns.empty()) {
            continue;
        }
        if (first == nullptr) {
            first = &candidate;
        } else if (candidate.passed_over >= settings_.passed_over_limit[i]) {
            // The lowest class that was passed over often enough: it has waited longest.
            overdue = &candidate;
        }
    }
    class_queue* chosen = overdue == nullptr ? first : overdue;
    for (class_queue& other : classes_) {
        if (&other == chosen || other.turns.empty()) {
            other.passed_over = 0;
        } else {
            ++other.passed_over;
        }
    }
    return chosen;
}

queued_request fair_queue::take(class_queue& from)
{
    for (;;) {
        flow& line = from.flows.at(from.turns.front());
        if (!line.has_turn) {
            line.has_turn = true;
            line.deficit += settings_.quantum;
        }
        if (line.deficit >= line.requests.front().cost) {
            queued_request result = line.requests.front();
            line.deficit -= result.cost;
            forget(result);
            return result;
        }
        line.has_turn = false;
        from.turns.push_back(from.turns.front());
        from.turns.pop_front();
    }
}

void fair_queue::forget(const queued_request& request)
{
    class_queue& from = classes_[index_of(request.priority)];
    flow& line = from.flows.at(request.workspace);
    std::erase_if(line.requests, [&](const auto& other) { return other.id == request.id; });
    line.cost -= request.cost;
    from.cost -= request.cost;
    places_.erase(request.id);
    deadlines_.erase({request.deadline, request.id});
    if (line.requests.empty()) {
        // An empty flow keeps no deficit, or it could save up turns while it is idle.
        std::erase(from.turns, request.workspace);
        from.flows.erase(request.workspace);
    }
    const auto count = by_workspace_.find(request.workspace);
    if (--count->second == 0) {
        by_workspace_.erase(count);
    }
}

std::optional<queued_request> fair_queue::pop(milliseconds now, priority lowest)
{
    // Requests past their deadline are for take_expired(), but must not be started.
    std::vector<queued_request> expired = take_expired(now);
    expired_.insert(expired_.end(), expired.begin(), expired.end());
    class_queue* from = next_class(lowest);
    if (from == nullptr) {
        return std::nullopt;
    }
    queued_request result = take(*from);
    measure_rate(result.cost, now);
    return result;
}

void fair_queue::measure_rate(double cost, milliseconds now)
{
    window_cost_ += cost;
    const milliseconds passed = now - window_start_.value_or(now);
    if (passed < rate_window) {
        return;
    }
    const double observed = window_cost_ / static_cast<double>(passed.count());
    rate_ = rate_ == 0 ? observed : rate_ + rate_weight * (observed - rate_);
    window_start_ = now;
    window_cost_ = 0;
}

std::vector<queued_request> fair_queue::take_expired(milliseconds now)
{
    std::vector<queued_request> result = std::exchange(expired_, {});
    while (!deadlines_.empty() && deadlines_.begin()->first < now) {
        if (auto request = extract(deadlines_.begin()->second)) {
            result.push_back(std::move(*request));
        }
    }
    return result;
}

std::optional<queued_request> fair_queue::extract(std::uint64_t id)
{
    const auto found = places_.find(id);
    if (found == places_.end()) {
        return std::nullopt;
    }
    const auto& [value, workspace] = found->second;
    const auto& requests = classes_[index_of(value)].flows.at(workspace).requests;
    const queued_request result = *std::find_if(
        requests.begin(), requests.end(), [id](const auto& request) { return request.id == id; });
    forget(result);
    return result;
}

bool fair_queue::remove(std::uint64_t id)
{
    return extract(id).has_value();
}

milliseconds fair_queue::expected_wait(const queued_request& request) const
{
    if (rate_ <= 0) {
        return milliseconds{0};
    }
    double ahead = 0;
    for (std::size_t i = 0; i < index_of(request.priority); ++i) {
        ahead += classes_[i].cost;
    }
    const auto& own_class = classes_[index_of(request.priority)];
    const auto own = own_class.flows.find(request.workspace);
    const double own_cost = own == own_class.flows.end() ? 0 : own->second.cost;
    for (const auto& [workspace, line] : own_class.flows) {
        // Round robin lets another workspace pass with at most what this one has to start.
        ahead += std::min(line.cost, own_cost + request.cost);
    }
    return milliseconds{static_cast<std::int64_t>(ahead / rate_)};
}

json fair_queue::dump() const
{
    json classes = json::object();
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        classes[std::string(to_string(static_cast<priority>(i)))] = {
            {"workspaces", classes_[i].flows.size()}, {"tokens", classes_[i].cost}};
    }
    return {{"requests", size()}, {"tokens_per_ms", rate_}, {"classes", classes}};
}

} // namespace dotterelport::routing
