#include "dotterelport/standin/engine.hpp"

#include <algorithm>
#include <cmath>

#include "dotterelport/base/hash.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/request/prompt.hpp"
#include "dotterelport/standin/engine_answer.hpp"
#include "dotterelport/standin/events.hpp"

namespace dotterelport::standin {
namespace {

constexpr milliseconds frozen_check_interval{20};

/// After a longer delay of the event loop, the engine does not catch up on all missed steps.
constexpr double max_step_backlog_ms = 100.0;

std::string error_body(const std::string& message)
{
    return json{{"error", {{"message", message}, {"type", "invalid_request_error"}}}}.dump();
}

std::string text_field(const json& body, const char* name, const std::string& fallback)
{
    const json value = body.value(name, json());
    return value.is_string() ? value.get<std::string>() : fallback;
}

} // namespace

struct engine::run {
    engine_batch::sequence_id id;
    std::string key;
    engine_answer answer;
    std::shared_ptr<net::http_response> response;
    bool streams = false;
    bool has_marker = false;
    bool reached_limit = false;
    std::vector<std::string> blocks;
    tokens prompt_tokens = 0;
    tokens output_tokens = 0;
    tokens produced = 0;
};

engine::engine(net::event_loop& loop, const options& settings)
    : loop_(loop), settings_(settings), server_(loop), batch_(settings.batch),
      cache_(settings.cache), orders_(settings.orders),
      load_timer_(loop, settings.load_update_interval, [this] { update_load(); })
{
    add_routes();
}

engine::~engine()
{
    simulate_kill();
}

net::endpoint engine::listen(const net::endpoint& address)
{
    return server_.listen(address);
}

void engine::simulate_kill()
{
    is_down_ = true;
    server_.stop_listening();
    loop_.cancel(step_timer_);
    const auto runs = std::exchange(runs_, {});
    for (const auto& [id, item] : runs) {
        batch_.remove(id);
        item->response->on_close(nullptr);
        item->response->start(200, {});
        item->response->abort();
    }
}

void engine::set_faults(const json& faults)
{
    slow_factor_ = faults.value("slow_factor", slow_factor_);
    silent_ = faults.value("silent", silent_);
    frozen_ = faults.value("freeze", frozen_);
    log(events::standin_faults_set, {{"faults", faults}});
}

void engine::add_routes()
{
    using response_ptr = std::shared_ptr<net::http_response>;
    server_.route("POST", "/v1/chat/completions",
                  [this](const net::http_request& request, const response_ptr& response) {
                      handle_chat_request(request, response);
                  });
    server_.route("GET", "/load", [this](const net::http_request&, const response_ptr& response) {
        if (!frozen_) {
            send_json(*response, 200,
                      json{{"running", load_report_.running},
                           {"waiting", load_report_.waiting},
                           {"capacity", settings_.batch.slots},
                           {"tokens_per_second", load_report_.tokens_per_second}}
                          .dump());
        }
    });
    server_.route("GET", "/cache_events",
                  [this](const net::http_request& request, const response_ptr& response) {
                      const auto since = std::strtoull(
                          request.parameter("since").value_or("0").c_str(), nullptr, 10);
                      send_json(*response, 200, cache_.events(since, steady_now()).dump());
                  });
    server_.route("POST", "/orders",
                  [this](const net::http_request& request, const response_ptr& response) {
                      const auto [status, answer] =
                          orders_.execute(json::parse(request.body, nullptr, false), steady_now());
                      send_json(*response, status, answer.dump());
                  });
    server_.route("GET", "/orders", [this](const net::http_request&, const response_ptr& response) {
        send_json(*response, 200, orders_.to_json(steady_now()).dump());
    });
    server_.route("GET", "/standin/counters",
                  [this](const net::http_request&, const response_ptr& response) {
                      send_json(*response, 200, counters_.to_json().dump());
                  });
    server_.route("POST", "/standin/faults",
                  [this](const net::http_request& request, const response_ptr& response) {
                      try {
                          set_faults(json::parse(request.body));
                          send_json(*response, 200, "{}");
                      } catch (const json::exception& failure) {
                          send_json(*response, 400, error_body(failure.what()));
                      }
                  });
}

void engine::handle_chat_request(const net::http_request& request,
                                 const std::shared_ptr<net::http_response>& response)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.value("messages", json()).is_array()) {
        send_json(*response, 400, error_body("messages required"));
        return;
    }
    const std::string model = text_field(body, "model", "");
    if (!orders_.serves(model, steady_now())) {
        send_json(*response, 404, error_body("model not loaded"));
        return;
    }
    if (silent_) {
        return;
    }
    const std::string prompt = request::prompt_text(body);
    const std::uint64_t content_hash = hash64(prompt, settings_.seed);
    const auto limit = std::max<tokens>(body.value("max_tokens", settings_.max_output_tokens), 1);
    const auto length = static_cast<tokens>(
        1 + content_hash % static_cast<std::uint64_t>(settings_.max_output_tokens));
    const std::string key(request.header("X-Request-Key").value_or("no-key"));
    const auto id = ++last_id_;
    auto item = std::make_shared<run>(
        run{.id = id,
            .key = key,
            .answer = engine_answer(key, model, content_hash),
            .response = response,
            .streams = body.value("stream", false),
            .has_marker = prompt.find(crash_marker) != prompt.npos,
            .reached_limit = limit < length,
            .blocks = request::prefix_hashes(prompt, settings_.cache.max_blocks),
            .prompt_tokens = request::count_prompt_tokens(prompt),
            .output_tokens = std::min(limit, length)});
    runs_.emplace(id, item);
    response->on_close([this, id] { cancel_run(id); });
    if (item->streams) {
        response->start(200, {{"content-type", "text/event-stream"}});
    }
    const auto level = parse_priority(text_field(body, "priority", "normal"));
    batch_.add(id, level.value_or(priority::normal));
    ensure_stepping();
}

