#include "dotterelport/gateway/waiting_queue.hpp"

#include <algorithm>

namespace dotterelport::gateway {
namespace {

/// Work that a workspace may start in each round.
constexpr double quantum = 1;

/// Number of times that waiting requests are passed over for more urgent ones before one of them is
/// served, so that no workspace starves.
constexpr int passed_over_limit = 8;

} // namespace

void waiting_queue::push(const waiting_request& request)
{
    level& target = levels_[request.priority];
    flow& workspace = target.flows[request.workspace];
    if (workspace.requests.empty()) {
        target.turns.push_back(request.workspace);
    }
    workspace.requests.emplace(order{request.deadline, request.id}, request);
    locations_[request.id] = {
        .priority = request.priority, .workspace = request.workspace, .deadline = request.deadline};
}

waiting_queue::level* waiting_queue::next_level()
{
    if (levels_.empty()) {
        return nullptr;
    }
    level* chosen = &levels_.begin()->second;
    for (auto& [priority, item] : levels_) {
        if (item.passed_over >= passed_over_limit) {
            chosen = &item;
        }
    }
    for (auto& [priority, item] : levels_) {
        item.passed_over = &item == chosen ? 0 : item.passed_over + 1;
    }
    return chosen;
}

std::optional<waiting_request> waiting_queue::pop()
{
    level* source = next_level();
    if (source == nullptr) {
        return std::nullopt;
    }
    for (;;) {
        flow& workspace = source->flows.at(source->turns.front());
        if (!std::exchange(workspace.has_turn, true)) {
            workspace.deficit += quantum;
        }
        const waiting_request& next = workspace.requests.begin()->second;
        if (workspace.deficit >= next.cost) {
            workspace.deficit -= next.cost;
            return remove(next.id);
        }
        workspace.has_turn = false;
        source->turns.push_back(source->turns.front());
        source->turns.pop_front();
    }
}

std::optional<waiting_request> waiting_queue::remove(std::uint64_t id)
{
    const auto found = locations_.find(id);
    if (found == locations_.end()) {
        return std::nullopt;
    }
    const location place = found->second;
    locations_.erase(found);
    level& source = levels_.at(place.priority);
    flow& workspace = source.flows.at(place.workspace);
    const auto item = workspace.requests.find({place.deadline, id});
    waiting_request result = std::move(item->second);
    workspace.requests.erase(item);
    if (workspace.requests.empty()) {
        // An empty flow keeps no deficit, so that an idle workspace cannot accumulate credit.
        std::erase(source.turns, place.workspace);
        source.flows.erase(place.workspace);
    }
    if (source.flows.empty()) {
        levels_.erase(place.priority);
    }
    return result;
}

const waiting_request* waiting_queue::find(std::uint64_t id) const
{
    const auto found = locations_.find(id);
    if (found == locations_.end()) {
        return nullptr;
    }
    const auto& place = found->second;
    return &levels_.at(place.priority).flows.at(place.workspace).requests.at({place.deadline, id});
}

std::vector<waiting_request> waiting_queue::take_expired(milliseconds now)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, place] : locations_) {
        if (place.deadline <= now) {
            expired.push_back(id);
        }
    }
    std::vector<waiting_request> result;
    result.reserve(expired.size());
    for (const std::uint64_t id : expired) {
        result.push_back(*remove(id));
    }
    return result;
}

std::size_t waiting_queue::count(const std::string& workspace) const
{
    std::size_t result = 0;
    for (const auto& [priority, item] : levels_) {
        const auto found = item.flows.find(workspace);
        result += found == item.flows.end() ? 0 : found->second.requests.size();
    }
    return result;
}

const waiting_request* waiting_queue::displaceable(int priority) const
{
    for (auto item = levels_.rbegin(); item != levels_.rend() && item->first > priority; ++item) {
        const waiting_request* chosen = nullptr;
        std::size_t largest = 0;
        for (const auto& [workspace, flow] : item->second.flows) {
            if (flow.requests.size() <= largest) {
                continue;
            }
            const auto last =
                std::find_if(flow.requests.rbegin(), flow.requests.rend(),
                             [](const auto& waiting) { return !waiting.second.has_begun; });
            if (last != flow.requests.rend()) {
                chosen = &last->second;
                largest = flow.requests.size();
            }
        }
        if (chosen != nullptr) {
            return chosen;
        }
    }
    return nullptr;
}

} // namespace dotterelport::gateway
