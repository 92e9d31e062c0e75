#include "dotterelport/agent/outcome_pusher.hpp"

#include <algorithm>

#include "dotterelport/agent/events.hpp"
#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::agent {
namespace {

constexpr std::size_t max_batch_outcomes = 500;
constexpr milliseconds push_timeout{2'000};
constexpr milliseconds max_backoff{5'000};

/// @brief Reads the keys of the "durable" answer; entries of another form are skipped.
std::vector<request_key> durable_keys(const json& answer)
{
    std::vector<request_key> keys;
    const json list = answer.is_object() ? answer.value("durable", json::array()) : json::array();
    for (const json& key_object : list) {
        if (key_object.is_object() && key_object.value("workspace", json()).is_string() &&
            key_object.value("key", json()).is_string()) {
            keys.push_back({key_object["workspace"], key_object["key"]});
        }
    }
    return keys;
}

} // namespace

outcome_pusher::outcome_pusher(net::event_loop& loop, net::rpc_client& rpc,
                               request::outcome_list& outcomes, std::uint64_t seed)
    : rpc_(rpc), outcomes_(outcomes), generator_(seed),
      timer_(loop, push_interval, [this] { push_all(); })
{}

void outcome_pusher::push_all()
{
    if (self_.node.empty()) {
        return;
    }
    const auto holders_with_outcomes = outcomes_.holders();
    std::erase_if(holders_, [&](const auto& entry) {
        return !entry.second.in_flight &&
               !std::binary_search(holders_with_outcomes.begin(), holders_with_outcomes.end(),
                                   entry.first);
    });
    for (const incarnation& holder : holders_with_outcomes) {
        holder_state& state = holders_[holder];
        if (!state.in_flight && steady_now() >= state.next_push_time) {
            push(holder, state);
        }
    }
}

void outcome_pusher::push(const incarnation& holder, holder_state& state)
{
    auto batch = outcomes_.oldest(holder, max_batch_outcomes, state.last_sent_number);
    if (batch.outcomes.empty()) {
        if (steady_now() < state.next_resend_time) {
            return;
        }
        state.next_resend_time = steady_now() + resend_interval;
        batch = outcomes_.oldest(holder, max_batch_outcomes);
    }
    state.last_sent_number = batch.last_number;
    net::endpoint address;
    try {
        address = net::parse_endpoint(outcomes_.address_of(holder));
    } catch (const error& failure) {
        handle_answer(holder, {net::rpc_result::status::not_sent, nullptr, failure.what()}, 0);
        return;
    }
    json unsettled_outcomes = json::array();
    for (const request::outcome& unsettled_outcome : batch.outcomes) {
        unsettled_outcomes.push_back(to_json(unsettled_outcome));
    }
    state.in_flight = true;
    rpc_.call(address, "outcomes",
              {{"agent", to_string(self_)}, {"outcomes", std::move(unsettled_outcomes)}},
              push_timeout,
              [this, alive = std::weak_ptr(alive_), holder,
               last_number = batch.last_number](const net::rpc_result& result) {
                  if (!alive.expired()) {
                      handle_answer(holder, result, last_number);
                  }
              });
}

void outcome_pusher::handle_answer(const incarnation& holder, const net::rpc_result& result,
                                   std::uint64_t last_number)
{
    holder_state& state = holders_[holder];
    state.in_flight = false;
    if (result.ok()) {
        state.failures = 0;
        outcomes_.remove(holder, durable_keys(result.value), last_number);
        return;
    }
    constexpr std::uint32_t max_doublings = 10;
    const auto backoff_ms = std::min(
        push_interval.count() << std::min(state.failures, max_doublings), max_backoff.count());
    if (state.failures++ == 0) {
        log(events::outcomes_not_taken,
            {{"holder", to_string(holder)}, {"message", result.message}});
    }
    std::uniform_int_distribution<std::int64_t> jitter(backoff_ms / 2, backoff_ms);
    state.next_push_time = steady_now() + milliseconds{jitter(generator_)};
}

} // namespace dotterelport::agent
