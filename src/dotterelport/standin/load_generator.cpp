#include "dotterelport/standin/load_generator.hpp"

#include <utility>

namespace dotterelport::standin {
namespace {

constexpr std::string_view end_of_stream = "[DONE]";

double elapsed_ms(std::chrono::steady_clock::time_point from)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from)
        .count();
}

} // namespace

load_generator::load_generator(net::event_loop& loop, net::http_client& client,
                               load_options options)
    : loop_(loop), client_(client), options_(std::move(options)), random_(options_.seed)
{}

void load_generator::start(std::function<void()> done)
{
    on_done_ = std::move(done);
    end_time_ = steady_now() + options_.duration;
    schedule_next();
}

void load_generator::schedule_next()
{
    // Timers have a resolution of one millisecond, so arrivals within the same millisecond are sent
    // together.
    std::exponential_distribution<double> gap_seconds(options_.requests_per_second);
    double gap_ms = 0;
    while (gap_ms < 1) {
        gap_ms += gap_seconds(random_) * 1'000;
        if (gap_ms < 1) {
            send();
        }
    }
    loop_.schedule(milliseconds{static_cast<std::int64_t>(gap_ms)}, [this] {
        if (steady_now() >= end_time_) {
            arrivals_over_ = true;
            if (in_progress_ == 0) {
                on_done_();
            }
            return;
        }
        send();
        schedule_next();
    });
}

net::client_request load_generator::make_request()
{
    std::uniform_int_distribution<std::size_t> pick_target(0, options_.targets.size() - 1);
    std::string prompt;
    for (std::uint32_t i = 0; i < options_.prompt_words; ++i) {
        prompt += "word" + std::to_string(random_() % 1'000) + " ";
    }
    const json body = {{"model", options_.model},
                       {"stream", true},
                       {"max_tokens", options_.max_tokens},
                       {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    net::client_request request;
    request.to = options_.targets[pick_target(random_)];
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"content-type", "application/json"}};
    if (!options_.keys.empty()) {
        std::uniform_int_distribution<std::size_t> pick_key(0, options_.keys.size() - 1);
        request.headers.emplace_back("authorization", "Bearer " + options_.keys[pick_key(random_)]);
    } else {
        request.headers.emplace_back("x-request-key", "load-" + std::to_string(sent_));
    }
    request.body = body.dump();
    request.answer_timeout = milliseconds{60'000};
    return request;
}

void load_generator::send()
{
    if (in_progress_ >= options_.max_in_progress) {
        ++skipped_;
        return;
    }
    ++sent_;
    ++in_progress_;
    auto state = std::make_shared<call_state>();
    state->started = clock::now();
    auto parser = std::make_shared<net::sse_parser>(
        [this, raw = state.get()](std::string_view data) { handle_event(*raw, data); });
    net::answer_handler handler;
    handler.on_head = [state](int status, const net::header_list&) { state->status = status; };
    handler.on_data = [parser](std::string_view data) { parser->feed(data); };
    handler.on_complete = [this, state] {
        const bool was_cut = state->status == 200 && !state->received_end;
        finish(*state, was_cut ? "cut" : std::to_string(state->status));
    };
    handler.on_failure = [this, state](net::failure_stage stage, const std::string&) {
        finish(*state, "failed_" + std::string(net::to_string(stage)));
    };
    client_.start(make_request(), std::move(handler));
}

void load_generator::handle_event(call_state& state, std::string_view data)
{
    if (data == end_of_stream) {
        state.received_end = true;
        return;
    }
    ++events_;
    if (state.events++ == 0) {
        first_token_.add(elapsed_ms(state.started));
    } else {
        between_tokens_.add(elapsed_ms(state.last_event));
    }
    state.last_event = clock::now();
}

void load_generator::finish(const call_state& state, const std::string& result)
{
    --in_progress_;
    ++results_[result];
    if (result == "200") {
        total_.add(elapsed_ms(state.started));
    }
    if (arrivals_over_ && in_progress_ == 0) {
        on_done_();
    }
}

json load_generator::report() const
{
    return {{"sent", sent_},
            {"skipped", skipped_},
            {"events", events_},
            {"results", results_},
            {"first_token", first_token_.to_json()},
            {"between_tokens", between_tokens_.to_json()},
            {"total", total_.to_json()}};
}

} // namespace dotterelport::standin
