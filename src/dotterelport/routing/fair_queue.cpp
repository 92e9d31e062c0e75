#include "dotterelport/routing/fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace dotterelport::routing {
namespace {

/// Minimum time over which the dequeue rate is measured before it enters the moving average.
constexpr milliseconds rate_window{1'000};
constexpr double rate_weight = 0.3;

std::size_t index_of(priority request_priority)
{
    return static_cast<std::size_t>(request_priority);
}

} // namespace

fair_queue::fair_queue(queue_settings settings) : settings_(settings) {}

push_result fair_queue::push(const queued_request& request, milliseconds now)
{
    const milliseconds wait = expected_wait(request);
    const auto workspace_count = workspace_counts_.find(request.workspace);
    const std::size_t count =
        workspace_count == workspace_counts_.end() ? 0 : workspace_count->second;
    if (locations_.size() >= settings_.limit || count >= settings_.workspace_limit) {
        return {push_status::full, wait};
    }
    if (now + wait > request.deadline) {
        return {push_status::too_late, wait};
    }
    if (locations_.empty()) {
        // The rate is measured only while requests wait: an idle queue does not show how fast
        // servers accept work.
        rate_window_start_ = now;
        rate_window_cost_ = 0;
    }
    ++workspace_counts_[request.workspace];
    class_queue& target_class = classes_[index_of(request.priority)];
    flow& workspace_flow = target_class.flows[request.workspace];
    if (workspace_flow.requests.empty()) {
        target_class.turns.push_back(request.workspace);
    }
    workspace_flow.requests.push_back(request);
    workspace_flow.cost += request.cost;
    target_class.cost += request.cost;
    locations_.emplace(request.id, location{request.priority, request.workspace});
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
            // Of the overdue classes, the lowest is served first: it has waited longest.
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

queued_request fair_queue::dequeue(class_queue& source_class)
{
    for (;;) {
        flow& workspace_flow = source_class.flows.at(source_class.turns.front());
        if (!workspace_flow.has_turn) {
            workspace_flow.has_turn = true;
            workspace_flow.deficit += settings_.quantum;
        }
        if (workspace_flow.deficit >= workspace_flow.requests.front().cost) {
            queued_request result = workspace_flow.requests.front();
            workspace_flow.deficit -= result.cost;
            erase_request(result);
            return result;
        }
        workspace_flow.has_turn = false;
        source_class.turns.push_back(source_class.turns.front());
        source_class.turns.pop_front();
    }
}

void fair_queue::erase_request(const queued_request& request)
{
    class_queue& source_class = classes_[index_of(request.priority)];
    flow& workspace_flow = source_class.flows.at(request.workspace);
    std::erase_if(workspace_flow.requests,
                  [&](const auto& other) { return other.id == request.id; });
    workspace_flow.cost -= request.cost;
    source_class.cost -= request.cost;
    locations_.erase(request.id);
    deadlines_.erase({request.deadline, request.id});
    if (workspace_flow.requests.empty()) {
        // An empty flow keeps no deficit, so that an idle workspace cannot accumulate credit.
        std::erase(source_class.turns, request.workspace);
        source_class.flows.erase(request.workspace);
    }
    const auto count = workspace_counts_.find(request.workspace);
    if (--count->second == 0) {
        workspace_counts_.erase(count);
    }
}

std::optional<queued_request> fair_queue::pop(milliseconds now, priority lowest)
{
    // Requests past their deadline must not start; take_expired() returns them.
    std::vector<queued_request> expired = take_expired(now);
    expired_.insert(expired_.end(), expired.begin(), expired.end());
    class_queue* source_class = next_class(lowest);
    if (source_class == nullptr) {
        return std::nullopt;
    }
    queued_request result = dequeue(*source_class);
    measure_rate(result.cost, now);
    return result;
}

void fair_queue::measure_rate(double cost, milliseconds now)
{
    rate_window_cost_ += cost;
    const milliseconds passed = now - rate_window_start_.value_or(now);
    if (passed < rate_window) {
        return;
    }
    const double observed = rate_window_cost_ / static_cast<double>(passed.count());
    tokens_per_ms_ =
        tokens_per_ms_ == 0 ? observed : tokens_per_ms_ + rate_weight * (observed - tokens_per_ms_);
    rate_window_start_ = now;
    rate_window_cost_ = 0;
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
    const auto found = locations_.find(id);
    if (found == locations_.end()) {
        return std::nullopt;
    }
    const auto& [request_priority, workspace] = found->second;
    const auto& requests = classes_[index_of(request_priority)].flows.at(workspace).requests;
    const queued_request result = *std::find_if(
        requests.begin(), requests.end(), [id](const auto& request) { return request.id == id; });
    erase_request(result);
    return result;
}

bool fair_queue::remove(std::uint64_t id)
{
    return extract(id).has_value();
}

milliseconds fair_queue::expected_wait(const queued_request& request) const
{
    if (tokens_per_ms_ <= 0) {
        return milliseconds{0};
    }
    double ahead = 0;
    for (std::size_t i = 0; i < index_of(request.priority); ++i) {
        ahead += classes_[i].cost;
    }
    const auto& own_class = classes_[index_of(request.priority)];
    const auto own_flow = own_class.flows.find(request.workspace);
    const double own_cost = own_flow == own_class.flows.end() ? 0 : own_flow->second.cost;
    for (const auto& [workspace, workspace_flow] : own_class.flows) {
        // Before this request, round robin serves at most as many tokens of another workspace as
        // of this one, including the request itself.
        ahead += std::min(workspace_flow.cost, own_cost + request.cost);
    }
    return milliseconds{static_cast<std::int64_t>(ahead / tokens_per_ms_)};
}

json fair_queue::dump() const
{
    json classes = json::object();
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        classes[std::string(to_string(static_cast<priority>(i)))] = {
            {"workspaces", classes_[i].flows.size()}, {"tokens", classes_[i].cost}};
    }
    return {{"requests", size()}, {"tokens_per_ms", tokens_per_ms_}, {"classes", classes}};
}

} // namespace dotterelport::routing