tokens engine::start_run(engine_batch::sequence_id id)
{
    run& item = *runs_.at(id);
    const std::size_t cached = cache_.use(item.blocks, steady_now());
    auto& counter = counters_.entry_for(item.key);
    ++counter.runs;
    counter.prompt_tokens += item.prompt_tokens;
    log(events::standin_run_started, {{"key", item.key}, {"cached_blocks", cached}});
    return item.prompt_tokens - static_cast<tokens>(cached * request::prefix_block_words);
}

void engine::ensure_stepping()
{
    if (!stepping_) {
        stepping_ = true;
        step_due_ms_ = static_cast<double>(steady_now().count());
        begin_step();
    }
}

void engine::begin_step()
{
    if (batch_.is_empty() || is_down_) {
        stepping_ = false;
        return;
    }
    const auto now = static_cast<double>(steady_now().count());
    if (frozen_) {
        step_due_ms_ = now;
        step_timer_ = loop_.schedule(frozen_check_interval, [this] { begin_step(); });
        return;
    }
    step_due_ms_ = std::max(step_due_ms_, now - max_step_backlog_ms);
    step_due_ms_ += slow_factor_ * batch_.begin_step([this](auto id) { return start_run(id); });
    const milliseconds delay{static_cast<std::int64_t>(std::ceil(step_due_ms_ - now))};
    step_timer_ = loop_.schedule(delay, [this] { end_step(); });
}

void engine::end_step()
{
    for (const auto id : batch_.running()) {
        const auto found = runs_.find(id);
        if (found != runs_.end()) {
            // Keeps the run alive: a write may report that the client disconnected, which erases
            // it.
            const std::shared_ptr<run> item = found->second;
            if (item->has_marker && settings_.crash_on_marker) {
                crash();
                return;
            }
            produce_token(*item);
        }
    }
    begin_step();
}

void engine::produce_token(run& item)
{
    const tokens index = item.produced++;
    ++tokens_since_report_;
    ++counters_.entry_for(item.key).completion_tokens;
    if (item.streams) {
        item.response->write(net::format_sse(item.answer.token_chunk(index).dump()));
    }
    if (item.produced == item.output_tokens && runs_.contains(item.id)) {
        finish_run(item);
    }
}

void engine::finish_run(run& item)
{
    const std::string reason = item.reached_limit ? "length" : "stop";
    ++counters_.entry_for(item.key).finished;
    item.response->on_close(nullptr);
    if (item.streams) {
        const json usage = item.answer.usage_chunk(item.prompt_tokens, item.produced);
        item.response->write(net::format_sse(item.answer.finish_chunk(reason).dump()) +
                             net::format_sse(usage.dump()) + net::format_sse("[DONE]"));
        item.response->finish();
    } else {
        send_json(*item.response, 200,
                  item.answer.completion(item.prompt_tokens, item.produced, reason).dump());
    }
    batch_.remove(item.id);
    runs_.erase(item.id);
}

void engine::cancel_run(engine_batch::sequence_id id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return;
    }
    ++counters_.entry_for(found->second->key).cancelled;
    log(events::standin_run_cancelled, {{"key", found->second->key}});
    batch_.remove(id);
    runs_.erase(found);
}

void engine::crash()
{
    log(events::standin_crashed);
    if (on_crash_) {
        on_crash_();
    } else {
        simulate_kill();
    }
}

void engine::update_load()
{
    const double seconds = std::chrono::duration<double>(settings_.load_update_interval).count();
    load_report_ = {batch_.running_count(), batch_.waiting_count(),
                    static_cast<double>(std::exchange(tokens_since_report_, 0)) / seconds};
}

} // namespace dotterelport::standin
