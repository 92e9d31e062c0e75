#ifndef DOTTERELPORT_STANDIN_ENGINE_HPP
#define DOTTERELPORT_STANDIN_ENGINE_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http_server.hpp"
#include "dotterelport/standin/engine_batch.hpp"
#include "dotterelport/standin/engine_cache.hpp"
#include "dotterelport/standin/engine_orders.hpp"
#include "dotterelport/standin/run_counters.hpp"

namespace dotterelport::standin {

/// Text that makes a stand-in crash when it runs a request that contains it, if crash_on_marker is
/// set.
inline constexpr std::string_view crash_marker = "crash-the-backend";

/// Stand-in for a model engine that speaks the chat-completions protocol.
///
/// A prompt has as many tokens as words. The number of tokens in the answer is derived from a hash
/// of the prompt and limited by max_tokens. Each token is "<request key>/<index>/<word> ", so that
/// mixed-up, missing or repeated tokens can be detected in the text.
class engine {
public:
    struct options {
        engine_batch::options batch;
        engine_cache::options cache;
        engine_orders::options orders;
        /// An answer has 1 to this number of tokens, unless max_tokens is lower.
        tokens max_output_tokens = 128;
        /// Interval at which the figures in GET /load are updated.
        milliseconds load_update_interval{200};
        std::uint64_t seed = 1;
        bool crash_on_marker = false;
    };

    engine(net::event_loop& loop, const options& settings);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    net::endpoint listen(const net::endpoint& address);

    /// @brief Simulates a killed process: stops listening and aborts all connections.
    void simulate_kill();

    /// @brief Sets a function that is called instead of simulate_kill() when a request contains the
    /// crash marker.
    void on_crash(std::function<void()> function) { on_crash_ = std::move(function); }

    /// @brief Sets faults, in the format of POST /standin/faults: "slow_factor" multiplies the
    /// duration of a step, "silent" leaves new requests unanswered, "freeze" stops all output and
    /// the answers to GET /load.
    void set_faults(const json& faults);

    [[nodiscard]] const run_counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t running_count() const { return batch_.running_count(); }
    [[nodiscard]] std::size_t waiting_count() const { return batch_.waiting_count(); }

private:
    struct run;
    struct load_report {
        std::size_t running = 0;
        std::size_t waiting = 0;
        double tokens_per_second = 0;
    };

    void add_routes();
    void handle_chat_request(const net::http_request& request,
                             const std::shared_ptr<net::http_response>& response);
    tokens start_run(engine_batch::sequence_id id);
    void ensure_stepping();
    void begin_step();
    void end_step();
    void produce_token(run& item);
    void finish_run(run& item);
    void cancel_run(engine_batch::sequence_id id);
    void crash();
    void update_load();

    net::event_loop& loop_;
    options settings_;
    net::http_server server_;
    engine_batch batch_;
    engine_cache cache_;
    engine_orders orders_;
    run_counters counters_;
    std::map<engine_batch::sequence_id, std::shared_ptr<run>> runs_;
    engine_batch::sequence_id last_id_ = 0;
    bool stepping_ = false;
    bool is_down_ = false;
    double step_due_ms_ = 0;
    net::timer_id step_timer_ = 0;
    double slow_factor_ = 1.0;
    bool silent_ = false;
    bool frozen_ = false;
    tokens tokens_since_report_ = 0;
    load_report load_report_;
    std::function<void()> on_crash_;
    net::periodic_timer load_timer_;
};

} // namespace dotterelport::standin

#endif
